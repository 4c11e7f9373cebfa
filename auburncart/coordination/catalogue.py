"""The shard map in force, from the platform's store."""

import asyncio
import contextlib

from auburncart.coordination.interfaces import Key, Store
from auburncart.exception import StoreUnavailableError
from auburncart.state import ShardMap

__all__ = ["SHARD_MAP", "Catalogue"]

SHARD_MAP: Key[ShardMap] = Key("shards", "current")
WATCH_SECONDS = 20.0
RETRY_SECONDS = 1.0


class Catalogue:
    """Holds the newest shard map and never goes back to an older one."""

    def __init__(self) -> None:
        self._current: ShardMap | None = None
        self._slots = 0
        self._arrived = asyncio.Event()
        self._changed = asyncio.Event()

    @property
    def current(self) -> ShardMap | None:
        """The newest shard map, None before the first."""
        return self._current

    @property
    def slots(self) -> int:
        """Number of slots of all replicas in force, 0 before the first shard map."""
        return self._slots

    async def wait(self) -> None:
        """Wait until one is in force."""
        await self._arrived.wait()

    async def newer_than(self, version: int, until: float) -> ShardMap | None:
        """Wait for a shard map that is newer than a version.

        :param until: loop time in seconds at which to give up.
        :return: the shard map, None if none arrived.
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
        replicas = {
            replica.address: replica.slots
            for shard in shard_map.shards.values()
            for replica in shard.replicas
        }
        self._slots = sum(replicas.values())
        self._arrived.set()
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def follow(self, store: Store) -> None:
        """Watch the store and put each new shard map in force; runs until cancelled."""
        etag = ""
        while True:
            try:
                stored = await store.watch(SHARD_MAP, etag, WATCH_SECONDS)
            except StoreUnavailableError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if stored is not None:
                etag = stored.etag
                self.install(stored.value)
