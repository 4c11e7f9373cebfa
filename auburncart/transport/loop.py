"""Calls from server threads into the event loop, where all decisions are made."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["LoopBridge"]

T = TypeVar("T")


class LoopBridge:
    """Runs coroutines on an event loop for other threads.

    :param loop: the event loop that makes all decisions.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def time(self) -> float:
        """Return the event loop's time in seconds."""
        return self._loop.time()

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the event loop and block this thread until it completes."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()
