"""An event loop whose clock also counts the time in which the VM is suspended."""

import asyncio
import time

__all__ = ["SuspendAwareLoop", "suspended_seconds"]


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Times tasks by the clock since boot, which suspension does not stop.

    Deadlines that pass while the VM stands still have then passed when it goes on.
    """

    def time(self) -> float:
        """Return seconds since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_seconds() -> float:
    """Return the seconds for which the VM has been suspended since its boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
