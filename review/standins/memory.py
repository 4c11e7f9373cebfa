"""The platform's limit on the memory of a process."""

import asyncio
import re
from pathlib import Path

from review.standins.vm import Vm
from review.standins.wire import Record

__all__ = ["LIMIT_BYTES", "enforce_limit"]

LIMIT_BYTES = 300 * 2**20  # ``memoryMb`` of the settings
CHECK_SECONDS = 0.2
RESIDENT = re.compile(r"^VmRSS:\s+(\d+) kB", re.MULTILINE)


async def enforce_limit(vm: Vm, record: Record) -> None:
    """Kill a VM's process whenever it exceeds its memory; runs until cancelled."""
    peak = 0
    while True:
        used = _resident_bytes(vm.pid)
        if used // 2**24 > peak // 2**24:
            peak = used
            record.write(vm.name, f"takes {used / 2**20:.0f} MB")
        if used > LIMIT_BYTES:
            vm.kill_for_memory()
            peak = 0
        await asyncio.sleep(CHECK_SECONDS)


def _resident_bytes(pid: int) -> int:
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii", errors="replace")
    except OSError:
        return 0  # the process has ended
    found = RESIDENT.search(status)
    return 1024 * int(found.group(1)) if found else 0
