"""One thread for one connection, to which its task hands each blocking call."""

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import Any, NamedTuple, ParamSpec, TypeVar

__all__ = ["Worker"]

P = ParamSpec("P")
T = TypeVar("T")


class _Call(NamedTuple):
    """A blocking call and the future that waits for it."""

    call: Callable[[], Any]
    loop: asyncio.AbstractEventLoop
    future: asyncio.Future[Any]


class Worker:
    """A thread that runs one blocking call at a time.

    :param name: name of the thread.

    Notes
    -----
    An executor of one thread does the same; its own futures cost more than the hand-over.
    """

    def __init__(self, name: str) -> None:
        self._calls: queue.SimpleQueue[_Call | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._serve, name=name, daemon=True)
        self._thread.start()

    async def run(self, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Run a blocking call on the thread and wait for its result."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[T] = loop.create_future()
        self._calls.put(_Call(lambda: call(*args, **kwargs), loop, future))
        return await future

    def stop(self) -> None:
        """Let the thread end after the call at work; waits for nothing."""
        self._calls.put(None)

    def _serve(self) -> None:
        while (entry := self._calls.get()) is not None:
            try:
                result = entry.call()
            except BaseException as error:
                _hand_back(entry, _fail, error)
            else:
                _hand_back(entry, _finish, result)


def _hand_back(
    entry: _Call, settle: Callable[[asyncio.Future[Any], Any], None], value: object
) -> None:
    try:
        entry.loop.call_soon_threadsafe(settle, entry.future, value)
    except RuntimeError:
        return  # the loop has ended, and nobody waits any more


def _finish(future: asyncio.Future[Any], result: object) -> None:
    if not future.done():
        future.set_result(result)


def _fail(future: asyncio.Future[Any], error: BaseException) -> None:
    if not future.done():
        future.set_exception(error)
