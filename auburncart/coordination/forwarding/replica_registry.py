"""The replicas of each service, as listed in the platform's store."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from auburncart.coordination.forwarding.interfaces import ReplicaDialer
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.replica import ReplicaConnectionPool
from auburncart.coordination.forwarding.replica_pace import PaceShares
from auburncart.coordination.forwarding.request_limit import RequestShare
from auburncart.state.event import LimitChanged, ReplicaPaused, ReplicasChanged
from auburncart.state.registration import Registration

__all__ = ["ReplicaRegistry"]

REREGISTRATION_SECONDS = 2.0  # within which live replicas register again after an outage
REMOVAL_MARGIN_SECONDS = 0.1
TIMER_MARGIN_SECONDS = 0.005  # a timer may run early by the resolution of the clock
# Between checks of idle connections; well below the shortest idle limit.
IDLE_CHECK_SECONDS = 1.0
MAX_LEAVING = 10_000  # processes that are remembered as leaving


class _Process(NamedTuple):
    """What tells a replica's process from others, also from an earlier one of the same name."""

    instance: str
    address: str
    service: str
    started_at_ms: int


class _Member(NamedTuple):
    """A replica in the registry.

    :param removed_at: loop time at which it is removed unless its entry returns, None while it is
        listed.
    """

    pool: ReplicaConnectionPool
    removed_at: float | None = None


class ReplicaRegistry:
    """Holds a connection pool for each registered replica.

    :param distance: returns the distance of a data centre: 0 for this VM's own, 1 in the same
        region, 2 in another region.
    :param dialer: opens connections to replicas.
    :param connection_share: returns this VM's share of the connections that a replica of a service
        in a data centre accepts.
    :param request_share: returns this VM's share of a limit that a replica names.
    :param journal: records every change.
    """

    def __init__(
        self,
        distance: Callable[[str], int],
        dialer: ReplicaDialer,
        connection_share: Callable[[str, str], float],
        request_share: Callable[[Registration, float], RequestShare],
        journal: Journal,
    ) -> None:
        self._distance = distance
        self._dialer = dialer
        self._connection_share = connection_share
        self._shares = _TierShares(request_share, journal)
        self._journal = journal
        self._members: dict[str, _Member] = {}
        # Index of the members, changed with them by _add() and _drop() only.
        self._services: dict[str, list[ReplicaConnectionPool]] = {}
        self._leaving: OrderedDict[_Process, None] = OrderedDict()
        self._reregistration_until = 0.0
        self._generation = 0

    @property
    def generation(self) -> int:
        """Counter that grows with each change of the replicas."""
        return self._generation

    @property
    def size(self) -> int:
        """Number of known replicas."""
        return len(self._members)

    @property
    def pools(self) -> Iterable[ReplicaConnectionPool]:
        """Connection pools of all replicas."""
        return (member.pool for member in self._members.values())

    def candidates(self, service: str) -> list[ReplicaConnectionPool]:
        """Return the replicas of a service to which new requests may be sent."""
        return [pool for pool in self._services.get(service, ()) if pool.usable]

    @property
    def paced(self) -> bool:
        """Whether any replica may let requests wait."""
        return any(pool.paced for pool in self.pools)

    def send_delay(self, service: str, priority: int) -> float:
        """Return the seconds until a replica of a service takes one more request."""
        delays = (pool.send_delay(priority) for pool in self.candidates(service))
        return min(delays, default=0.0)

    def store_recovered(self, gone_at: float) -> None:
        """Keep replicas for a while whose entries expired during an outage of the store.

        :param gone_at: loop time from which replicas that are missing must not be used.
        """
        until = min(_now() + REREGISTRATION_SECONDS, gone_at - REMOVAL_MARGIN_SECONDS)
        self._reregistration_until = until
        asyncio.get_running_loop().call_at(until + TIMER_MARGIN_SECONDS, self._drop_lapsed)

    def replace(self, registrations: Iterable[Registration]) -> None:
        """Replace all replicas by a complete list."""
        listed = {entry.instance: entry for entry in registrations}
        for entry in listed.values():
            self.install(entry)
        for instance in [name for name in self._members if name not in listed]:
            self.remove(instance)

    def install(self, entry: Registration) -> None:
        """Add a replica or update its entry."""
        member = self._members.get(entry.instance)
        if member is None:
            self._add(entry)
            return
        pool = member.pool
        if not _same_process(pool.registration, entry):
            self._drop(entry.instance, "restarted")
            self._add(entry)
            return
        self._members[entry.instance] = _Member(pool)
        if entry.draining and not pool.registration.draining:
            self._record(entry, "draining")
            pool.retire()
        pool.registration = entry

    def remove(self, instance: str) -> None:
        """Remove a replica, after a delay if the store has just recovered from an outage."""
        member = self._members.get(instance)
        if member is None:
            return
        if _now() < self._reregistration_until:
            self._members[instance] = member._replace(removed_at=self._reregistration_until)
        else:
            self._drop(instance, "gone")

    def retire_moved(self, pool: ReplicaConnectionPool, owner: str) -> None:
        """Retire a replica whose address now belongs to another one.

        :param owner: identifier of the replica that answers at the address.
        """
        if pool.usable:
            self._record(pool.registration, f"address taken by {owner or 'another replica'}")
            pool.retire()

    async def run(self) -> None:
        """Close expired connections; runs until cancelled."""
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            for pool in self.pools:
                pool.close_expired()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for pool in self.pools:
            pool.close_idle()

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools:
            pool.close()

    def _retire_leaving(self, pool: ReplicaConnectionPool) -> None:
        """Retire a replica that says that it is about to end, whatever the store lists."""
        self._leaving[_process_of(pool.registration)] = None
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        if pool.usable:
            self._record(pool.registration, "leaving")
        pool.retire()

    def _add(self, entry: Registration) -> None:
        pool = ReplicaConnectionPool(
            entry,
            self._distance(entry.data_centre),
            self._dialer,
            lambda: self._connection_share(entry.service, entry.data_centre),
            self._shares,
            self._retire_leaving,
        )
        self._members[entry.instance] = _Member(pool)
        self._services.setdefault(entry.service, []).append(pool)
        self._record(entry, "draining" if entry.draining else "added")
        if entry.draining or _process_of(entry) in self._leaving:
            pool.retire()

    def _drop_lapsed(self) -> None:
        """Remove the replicas whose entries have not returned in time."""
        now = _now()
        lapsed = [
            instance
            for instance, member in self._members.items()
            if member.removed_at is not None and member.removed_at <= now
        ]
        for instance in lapsed:
            self._drop(instance, "lapsed")

    def _drop(self, instance: str, change: str) -> None:
        pool = self._members.pop(instance).pool
        self._services[pool.registration.service].remove(pool)
        pool.retire()
        self._record(pool.registration, change)

    def _record(self, entry: Registration, change: str) -> None:
        self._generation += 1
        event = ReplicasChanged(
            entry.instance, entry.service, entry.address, change, len(self._members)
        )
        self._journal.record(event)


class _TierShares(PaceShares):
    """Limits that all VMs share, by the list of VMs.

    :param request_share: returns this VM's share of a limit that a replica names.
    :param journal: records changes of the limits.
    """

    def __init__(
        self, request_share: Callable[[Registration, float], RequestShare], journal: Journal
    ) -> None:
        self._request_share = request_share
        self._journal = journal

    def share(self, replica: Registration, limit: float) -> RequestShare:
        """Return this VM's part of a limit."""
        return self._request_share(replica, limit)

    def record_limit(self, replica: Registration, before: float, limit: float) -> None:
        """Log that a replica names another limit."""
        self._journal.record(LimitChanged(replica.instance, replica.service, limit, before))

    def record_pause(self, replica: Registration, seconds: float) -> None:
        """Log that a replica wants no requests from this VM for some time."""
        self._journal.record(ReplicaPaused(replica.instance, replica.service, seconds))


def _same_process(one: Registration, other: Registration) -> bool:
    return _process_of(one) == _process_of(other)


def _process_of(entry: Registration) -> _Process:
    return _Process(entry.instance, entry.address, entry.service, entry.started_at_ms)


def _now() -> float:
    return asyncio.get_running_loop().time()
