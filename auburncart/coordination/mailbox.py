"""A mailbox from which one task takes all items at once."""

import asyncio
from typing import Generic, TypeVar

__all__ = ["Mailbox"]

T = TypeVar("T")
CLOCK_RESOLUTION_SECONDS = 1e-6  # a loop may run a timer early by its clock's resolution


class Mailbox(Generic[T]):
    """Collects items for one waiting task, which takes them all at once."""

    def __init__(self) -> None:
        self._items: list[T] = []
        self._waiter: asyncio.Future[None] | None = None

    def post(self, item: T) -> None:
        """Add an item and wake the waiting task."""
        self._items.append(item)
        self._wake()

    async def take(self, until: float) -> list[T]:
        """Remove and return all items, or an empty list if none arrives in time.

        :param until: loop time in seconds at which to stop waiting.
        """
        if not self._items:
            await self._wait(until)
        items, self._items = self._items, []
        return items

    async def _wait(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_at(until + CLOCK_RESOLUTION_SECONDS, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
