"""Checking what the platform lays for the daemon, without starting it."""

from pathlib import Path

from auburncart.platform.settings import load_platform_settings

__all__ = ["check_platform_settings"]


def check_platform_settings(path: Path) -> None:
    """Check a process's settings as the platform writes them.

    :raises SettingsError: the file has faults; all of them are named.
    """
    load_platform_settings(path)
