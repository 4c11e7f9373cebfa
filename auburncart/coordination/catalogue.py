"""The shard map in force, from the platform's store."""

import asyncio
import random

from auburncart.coordination.follow import follow
from auburncart.coordination.interfaces import Key, Store
from auburncart.state import ShardMap

__all__ = ["SHARD_MAP", "Catalogue"]

SHARD_MAP: Key[ShardMap] = Key("shards", "current")


class Catalogue:
    """Holds the newest shard map and never goes back to an older one."""

    def __init__(self) -> None:
        self._current: ShardMap | None = None
        self._data_centres: tuple[str, ...] = ()
        self._slots = 0
        self._arrived = asyncio.Event()

    @property
    def current(self) -> ShardMap | None:
        """The newest shard map, None before the first."""
        return self._current

    @property
    def slots(self) -> int:
        """Number of slots of all replicas in force, 0 before the first shard map."""
        return self._slots

    def data_centres(self) -> tuple[str, ...]:
        """Return the names of the data centres that have upstreams, in order."""
        return self._data_centres

    async def wait(self) -> None:
        """Wait until one is in force."""
        await self._arrived.wait()

    def install(self, shard_map: ShardMap) -> bool:
        """Put a shard map in force if it is newer than the one in force.

        :return: whether it was.
        """
        if self._current is not None and shard_map.version <= self._current.version:
            return False
        self._current = shard_map
        self._data_centres = _data_centres_of(shard_map)
        replicas = {
            replica.address: replica.slots
            for shard in shard_map.shards.values()
            for replica in shard.replicas
        }
        self._slots = sum(replicas.values())
        self._arrived.set()
        return True

    async def follow(self, store: Store, rng: random.Random) -> None:
        """Watch the store and put each new shard map in force; runs until cancelled.

        :param rng: source of the jitter between failed tries.
        """
        await follow(store, SHARD_MAP, self.install, rng)


def _data_centres_of(shard_map: ShardMap) -> tuple[str, ...]:
    replicas = (replica for shard in shard_map.shards.values() for replica in shard.replicas)
    return tuple(sorted({replica.data_centre for replica in replicas}))
