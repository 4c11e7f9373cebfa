"""An event loop whose clock includes suspensions of the VM, and which knows when it was late."""

import asyncio
import selectors
import time

__all__ = ["SuspendAwareLoop", "received_at", "suspended_seconds"]

MIN_BLOCKED_SECONDS = 0.0005  # a shorter poll found its events waiting


class _TimedSelector(selectors.DefaultSelector):
    """A selector that knows since when its events may have been waiting."""

    def __init__(self) -> None:
        super().__init__()
        self._returned_at = _boot_time()
        self.waiting_since = self._returned_at

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events."""
        called_at = _boot_time()
        events = super().select(timeout)
        now = _boot_time()
        # Events that were there at the call may have come in at any time since the last one.
        blocked = now - called_at >= MIN_BLOCKED_SECONDS
        self.waiting_since = now if blocked else self._returned_at
        self._returned_at = now
        return events


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Schedules by the boot clock, which keeps running while the VM is suspended.

    Deadlines that pass during a suspension have expired when the VM resumes.
    """

    def __init__(self) -> None:
        self._timed_selector = _TimedSelector()
        super().__init__(self._timed_selector)

    @property
    def waiting_since(self) -> float:
        """Loop time in seconds after which the events now being handled came in."""
        return self._timed_selector.waiting_since

    def time(self) -> float:
        """Return the seconds since boot, including suspension."""
        return _boot_time()


def received_at() -> float:
    """Return the loop time after which the bytes now being handled came in.

    A loop that was busy or suspended reads them late; their sender's time has been running.
    """
    loop = asyncio.get_running_loop()
    return loop.waiting_since if isinstance(loop, SuspendAwareLoop) else loop.time()


def suspended_seconds() -> float:
    """Return the total seconds of suspension since boot."""
    return _boot_time() - time.clock_gettime(time.CLOCK_MONOTONIC)


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
