"""Shares of upstreams' connections that never add up to more than the limit.

Each VM computes from a seat plan how many connections each seat may hold to a replica. A VM may
keep its connections up to its share under the newest plan that it knows. It may open more only
within the limit minus, for each other seat, the largest share of that seat in any plan from the
one it last confirmed to the newest. It may open none while another seat has confirmed a plan
that this VM does not know. A seat confirms a plan once it holds no more than its share under it.

Notes
-----
The sum of connections never exceeds the limit, even if the VMs know different plans. Consider the
VM whose last growth used the newest plan. Every other VM's last growth used that plan or an older
one; it holds at most its share under a plan from its confirmed one to that one, and the growth
left room for all of these.
"""

from collections.abc import Iterable

import xxhash

from auburncart.coordination.connection_limit import ConnectionLimit
from auburncart.coordination.interfaces import Key
from auburncart.state.seat import Seat, SeatPlan, SeatPlans
from auburncart.state.shards import Replica

__all__ = ["SeatShares", "pool_size", "seat_share", "seats_key"]

MIN_CONNECTIONS = 2  # smallest share of a VM that may connect to a replica, if the pool allows
REMOTE_DIVISOR = 2  # 1 / REMOTE_DIVISOR of a replica's connections is for other data centres


def seats_key(data_centre: str) -> Key[SeatPlans]:
    """Return the key of a data centre's seat plans."""
    return Key("seats", data_centre)


def pool_size(replica: Replica, data_centre: str, data_centres: int) -> int:
    """Return how many of a replica's connections the VMs of a data centre share.

    :param data_centre: data centre of the VMs.
    :param data_centres: number of data centres with VMs.

    >>> replica = Replica("10.0.0.1:80", "dc1", max_connections=25)
    >>> [pool_size(replica, name, 3) for name in ("dc1", "dc2", "dc3")]
    [13, 6, 6]
    """
    others = data_centres - 1
    remote = replica.max_connections // REMOTE_DIVISOR // others if others else 0
    return (
        replica.max_connections - remote * others if replica.data_centre == data_centre else remote
    )


def seat_share(seat: Seat, plan: SeatPlan, replica: Replica, pool: int) -> int:
    """Return how many connections a seat may hold to a replica under a plan.

    If there are many seats, only some have a share, chosen by rendezvous hashing.
    """
    return _shares(plan, replica, pool).get(seat, 0)


def _shares(plan: SeatPlan, replica: Replica, pool: int) -> dict[Seat, int]:
    max_sharers = max(1, pool // MIN_CONNECTIONS)
    sharers = sorted(plan.seats, key=lambda seat: _weight(seat, replica))[:max_sharers]
    if not sharers:
        return {}
    each, remainder = divmod(pool, len(sharers))
    return {seat: each + (position < remainder) for position, seat in enumerate(sharers)}


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
        self._last_grants: dict[Replica, int] = {}
        self._cached_grants: dict[Replica, int] = {}
        self._change_count = 0

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
    def change_count(self) -> int:
        """Counter that increases whenever shares may have changed."""
        return self._change_count

    @property
    def seated(self) -> bool:
        """Whether this VM has a seat in the newest plan known."""
        return self._plans is not None and self._own in self._plans.newest.seats

    def adopt(self, seat: Seat) -> None:
        """Take over a seat whose process has ended, with no connections held under it yet."""
        self._own = seat
        self._last_grants.clear()
        self._clear_grants()

    def install(self, plans: SeatPlans) -> bool:
        """Use the given plans if they are newer.

        :return: whether they were newer.
        """
        if plans.newest.epoch <= self.epoch:
            return False
        self._plans = plans
        self._clear_grants()
        for replica in self._last_grants:
            self.max_connections(replica)
        return True

    def confirm(self, seat: Seat, epoch: int) -> None:
        """Record that a seat holds no more than its shares under a plan."""
        if epoch > self._confirmed.get(seat, 0):
            self._confirmed[seat] = epoch
            self._clear_grants()

    def confirmed(self, seat: Seat) -> int:
        """Return the epoch of the plan that a seat last confirmed, 0 if unknown."""
        return self._confirmed.get(seat, 0)

    def max_connections(self, replica: Replica) -> int:
        """Return the maximum number of connections of this VM to a replica at present."""
        grant = self._cached_grants.get(replica)
        if grant is None:
            grant = self._cached_grants[replica] = self._last_grants[replica] = self._grant(replica)
        return grant

    def share(self, replica: Replica) -> int:
        """Return this VM's share under the newest plan known."""
        if self._plans is None:
            return 0
        return seat_share(self._own, self._plans.newest, replica, self._pool(replica))

    def keeps_to_plan(self, held: Iterable[tuple[Replica, int]]) -> bool:
        """Return whether the connections held are within the shares of the newest plan known."""
        return all(count <= self.share(replica) for replica, count in held)

    def _clear_grants(self) -> None:
        self._cached_grants.clear()
        self._change_count += 1

    def _grant(self, replica: Replica) -> int:
        if self._plans is None:
            return 0
        share = self.share(replica)
        kept = min(self._last_grants.get(replica, 0), share)
        return max(kept, min(share, self._available(replica, self._plans)))

    def _available(self, replica: Replica, plans: SeatPlans) -> int:
        pool = self._pool(replica)
        by_plan = [(plan.epoch, _shares(plan, replica, pool)) for plan in plans.plans]
        taken = 0
        for seat in plans.newest.seats:
            since = self.confirmed(seat)
            if since > self.epoch:
                return 0  # that seat uses a plan that this VM does not know yet
            if seat != self._own:
                taken += max(shares.get(seat, 0) for epoch, shares in by_plan if epoch >= since)
        return max(0, pool - taken)

    def _pool(self, replica: Replica) -> int:
        return pool_size(replica, self._data_centre, self._data_centres)
