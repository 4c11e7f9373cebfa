"""Locks by name: one holder for each name at a time."""

import asyncio
from collections import deque

__all__ = ["NamedLocks"]


class NamedLocks:
    """Grants the lock of each name to one task at a time, in the order of the requests."""

    def __init__(self) -> None:
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}

    async def acquire(self, name: str, until: float) -> bool:
        """Wait for the lock on a name.

        :param until: loop time in seconds at which to give up.
        :return: whether the lock was acquired.
        """
        queue = self._waiting.get(name)
        if queue is None:
            self._waiting[name] = deque()
            return True
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append(waiter)
        try:
            async with asyncio.timeout_at(until):
                await waiter
        except TimeoutError:
            self._withdraw(name, waiter)
            return False
        except asyncio.CancelledError:
            self._withdraw(name, waiter)
            raise
        return True

    def release(self, name: str) -> None:
        """Release the lock and pass it to the next waiting task."""
        queue = self._waiting[name]
        while queue:
            waiter = queue.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        del self._waiting[name]

    def _withdraw(self, name: str, waiter: asyncio.Future[None]) -> None:
        """Leave the queue, or pass on a lock that was granted too late."""
        if waiter.done() and not waiter.cancelled():
            self.release(name)
        elif waiter in self._waiting.get(name, ()):
            self._waiting[name].remove(waiter)
