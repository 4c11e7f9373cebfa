"""Check of the daemon's settings file without starting the daemon."""

from pathlib import Path

from auburncart.platform.settings import load_platform_settings

__all__ = ["check_platform_settings"]


def check_platform_settings(path: Path) -> None:
    """Check a settings file written by the platform.

    :raises SettingsError: the file has errors; all of them are listed.
    """
    load_platform_settings(path)
