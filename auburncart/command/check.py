"""``auburncart check``: reports all faults of a settings or table file."""

from pathlib import Path

import pyjson5

from auburncart.daemon.check import check_platform_settings
from auburncart.protocol.table_file import read_table
from auburncart.settings.entry import load_entry_settings

__all__ = ["check"]


def check(file: Path) -> int:
    """Check a settings file or a table and report every fault; exit code 2 if there is any.

    :param file: the file. A CSV file or one with ``rows`` is checked as a table, one with
        ``listenAddrs`` as the settings that the platform writes, any other as entry VM settings.
    """
    if _has(file, "listenAddrs"):
        check_platform_settings(file)
    elif _is_table(file):
        read_table(file)
    else:
        load_entry_settings(file)
    print(f"{file}: no faults")
    return 0


def _is_table(file: Path) -> bool:
    return file.suffix.lower() == ".csv" or _has(file, "rows")


def _has(file: Path, name: str) -> bool:
    try:
        fields = pyjson5.loads(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, pyjson5.Json5Exception):
        return False
    return isinstance(fields, dict) and name in fields
