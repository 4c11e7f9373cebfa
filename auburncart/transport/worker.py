"""A thread that runs the blocking calls of one connection for its asyncio task."""

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import Any, NamedTuple, ParamSpec, TypeVar

__all__ = ["Worker"]

P = ParamSpec("P")
T = TypeVar("T")


class _Call(NamedTuple):
    """A blocking call and the future for its result."""

    call: Callable[[], Any]
    loop: asyncio.AbstractEventLoop
    future: asyncio.Future[Any]


class Worker:
    """A thread that runs one blocking call at a time.

    :param name: name of the thread.

    Notes
    -----
    A single-thread executor would do the same, but the overhead of its futures is higher.
    """

    def __init__(self, name: str) -> None:
        self._calls: queue.SimpleQueue[_Call | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    async def run(self, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Run a blocking call on the thread and wait for its result."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[T] = loop.create_future()
        self._calls.put(_Call(lambda: call(*args, **kwargs), loop, future))
        return await future

    def stop(self) -> None:
        """Let the thread end after its current call, without waiting for it."""
        self._calls.put(None)

    def _run(self) -> None:
        while (entry := self._calls.get()) is not None:
            try:
                result = entry.call()
            except BaseException as error:
                _post_outcome(entry, _set_exception, error)
            else:
                _post_outcome(entry, _set_result, result)


def _post_outcome(
    entry: _Call, set_outcome: Callable[[asyncio.Future[Any], Any], None], value: object
) -> None:
    try:
        entry.loop.call_soon_threadsafe(set_outcome, entry.future, value)
    except RuntimeError:
        return  # the loop is closed, so nothing waits for the result


def _set_result(future: asyncio.Future[Any], result: object) -> None:
    if not future.done():
        future.set_result(result)


def _set_exception(future: asyncio.Future[Any], error: BaseException) -> None:
    if not future.done():
        future.set_exception(error)
