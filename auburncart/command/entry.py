"""``auburncart entry``: the daemon on an entry VM."""

import asyncio
from pathlib import Path

from auburncart.daemon import run_entry
from auburncart.settings import load_entry_settings

__all__ = ["entry"]


def entry(*, settings: Path) -> int:
    """Run the daemon on an entry VM until SIGTERM.

    :param settings: file of JSON with comments; ``auburncart check`` names its faults.
    """
    asyncio.run(run_entry(load_entry_settings(settings)))
    return 0
