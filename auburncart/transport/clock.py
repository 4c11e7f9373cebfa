"""An event loop whose clock includes the time in which the VM is suspended."""

import asyncio
import time

__all__ = ["SuspendAwareLoop", "suspended_seconds"]


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Schedules by the boot clock, which keeps running while the VM is suspended.

    Deadlines that pass during a suspension have expired when the VM resumes.
    """

    def time(self) -> float:
        """Return the seconds since boot, including suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_seconds() -> float:
    """Return the total seconds of suspension since boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
