"""The replicas of each service, as the platform's store lists them."""

import asyncio
from collections.abc import Callable, Iterable

from auburncart.coordination.forwarding.interfaces import ReplicaDialer
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.replica import ReplicaConnectionPool
from auburncart.state.event import ReplicasChanged
from auburncart.state.registration import Registration

__all__ = ["ReplicaRegistry"]

RETURN_SECONDS = 2.0  # within which live replicas register again once the store is back
TRIM_SECONDS = 1.0  # between looks at idle connections, well below the least idle limit


class ReplicaRegistry:
    """Holds a pool of connections for each replica that may be used.

    :param distance: returns how far a data centre is: 0 here, 1 in this region, 2 elsewhere.
    :param dialer: opens connections to replicas.
    :param share: returns the connections that this VM may hold to a replica of a service in a
        data centre.
    :param journal: told of every change.
    """

    def __init__(
        self,
        distance: Callable[[str], int],
        dialer: ReplicaDialer,
        share: Callable[[str, str], int],
        journal: Journal,
    ) -> None:
        self._distance = distance
        self._dialer = dialer
        self._share = share
        self._journal = journal
        self._pools: dict[str, ReplicaConnectionPool] = {}
        self._services: dict[str, list[ReplicaConnectionPool]] = {}
        self._lapsed: dict[str, float] = {}
        self._lenient_until = 0.0
        self._generation = 0

    @property
    def generation(self) -> int:
        """A number that grows with each change of the replicas that may be asked."""
        return self._generation

    @property
    def size(self) -> int:
        """Number of replicas known."""
        return len(self._pools)

    @property
    def pools(self) -> Iterable[ReplicaConnectionPool]:
        """All replicas."""
        return self._pools.values()

    def candidates(self, service: str) -> list[ReplicaConnectionPool]:
        """Return the replicas of a service that may be given new requests."""
        return [pool for pool in self._services.get(service, ()) if pool.usable]

    def store_recovered(self) -> None:
        """Take in that the store is back: entries that lapsed meanwhile may come again."""
        self._lenient_until = _now() + RETURN_SECONDS

    def replace(self, registrations: Iterable[Registration]) -> None:
        """Take in the whole list."""
        listed = {entry.instance: entry for entry in registrations}
        for entry in listed.values():
            self.install(entry)
        for instance in [name for name in self._pools if name not in listed]:
            self.remove(instance)

    def install(self, entry: Registration) -> None:
        """Take in an entry that is new or has changed."""
        self._lapsed.pop(entry.instance, None)
        pool = self._pools.get(entry.instance)
        if pool is not None and _same_process(pool.registration, entry):
            if entry.draining and not pool.registration.draining:
                self._record(entry, "draining")
                pool.retire()
            pool.registration = entry
            return
        if pool is not None:
            self._drop(entry.instance, "restarted")
        pool = ReplicaConnectionPool(
            entry,
            self._distance(entry.data_centre),
            self._dialer,
            lambda: self._share(entry.service, entry.data_centre),
        )
        self._pools[entry.instance] = pool
        self._services.setdefault(entry.service, []).append(pool)
        self._record(entry, "draining" if entry.draining else "added")
        if entry.draining:
            pool.retire()

    def remove(self, instance: str) -> None:
        """Take in that an entry is gone; just after an outage of the store it may come again."""
        if instance not in self._pools:
            return
        if _now() < self._lenient_until:
            self._lapsed[instance] = self._lenient_until
            return
        self._drop(instance, "gone")

    def disown(self, pool: ReplicaConnectionPool, owner: str) -> None:
        """Never ask a replica again whose address belongs to another one now.

        :param owner: identifier of the replica that answers there.
        """
        if pool.usable:
            self._record(pool.registration, f"address taken by {owner or 'another replica'}")
            pool.retire()

    async def run(self) -> None:
        """Drop lapsed entries when their time is up, and close idle connections."""
        while True:
            await asyncio.sleep(TRIM_SECONDS)
            now = _now()
            for instance in [name for name, until in self._lapsed.items() if now >= until]:
                del self._lapsed[instance]
                self._drop(instance, "lapsed")
            for pool in self._pools.values():
                pool.trim()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()

    def close(self) -> None:
        """End all connections."""
        for pool in self._pools.values():
            pool.close()

    def _drop(self, instance: str, change: str) -> None:
        pool = self._pools.pop(instance)
        self._services[pool.registration.service].remove(pool)
        pool.retire()
        self._record(pool.registration, change)

    def _record(self, entry: Registration, change: str) -> None:
        self._generation += 1
        event = ReplicasChanged(
            entry.instance, entry.service, entry.address, change, len(self._pools)
        )
        self._journal.record(event)


def _same_process(one: Registration, other: Registration) -> bool:
    return (one.address, one.service, one.born) == (other.address, other.service, other.born)


def _now() -> float:
    return asyncio.get_running_loop().time()
