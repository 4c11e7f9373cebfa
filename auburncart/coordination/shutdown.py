"""Graceful shutdown: requests in flight, readiness, and the order of the steps."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from typing import NamedTuple

from eliot import log_message

__all__ = ["FrontEnd", "RequestTracker", "Shutdown", "ShutdownTimes"]

# Of the drain timeout; what arrives later would have too little time to be answered.
ACCEPTING_SHARE = 0.25
LAST_ANSWERS_SECONDS = 0.1  # for the requests that were cut off to be answered


class FrontEnd(ABC):
    """The server that callers connect to."""

    @abstractmethod
    def close_after_reply(self) -> None:
        """Close each connection after its next reply; requests are still accepted."""

    async def finish(self) -> None:  # noqa: B027
        """Accept no more requests and wait for those that have begun to arrive.

        Does nothing by default, for servers whose :meth:`stop` waits for them.
        """

    @abstractmethod
    async def stop(self) -> None:
        """Stop listening and close all connections."""


class ShutdownTimes(NamedTuple):
    """Times of a shutdown in seconds.

    :param balancer_lag: time for which the load balancer still sends requests after readiness is
        off.
    :param drain_timeout: maximum time after that for the requests in flight to end.
    """

    balancer_lag: float
    drain_timeout: float


class RequestTracker:
    """Tracks the requests in flight, and whether new ones should be sent to this VM.

    :param can_serve: returns whether this VM has all that it needs to answer.
    """

    def __init__(self, can_serve: Callable[[], bool]) -> None:
        self._can_serve = can_serve
        self._requests: set[asyncio.Task[object]] = set()
        self._leaving_callbacks: list[Callable[[], None]] = []
        self._leaving = False
        self._ends_at = float("inf")
        self._cut_off = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def ready(self) -> bool:
        """Whether new requests should be sent to this VM."""
        return self._can_serve() and not self._leaving

    @property
    def leaving(self) -> bool:
        """Whether this VM is leaving."""
        return self._leaving

    @property
    def ends_at(self) -> float:
        """Loop time in seconds at which the requests in flight are cut off, infinity if never."""
        return self._ends_at

    @property
    def cut_off(self) -> bool:
        """Whether the requests in flight have been cut off."""
        return self._cut_off

    @property
    def in_flight(self) -> int:
        """Number of requests that were accepted and not yet answered."""
        return len(self._requests)

    def leave(self, ends_at: float = float("inf")) -> None:
        """Turn readiness off; requests that still arrive are served.

        :param ends_at: loop time in seconds at which the requests in flight are cut off.
        """
        self._leaving = True
        self._ends_at = ends_at
        for callback in self._leaving_callbacks:
            callback()

    def on_leaving(self, callback: Callable[[], None]) -> None:
        """Call ``callback()`` when this VM starts to leave, for instance to notify its peers."""
        self._leaving_callbacks.append(callback)

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count the current task as a request in flight while the block runs."""
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
        """Cancel the requests in flight; a task may still answer that the outcome is unknown.

        :return: the number of requests cancelled.
        """
        self._cut_off = True
        for task in self._requests:
            task.cancel()
        return len(self._requests)


class Shutdown:
    """Takes one VM out of service; :meth:`run` is called once.

    :param request_tracker: the requests in flight.
    :param front: the server that callers connect to.
    :param times: how long to wait.
    """

    def __init__(
        self, request_tracker: RequestTracker, front: FrontEnd, times: ShutdownTimes
    ) -> None:
        self._request_tracker = request_tracker
        self._front = front
        self._times = times
        self._waits_skipped = asyncio.Event()

    def skip_waits(self) -> None:
        """Skip the current wait and all later ones."""
        self._waits_skipped.set()

    async def run(self) -> int:
        """Turn readiness off, wait for the load balancer and for the requests, and stop.

        :return: number of requests that were cut off.
        """
        times = self._times
        now = asyncio.get_running_loop().time()
        self._request_tracker.leave(now + times.balancer_lag + times.drain_timeout)
        self._front.close_after_reply()
        log_message(message_type="leaving", in_flight=self._request_tracker.in_flight)
        await self._wait_unless_skipped(asyncio.sleep(times.balancer_lag))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(times.drain_timeout):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ACCEPTING_SHARE * times.drain_timeout):
                        await self._wait_unless_skipped(self._request_tracker.wait_idle())
                await self._wait_unless_skipped(self._front.finish())
                await self._wait_unless_skipped(self._request_tracker.wait_idle())
        cut_off = self._request_tracker.cancel_all()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_SECONDS):
                await self._request_tracker.wait_idle()
        await asyncio.sleep(0.0)  # for the front end to write the last answers
        await self._front.stop()
        log_message(message_type="left", cut_off=cut_off)
        return cut_off

    async def _wait_unless_skipped(self, wait) -> None:  # type: ignore[no-untyped-def]
        tasks = [asyncio.ensure_future(wait), asyncio.create_task(self._waits_skipped.wait())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
