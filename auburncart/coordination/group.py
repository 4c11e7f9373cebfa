"""One VM's part in the group of entry VMs: membership, links, and synchronised objects."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from eliot import write_traceback

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.handshake import KeyRing
from auburncart.coordination.interfaces import PeerDialer, PeerLink, Store
from auburncart.coordination.membership import MembershipList
from auburncart.coordination.observer import Observer
from auburncart.coordination.overlay import Overlay
from auburncart.coordination.peers import LinkListener, Peers
from auburncart.coordination.seat_manager import SeatManager
from auburncart.coordination.seats import SeatShares
from auburncart.coordination.status import StatusReporter
from auburncart.coordination.synchroniser import Synchroniser, is_store_reader
from auburncart.coordination.table import CurrentTable
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.coordination.versioned import VersionedSeatPlans, VersionedShardMap, VersionedTable
from auburncart.exception import StoreUnavailableError
from auburncart.state.link import Heartbeat, Versions
from auburncart.state.member import Condition, Member
from auburncart.state.payload import StatusNews
from auburncart.state.seat import SeatPlans

__all__ = ["PeerGroup"]

PLATFORM_LIST_INTERVAL_SECONDS = 5.0
SEAT_RELEASE_TIMEOUT_SECONDS = 1.0
LEAVE_GOSSIP_SECONDS = 0.2
TASK_RESTART_SECONDS = 1.0


class PeerGroup(LinkListener):
    """The membership list, the peer links and the synchronised table and shard map of one VM.

    :param own: this VM.
    :param seeds: addresses of VMs to contact first, beside those on the platform's list.
    :param store: the platform's store.
    :param dialer: opens links to peers.
    :param keys: keys that peers prove.
    :param tables: the table in force.
    :param catalogue: the shard map in force.
    :param seed: seed of the random choices and delays.
    :param epoch: seconds since the epoch at loop time 0.
    """

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        store: Store,
        dialer: PeerDialer,
        keys: KeyRing,
        tables: CurrentTable,
        catalogue: Catalogue,
        observer: Observer,
        seed: int,
        epoch: float = 0.0,
    ) -> None:
        self._store = store
        self._seed = seed
        self._observer = observer
        self._membership = MembershipList(own)
        self._membership.candidate_addresses.update(set(seeds) - {own.address})
        self._peers = Peers(lambda: self._membership.own, self._heartbeat, dialer, keys, observer)
        self._overlay = Overlay(self._membership, self._peers, seed)
        self._table = VersionedTable(tables)
        self._shard_map = VersionedShardMap(catalogue)
        sync_arguments = (
            store,
            self._membership,
            self._peers,
            self._peers.send_heartbeats,
            observer,
            seed,
        )
        self._table_sync = Synchroniser(self._table, *sync_arguments)
        self._shard_sync = Synchroniser(self._shard_map, *sync_arguments)
        self._sync_arguments = sync_arguments
        self._seat_sync: Synchroniser[SeatPlans] | None = None
        self._seat_manager: SeatManager | None = None
        self._shares: SeatShares | None = None
        self._peers.add_listener(self)
        self._reporter = StatusReporter(
            store,
            self._membership,
            self._peers,
            lambda: StatusNews(self.versions, self.ready, self.not_ready_reason),
            lambda: epoch + asyncio.get_running_loop().time(),
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def membership(self) -> MembershipList:
        """The VMs that this VM knows."""
        return self._membership

    @property
    def bus(self) -> Peers:
        """The links to the other VMs."""
        return self._peers

    @property
    def versions(self) -> Versions:
        """Versions of what is in force on this VM, 0 for what is missing."""
        seats = self._shares.epoch if self._shares else 0
        return Versions(self._table.version, self._shard_map.version, seats)

    @property
    def not_ready_reason(self) -> str:
        """Reasons why this VM is not ready, ``""`` if it is."""
        reasons = [
            f"no {versioned.name} from the store or a peer"
            for versioned in (self._table, self._shard_map)
            if versioned.version == 0
        ]
        if self._shares is not None and not self._shares.seated:
            reasons.append("no seat among the VMs that share the upstreams' connections")
        return "; ".join(reasons)

    @property
    def ready(self) -> bool:
        """Whether this VM has everything that it needs to serve."""
        return not self.not_ready_reason

    @property
    def is_store_reader(self) -> bool:
        """Whether this VM watches the store for its data centre."""
        return is_store_reader(self._membership)

    def share_connections(self, shares: SeatShares, upstreams: UpstreamRegistry) -> None:
        """Share the upstreams' connections with the other VMs; call it before :meth:`start`.

        :param shares: this VM's shares, which limit its connections to upstreams.
        """
        self._shares = shares
        seat_plans = VersionedSeatPlans(shares, self._membership.own.data_centre)
        self._seat_sync = Synchroniser(seat_plans, *self._sync_arguments)
        self._seat_manager = SeatManager(
            shares,
            self._store,
            self._membership,
            self._peers,
            upstreams.connection_counts,
            upstreams.trim_connections,
            self._seat_sync.install_local,
            self._seed,
        )

    async def accept(self, link: PeerLink) -> None:
        """Serve a link that another VM opened, until it ends."""
        await self._peers.accept(link)

    def heartbeat_received(self, member: Member, heartbeat: Heartbeat) -> None:
        """Pull every object of which the sender has a newer version."""
        self._table_sync.version_announced(heartbeat.versions.table, member)
        self._shard_sync.version_announced(heartbeat.versions.shards, member)
        local = member.data_centre == self._membership.own.data_centre
        if self._seat_sync is not None and local:
            self._seat_sync.version_announced(heartbeat.versions.seats, member)

    def start(self) -> None:
        """Start the background tasks."""
        task_functions: dict[str, Callable[[], Awaitable[None]]] = {
            "heartbeats": self._peers.run,
            "overlay": self._overlay.run,
            "platform list": self._follow_platform_list,
            "status": self._reporter.run,
            "table read": self._table_sync.read_store,
            "table pull": self._table_sync.pull_announced,
            "shards read": self._shard_sync.read_store,
            "shards pull": self._shard_sync.pull_announced,
        }
        if self._seat_manager is not None and self._seat_sync is not None:
            task_functions["seat"] = self._seat_manager.maintain
            task_functions["seat confirm"] = self._seat_manager.confirm_plans
            task_functions["seat read"] = self._seat_sync.read_store
            task_functions["seat pull"] = self._seat_sync.pull_announced
        for name, run in task_functions.items():
            self._tasks.append(asyncio.create_task(self._supervise(name, run), name=name))

    def leave(self) -> None:
        """Announce that this VM is leaving; it still serves the requests in flight."""
        self._membership.leave(Condition.LEAVING)

    async def stop(self) -> None:
        """Announce that this VM has ended, and close all links.

        The connections to upstreams must be closed already.
        """
        if self._seat_manager is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SEAT_RELEASE_TIMEOUT_SECONDS):
                    await self._seat_manager.release()
        self._membership.leave(Condition.ENDED)
        await asyncio.sleep(LEAVE_GOSSIP_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.close("ended")

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a background task, and restart it if it fails."""
        while True:
            try:
                await run()
                return
            except Exception:
                write_traceback()
                self._observer.count("concern_failed")
                await asyncio.sleep(TASK_RESTART_SECONDS)

    async def _follow_platform_list(self) -> None:
        while True:
            if is_store_reader(self._membership) or not len(self._peers.links):
                try:
                    self._membership.apply_platform_list(await self._store.members())
                except StoreUnavailableError:
                    await asyncio.sleep(PLATFORM_LIST_INTERVAL_SECONDS)
            await asyncio.sleep(PLATFORM_LIST_INTERVAL_SECONDS)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(self.versions, self._membership.digests)
