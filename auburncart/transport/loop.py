"""The bridge from server threads to the event loop that owns all decisions."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["LoopBridge"]

T = TypeVar("T")


class LoopBridge:
    """Runs coroutines of a loop for callers on other threads.

    :param loop: the loop that owns all decisions.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time()

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the loop and block this thread until it ends."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()
