"""The shard map in force on this VM."""

import asyncio
import contextlib
import random

from auburncart.coordination.follow import follow
from auburncart.coordination.interfaces import Key, Store
from auburncart.state.shards import Replica, ShardMap

__all__ = ["SHARD_MAP", "Catalogue"]

SHARD_MAP: Key[ShardMap] = Key("shards", "current")


class Catalogue:
    """Holds the newest shard map; an older one never replaces it."""

    def __init__(self) -> None:
        self._current: ShardMap | None = None
        self._data_centres: tuple[str, ...] = ()
        self._capacity = 0.0
        self._installed = asyncio.Event()
        self._changed = asyncio.Event()

    @property
    def current(self) -> ShardMap | None:
        """The newest shard map, None before the first."""
        return self._current

    @property
    def capacity(self) -> float:
        """Number of sub-queries that fill all replicas' slots, 0 before the first shard map."""
        return self._capacity

    def data_centres(self) -> tuple[str, ...]:
        """Return the names of the data centres that have upstreams, sorted."""
        return self._data_centres

    async def wait(self) -> None:
        """Wait until a shard map is in force."""
        await self._installed.wait()

    async def wait_for_newer(self, version: int, until: float) -> ShardMap | None:
        """Wait for a shard map newer than a version.

        :param until: loop time in seconds at which to give up.
        :return: the shard map, None if none arrived in time.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                while self._current is None or self._current.version <= version:
                    await self._changed.wait()
                return self._current
        return None

    def install(self, shard_map: ShardMap) -> bool:
        """Put a shard map in force if it is newer than the one in force.

        :return: whether it was.
        """
        if self._current is not None and shard_map.version <= self._current.version:
            return False
        self._current = shard_map
        self._data_centres = _data_centres_of(shard_map)
        self._capacity = _search_capacity(shard_map)
        self._installed.set()
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def follow(self, store: Store, rng: random.Random) -> None:
        """Watch the store and put each new shard map in force; runs until cancelled.

        :param rng: source of the jitter between failed attempts.
        """
        await follow(store, SHARD_MAP, self.install, rng)


def _data_centres_of(shard_map: ShardMap) -> tuple[str, ...]:
    replicas = (replica for shard in shard_map.shards.values() for replica in shard.replicas)
    return tuple(sorted({replica.data_centre for replica in replicas}))


def _search_capacity(shard_map: ShardMap) -> float:
    """Return how many sub-queries of complete searches the slots of all replicas hold.

    A slot holds one request, and a request one replica's part of the shards of a search, at most
    the replica's batch limit.
    """
    replicas: dict[str, Replica] = {}
    parts: dict[str, float] = {}
    for shard in shard_map.shards.values():
        for replica in shard.replicas:
            replicas[replica.address] = replica
            part = parts.get(replica.address, 0.0) + 1.0 / len(shard.replicas)
            parts[replica.address] = part
    return sum(
        replica.slots * max(1.0, min(replica.batch_limit, parts[address]))
        for address, replica in replicas.items()
    )
