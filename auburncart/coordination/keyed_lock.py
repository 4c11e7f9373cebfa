"""Locks by key: at most one holder of each key at a time."""

import asyncio
from collections import deque

__all__ = ["KeyedLock"]


class KeyedLock:
    """Grants each key to one task at a time, in the order of the requests."""

    def __init__(self) -> None:
        self._waiters: dict[str, deque[asyncio.Future[None]]] = {}

    async def acquire(self, key: str, until: float) -> bool:
        """Wait for the lock on a key.

        :param until: loop time in seconds at which to give up.
        :return: whether the lock was acquired.
        """
        queue = self._waiters.get(key)
        if queue is None:
            self._waiters[key] = deque()
            return True
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append(waiter)
        try:
            async with asyncio.timeout_at(until):
                await waiter
        except TimeoutError:
            self._withdraw(key, waiter)
            return False
        except asyncio.CancelledError:
            self._withdraw(key, waiter)
            raise
        return True

    def release(self, key: str) -> None:
        """Release the lock and pass it to the next waiting task."""
        queue = self._waiters[key]
        while queue:
            waiter = queue.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        del self._waiters[key]

    def _withdraw(self, key: str, waiter: asyncio.Future[None]) -> None:
        """Leave the queue, or pass on a lock that was granted too late."""
        if waiter.done() and not waiter.cancelled():
            self.release(key)
        elif waiter in self._waiters.get(key, ()):
            self._waiters[key].remove(waiter)
