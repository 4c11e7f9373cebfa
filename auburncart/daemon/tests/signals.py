"""What a process does with signals, as the kernel shows it."""

import signal
from pathlib import Path

__all__ = ["survives_sighup"]


def survives_sighup(pid: int) -> bool:
    """Return whether a process ignores or handles SIGHUP, which else ends it.

    A program can do neither before its first line.
    """
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    except FileNotFoundError:
        return False
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)
