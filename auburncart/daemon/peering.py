"""The daemon's part in the tier: its listener, its group, and what it shares with peers."""

import time
import zlib

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.group import PeerGroup
from auburncart.coordination.handshake import KeyRing
from auburncart.coordination.interfaces import Store
from auburncart.coordination.node import Node
from auburncart.coordination.observer import Observer
from auburncart.coordination.policies import Policies
from auburncart.coordination.seats import SeatShares
from auburncart.coordination.shared_rate_limiter import SharedRateLimiter
from auburncart.coordination.table import CurrentTable
from auburncart.settings.entry import EntrySettings
from auburncart.state.member import Member
from auburncart.state.seat import Seat
from auburncart.transport.peer import WebSocketDialer, WebSocketPeerListener

__all__ = ["Peering"]


class Peering:
    """Takes part in the tier for a VM whose settings name an address for peers.

    :param epoch: seconds since the epoch at loop time 0.
    """

    def __init__(
        self, settings: EntrySettings, store: Store, observer: Observer, epoch: float
    ) -> None:
        own = Member(settings.peer_address, settings.data_centre, int(time.time() * 1000))
        seat = Seat(own.address, own.incarnation)
        self._tables = CurrentTable()
        self._catalogue = Catalogue()
        self._shares = SeatShares(seat, own.data_centre, settings.data_centres)
        self._group = PeerGroup(
            own,
            settings.peer_seeds,
            store,
            WebSocketDialer(),
            KeyRing(settings.peer_keys),
            self._tables,
            self._catalogue,
            observer,
            zlib.crc32(f"{settings.name}/{own.incarnation}".encode()),
            epoch,
        )
        self._listener = WebSocketPeerListener(own.address, self._group.accept)

    @property
    def tables(self) -> CurrentTable:
        """The table in force."""
        return self._tables

    @property
    def catalogue(self) -> Catalogue:
        """The shard map in force."""
        return self._catalogue

    def sharing(self) -> int:
        """Return the number of VMs that share a limit of this data centre now."""
        membership = self._group.membership
        return membership.max_active_vms(membership.own.data_centre)

    def tier(self) -> int:
        """Return the number of VMs in all data centres now."""
        membership = self._group.membership
        return sum(membership.max_active_vms(name) for name in membership.data_centres())

    def share(self, policies: Policies) -> Policies:
        """Return policies that keep to limits together with the other VMs."""
        rate_limiter = SharedRateLimiter(
            self._group.bus, self._group.membership, self._catalogue.data_centres
        )
        return policies._replace(connection_limit=self._shares, rate_limiter=rate_limiter)

    def attach(self, node: Node) -> None:
        """Share a node's connections and claims, and tell the others when it leaves."""
        group = self._group
        group.share_connections(self._shares, node.upstreams)
        node.request_tracker.on_leaving(group.leave)
        node.add_readiness_check(lambda: group.ready)
        node.exchange_losses(group.bus)
        node.route_claims_to_owners(group.membership, group.bus)

    async def start(self) -> None:
        """Listen, then look for the others."""
        await self._listener.start()
        self._group.start()

    async def stop(self) -> None:
        """Tell the others that this VM has ended, and stop listening."""
        await self._group.stop()
        await self._listener.stop()
