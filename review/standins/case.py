"""Runs a case in a temporary folder, with its record."""

import asyncio
import os
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.wire import Record

__all__ = ["HELD", "NOT_RUN", "BROKEN", "TROUBLE", "run_case"]

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether there is a disruption


def run_case(folder: Path, run: Callable[[Path, Record], Awaitable[int]]) -> int:
    """Run a case and return its exit code.

    :param folder: folder of the case, to which its record is written.
    :param run: runs it, given a folder for settings and logs; returns the exit code.
    """
    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            return asyncio.run(run(Path(temporary), record))
    except (OSError, TimeoutError) as error:
        record.write("case", f"could not run: {type(error).__name__} {error}")
        return NOT_RUN
    finally:
        record.close()
