"""One thread for one connection, to which its task hands each blocking call."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import ParamSpec, TypeVar

__all__ = ["Worker"]

P = ParamSpec("P")
T = TypeVar("T")


class Worker:
    """A thread that runs one blocking call at a time.

    :param name: name of the thread.
    """

    def __init__(self, name: str) -> None:
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix=name)

    async def run(self, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Run a blocking call on the thread and wait for its result."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, lambda: call(*args, **kwargs))

    def stop(self) -> None:
        """Let the thread end after the call at work; waits for nothing."""
        self._executor.shutdown(wait=False, cancel_futures=True)
