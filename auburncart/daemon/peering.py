"""Membership of an entry VM in the tier: its listener, its peer group and shared limits."""

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
    """Connects a VM to the tier if its settings name an address for peers.

    :param epoch: Unix time in seconds at loop time 0.
    """

    def __init__(
        self, settings: EntrySettings, store: Store, observer: Observer, epoch: float
    ) -> None:
        own_member = Member(settings.peer_address, settings.data_centre, int(time.time() * 1000))
        seat = Seat(own_member.address, own_member.incarnation)
        self._tables = CurrentTable()
        self._catalogue = Catalogue()
        self._seat_shares = SeatShares(seat, own_member.data_centre, settings.data_centres)
        self._peer_group = PeerGroup(
            own_member,
            settings.peer_seeds,
            store,
            WebSocketDialer(),
            KeyRing(settings.peer_keys),
            self._tables,
            self._catalogue,
            observer,
            zlib.crc32(f"{settings.name}/{own_member.incarnation}".encode()),
            epoch,
        )
        self._listener = WebSocketPeerListener(own_member.address, self._peer_group.accept)

    @property
    def tables(self) -> CurrentTable:
        """The table in force."""
        return self._tables

    @property
    def catalogue(self) -> Catalogue:
        """The shard map in force."""
        return self._catalogue

    def data_centre_vms(self) -> int:
        """Return the current number of VMs that share a limit of this data centre."""
        membership = self._peer_group.membership
        return membership.max_active_vms(membership.own.data_centre)

    def tier_vms(self) -> int:
        """Return the current number of VMs in all data centres."""
        membership = self._peer_group.membership
        return sum(membership.max_active_vms(name) for name in membership.data_centres())

    def share_limits(self, policies: Policies) -> Policies:
        """Return policies whose limits are shared with the other VMs."""
        rate_limiter = SharedRateLimiter(
            self._peer_group.bus, self._peer_group.membership, self._catalogue.data_centres
        )
        return policies._replace(connection_limit=self._seat_shares, rate_limiter=rate_limiter)

    def attach(self, node: Node) -> None:
        """Share a node's connections and claims with the peers, and announce when it leaves."""
        peer_group = self._peer_group
        peer_group.share_connections(self._seat_shares, node.upstreams)
        node.request_tracker.on_leaving(peer_group.leave)
        node.add_readiness_check(lambda: peer_group.ready)
        node.exchange_losses(peer_group.bus)
        node.route_claims_to_owners(peer_group.membership, peer_group.bus)

    async def start(self) -> None:
        """Listen, then connect to the peers."""
        await self._listener.start()
        self._peer_group.start()

    async def stop(self) -> None:
        """Announce to the peers that this VM stops, and stop listening."""
        await self._peer_group.stop()
        await self._listener.stop()
