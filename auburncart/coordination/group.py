"""One VM's part in the tier: its membership, its links, and what it keeps in force with peers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from eliot import write_traceback

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.handshake import KeyRing
from auburncart.coordination.interfaces import PeerDialer, PeerLink, Store
from auburncart.coordination.membership import Roster
from auburncart.coordination.observer import Observer
from auburncart.coordination.overlay import Overlay
from auburncart.coordination.peers import LinkListener, Peers
from auburncart.coordination.seating import Seating
from auburncart.coordination.seats import SeatShares
from auburncart.coordination.spread import Spread, is_reader
from auburncart.coordination.status import Reporter
from auburncart.coordination.subject import MapSubject, SeatSubject, TableSubject
from auburncart.coordination.table import TableKeeper
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.exception import StoreUnavailableError
from auburncart.state.fact import StatusNews
from auburncart.state.link import Heartbeat, Versions
from auburncart.state.member import Condition, Member
from auburncart.state.seat import SeatPlans

__all__ = ["Group"]

LIST_SECONDS = 5.0
GIVE_BACK_SECONDS = 1.0
FAREWELL_SECONDS = 0.2
RESTART_SECONDS = 1.0


class Group(LinkListener):
    """Membership, peer links and the spread of table and shard map on one VM.

    :param own: this VM.
    :param seeds: addresses of VMs to begin with, beside the platform's list.
    :param store: the platform's store.
    :param dialer: opens links to peers.
    :param keys: keys that peers prove.
    :param tables: the table in force.
    :param catalogue: the shard map in force.
    :param seed: seed of random choices and waits.
    :param epoch: seconds since the epoch at loop time 0.
    """

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        store: Store,
        dialer: PeerDialer,
        keys: KeyRing,
        tables: TableKeeper,
        catalogue: Catalogue,
        observer: Observer,
        seed: int,
        epoch: float = 0.0,
    ) -> None:
        self._store = store
        self._seed = seed
        self._observer = observer
        self._roster = Roster(own)
        self._roster.hints.update(set(seeds) - {own.address})
        self._peers = Peers(lambda: self._roster.own, self._heartbeat, dialer, keys, observer)
        self._overlay = Overlay(self._roster, self._peers, seed)
        self._tables = TableSubject(tables)
        self._shards = MapSubject(catalogue)
        common = (store, self._roster, self._peers, self._peers.beat, observer, seed)
        self._table_spread = Spread(self._tables, *common)
        self._shard_spread = Spread(self._shards, *common)
        self._common = common
        self._seat_spread: Spread[SeatPlans] | None = None
        self._seating: Seating | None = None
        self._shares: SeatShares | None = None
        self._peers.attach(self)
        self._reporter = Reporter(
            store,
            self._roster,
            self._peers,
            lambda: StatusNews(self.versions, self.ready, self.lacking),
            lambda: epoch + asyncio.get_running_loop().time(),
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def membership(self) -> Roster:
        """What this VM believes of the others."""
        return self._roster

    @property
    def bus(self) -> Peers:
        """The links to the others."""
        return self._peers

    @property
    def versions(self) -> Versions:
        """What is in force on this VM."""
        seats = self._shares.epoch if self._shares else 0
        return Versions(self._tables.version, self._shards.version, seats)

    @property
    def lacking(self) -> str:
        """What this VM lacks to serve, ``""`` if nothing."""
        lacks = [
            f"no {subject.name} from the store or a peer"
            for subject in (self._tables, self._shards)
            if subject.version == 0
        ]
        if self._shares is not None and not self._shares.seated:
            lacks.append("no seat among those that share the upstreams' connections")
        return "; ".join(lacks)

    @property
    def ready(self) -> bool:
        """Whether this VM has all that it needs to serve."""
        return not self.lacking

    @property
    def reads(self) -> bool:
        """Whether this VM watches the store for its data centre."""
        return is_reader(self._roster)

    def share_connections(self, shares: SeatShares, upstreams: UpstreamRegistry) -> None:
        """Take part in sharing the upstreams' connections; called before :meth:`start`.

        :param shares: this VM's shares, the limit of the upstreams' connections.
        """
        self._shares = shares
        subject = SeatSubject(shares, self._roster.own.data_centre)
        self._seat_spread = Spread(subject, *self._common)
        self._seating = Seating(
            shares,
            self._store,
            self._roster,
            self._peers,
            upstreams.connection_counts,
            upstreams.trim_connections,
            self._seat_spread.offer,
            self._seed,
        )

    async def accept(self, link: PeerLink) -> None:
        """Serve a link that another VM opened."""
        await self._peers.accept(link)

    def heard(self, member: Member, heartbeat: Heartbeat) -> None:
        """Ask for whatever is newer on the other side."""
        self._table_spread.announced(heartbeat.versions.table, member)
        self._shard_spread.announced(heartbeat.versions.shards, member)
        near = member.data_centre == self._roster.own.data_centre
        if self._seat_spread is not None and near:
            self._seat_spread.announced(heartbeat.versions.seats, member)

    def start(self) -> None:
        """Begin, each concern in a task of its own."""
        concerns: dict[str, Callable[[], Awaitable[None]]] = {
            "heartbeats": self._peers.run,
            "overlay": self._overlay.run,
            "platform list": self._list,
            "status": self._reporter.run,
            "table read": self._table_spread.read,
            "table pull": self._table_spread.pull,
            "shards read": self._shard_spread.read,
            "shards pull": self._shard_spread.pull,
        }
        if self._seating is not None and self._seat_spread is not None:
            concerns["seat"] = self._seating.keep
            concerns["seat confirm"] = self._seating.confirm
            concerns["seat read"] = self._seat_spread.read
            concerns["seat pull"] = self._seat_spread.pull
        for name, run in concerns.items():
            self._tasks.append(asyncio.create_task(self._last(name, run), name=name))

    def leave(self) -> None:
        """Tell all VMs that this one is leaving; it still serves what it has begun."""
        self._roster.leave(Condition.LEAVING)

    async def stop(self) -> None:
        """Tell all VMs that this one has ended, and end all links.

        The connections to upstreams are closed by now.
        """
        if self._seating is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(GIVE_BACK_SECONDS):
                    await self._seating.give_back()
        self._roster.leave(Condition.ENDED)
        await asyncio.sleep(FAREWELL_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.close("ended")

    async def _last(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a concern and begin it anew if it fails."""
        while True:
            try:
                await run()
                return
            except Exception:
                write_traceback()
                self._observer.counted("concern_failed")
                await asyncio.sleep(RESTART_SECONDS)

    async def _list(self) -> None:
        while True:
            if is_reader(self._roster) or not len(self._peers.links):
                try:
                    self._roster.take_list(await self._store.members())
                except StoreUnavailableError:
                    await asyncio.sleep(LIST_SECONDS)
            await asyncio.sleep(LIST_SECONDS)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(self.versions, self._roster.digests)
