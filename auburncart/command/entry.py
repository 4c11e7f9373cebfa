"""``auburncart entry``: the daemon on an entry VM."""

import asyncio
from pathlib import Path

from auburncart.daemon.entry import run_entry
from auburncart.settings.entry import load_entry_settings

__all__ = ["entry"]


def entry(*, settings: Path) -> int:
    """Run the daemon on an entry VM until SIGTERM, which lets it answer what is in flight.

    A second SIGTERM ends it at once. Exit code 4 says that requests were cut off.

    :param settings: file of JSON with comments; ``auburncart check`` names its faults.
    """
    return asyncio.run(run_entry(load_entry_settings(settings)))
