"""Shares of upstreams' connections that add up to no more than the limit, whoever knows what.

Each VM computes from a seat plan how many connections each seat may hold to a replica. A VM may
keep what it has up to its share of the newest plan that it knows. It may take more only as far
as the limit leaves room beside the largest share that each other seat had in any plan from the
one that seat last confirmed up to the newest, and not at all while another seat has confirmed a
plan that it does not know. A seat confirms a plan once it holds no more than its share of it.

Notes
-----
Take the VM whose last growth used the newest plan. Every other VM's last growth used that plan or
an older one; what it holds is at most its share of a plan from its confirmed one to that one, and
the growth left room for all of these. So the sum never exceeds the limit.
"""

from collections.abc import Iterable

import xxhash

from auburncart.coordination.interfaces import Key
from auburncart.coordination.connection_limit import ConnectionLimit
from auburncart.state.seat import Seat, SeatPlan, SeatPlans
from auburncart.state.shards import Replica

__all__ = ["SeatShares", "pool_size", "seats_key", "seat_share"]

LEAST_CONNECTIONS = 2  # each VM that may talk to a replica holds up to this many or more
FAR_PART = 2  # one part in this many of a replica's connections is for other data centres


def seats_key(data_centre: str) -> Key[SeatPlans]:
    """Return the key of a data centre's seat plans."""
    return Key("seats", data_centre)


def pool_size(replica: Replica, data_centre: str, data_centres: int) -> int:
    """Return how many of a replica's connections the VMs of a data centre share.

    :param data_centre: data centre of the VMs.
    :param data_centres: number of data centres with VMs.

    >>> replica = Replica("10.0.0.1:80", "dc1", connections=25)
    >>> [pool_size(replica, name, 3) for name in ("dc1", "dc2", "dc3")]
    [13, 6, 6]
    """
    others = data_centres - 1
    far = replica.connections // FAR_PART // others if others else 0
    return replica.connections - far * others if replica.data_centre == data_centre else far


def seat_share(seat: Seat, plan: SeatPlan, replica: Replica, pool: int) -> int:
    """Return how many connections a seat may hold to a replica under a plan.

    Where there are many seats, only some of them, by rendezvous hashing, have a share.
    """
    return _shares(plan, replica, pool).get(seat, 0)


def _shares(plan: SeatPlan, replica: Replica, pool: int) -> dict[Seat, int]:
    most = max(1, pool // LEAST_CONNECTIONS)
    sharers = sorted(plan.seats, key=lambda seat: _weight(seat, replica))[:most]
    if not sharers:
        return {}
    each, more = divmod(pool, len(sharers))
    return {seat: each + (place < more) for place, seat in enumerate(sharers)}


def _weight(seat: Seat, replica: Replica) -> int:
    text = f"{replica.address}|{seat.address}|{seat.incarnation}"
    return xxhash.xxh64_intdigest(text.encode())


class SeatShares(ConnectionLimit):
    """This VM's share of each replica's connections.

    :param own: this VM's seat.
    :param data_centre: data centre in which it runs.
    :param data_centres: number of data centres with VMs, the same on all of them.
    """

    def __init__(self, own: Seat, data_centre: str, data_centres: int) -> None:
        self._own = own
        self._data_centre = data_centre
        self._data_centres = data_centres
        self._plans: SeatPlans | None = None
        self._confirmed: dict[Seat, int] = {}
        self._granted: dict[Replica, int] = {}
        self._fresh: dict[Replica, int] = {}
        self._changes = 0

    @property
    def own(self) -> Seat:
        """This VM's seat."""
        return self._own

    @property
    def plans(self) -> SeatPlans | None:
        """The plans known, None before the first."""
        return self._plans

    @property
    def epoch(self) -> int:
        """Epoch of the newest plan known, 0 before the first."""
        return self._plans.newest.epoch if self._plans else 0

    @property
    def changes(self) -> int:
        """Number that grows whenever shares may have changed."""
        return self._changes

    @property
    def seated(self) -> bool:
        """Whether this VM has a seat in the newest plan known."""
        return self._plans is not None and self._own in self._plans.newest.seats

    def adopt(self, seat: Seat) -> None:
        """Act as a seat whose process has ended, from the share that this VM holds now: none."""
        self._own = seat
        self._granted.clear()
        self._forget_shares()

    def install(self, plans: SeatPlans) -> bool:
        """Act by newer plans from now on.

        :return: whether they were newer.
        """
        if plans.newest.epoch <= self.epoch:
            return False
        self._plans = plans
        self._forget_shares()
        for replica in self._granted:
            self.max_connections(replica)
        return True

    def confirm(self, seat: Seat, epoch: int) -> None:
        """Take in that a seat holds no more than its shares under a plan."""
        if epoch > self._confirmed.get(seat, 0):
            self._confirmed[seat] = epoch
            self._forget_shares()

    def confirmed(self, seat: Seat) -> int:
        """Return the epoch that a seat last confirmed, 0 if it is not known."""
        return self._confirmed.get(seat, 0)

    def max_connections(self, replica: Replica) -> int:
        """Return the most connections this VM may hold to a replica now."""
        known = self._fresh.get(replica)
        if known is None:
            known = self._fresh[replica] = self._granted[replica] = self._grant(replica)
        return known

    def share(self, replica: Replica) -> int:
        """Return this VM's share under the newest plan known."""
        if self._plans is None:
            return 0
        return seat_share(self._own, self._plans.newest, replica, self._pool(replica))

    def keeps_to_plan(self, held: Iterable[tuple[Replica, int]]) -> bool:
        """Return whether the connections held are within the shares of the newest plan known."""
        return all(count <= self.share(replica) for replica, count in held)

    def _forget_shares(self) -> None:
        self._fresh.clear()
        self._changes += 1

    def _grant(self, replica: Replica) -> int:
        if self._plans is None:
            return 0
        share = self.share(replica)
        kept = min(self._granted.get(replica, 0), share)
        return max(kept, min(share, self._room(replica, self._plans)))

    def _room(self, replica: Replica, plans: SeatPlans) -> int:
        pool = self._pool(replica)
        by_plan = [(plan.epoch, _shares(plan, replica, pool)) for plan in plans.plans]
        taken = 0
        for seat in plans.newest.seats:
            since = self.confirmed(seat)
            if since > self.epoch:
                return 0  # that seat acts by a plan not known here yet
            if seat != self._own:
                taken += max(shares.get(seat, 0) for epoch, shares in by_plan if epoch >= since)
        return max(0, pool - taken)

    def _pool(self, replica: Replica) -> int:
        return pool_size(replica, self._data_centre, self._data_centres)
