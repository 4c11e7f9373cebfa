"""Graceful shutdown: what is in flight, readiness, and the order of the steps."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from typing import NamedTuple

from eliot import log_message

__all__ = ["RequestTracker", "FrontEnd", "Shutdown", "ShutdownTimes"]


class FrontEnd(ABC):
    """What callers are connected to."""

    @abstractmethod
    def close_after_reply(self) -> None:
        """Close each connection after its next reply; requests are still taken."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop listening and end all connections."""


class ShutdownTimes(NamedTuple):
    """Times of a shutdown in seconds.

    :param balancer_lag: time in which the balancer still sends requests after readiness is off.
    :param drain_timeout: most time after that for the requests in flight.
    """

    balancer_lag: float
    drain_timeout: float


class RequestTracker:
    """Knows the requests in flight, and tells whether new ones should come here.

    :param prepared: returns whether this VM has all that it needs to answer.
    """

    def __init__(self, prepared: Callable[[], bool]) -> None:
        self._prepared = prepared
        self._requests: set[asyncio.Task[object]] = set()
        self._listeners: list[Callable[[], None]] = []
        self._leaving = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def ready(self) -> bool:
        """Whether new requests should come here."""
        return self._prepared() and not self._leaving

    @property
    def leaving(self) -> bool:
        """Whether this VM has begun to leave."""
        return self._leaving

    @property
    def in_flight(self) -> int:
        """Number of requests that were taken and not answered yet."""
        return len(self._requests)

    def leave(self) -> None:
        """Ask for no more requests; those that come are served all the same."""
        self._leaving = True
        for call in self._listeners:
            call()

    def on_leaving(self, call: Callable[[], None]) -> None:
        """Call ``call()`` when this VM begins to leave, for instance to tell the other VMs."""
        self._listeners.append(call)

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count the running task as a request for as long as the block runs."""
        task = asyncio.current_task()
        assert task is not None
        self._requests.add(task)
        self._idle.clear()
        try:
            yield
        finally:
            self._requests.discard(task)
            if not self._requests:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    def cancel_all(self) -> int:
        """End the requests in flight, whose outcome is then not known to their callers.

        :return: their number.
        """
        for task in self._requests:
            task.cancel()
        return len(self._requests)


class Shutdown:
    """Takes one VM out of service; :meth:`run` is called once.

    :param request_tracker: the requests in flight.
    :param front: what callers are connected to.
    :param times: how long to wait.
    """

    def __init__(self, request_tracker: RequestTracker, front: FrontEnd, times: ShutdownTimes) -> None:
        self._request_tracker = request_tracker
        self._front = front
        self._times = times
        self._hurried = asyncio.Event()

    def skip_waits(self) -> None:
        """Wait for nothing more."""
        self._hurried.set()

    async def run(self) -> int:
        """Turn readiness off, wait the lag out, let requests end, and stop.

        :return: number of requests that were cut off.
        """
        self._request_tracker.leave()
        self._front.close_after_reply()
        log_message(message_type="leaving", in_flight=self._request_tracker.in_flight)
        await self._unless_hurried(asyncio.sleep(self._times.balancer_lag))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._times.drain_timeout):
                await self._unless_hurried(self._request_tracker.wait_idle())
        cut_off = self._request_tracker.cancel_all()
        await self._front.stop()
        log_message(message_type="left", cut_off=cut_off)
        return cut_off

    async def _unless_hurried(self, wait) -> None:  # type: ignore[no-untyped-def]
        tasks = [asyncio.ensure_future(wait), asyncio.create_task(self._hurried.wait())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
