"""``auburncart entry``: the daemon on an entry VM."""

import asyncio
from pathlib import Path

from auburncart.daemon.entry import run_entry
from auburncart.settings.entry import load_entry_settings

__all__ = ["entry"]


def entry(*, settings: Path) -> int:
    """Run the daemon on an entry VM until SIGTERM, after which it completes requests in flight.

    A second SIGTERM stops it immediately. Exit code 4 means that requests were cancelled.

    :param settings: file of JSON with comments; ``auburncart check`` reports its faults.
    """
    return asyncio.run(run_entry(load_entry_settings(settings)))
