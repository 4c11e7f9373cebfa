"""Requests that were at work at a replica when it crashed."""

from typing import NamedTuple

__all__ = ["CrashReport"]


class CrashReport(NamedTuple):
    """One try of a caller during which a replica crashed.

    :param digest: digest of what was asked and by whom, the same for each try.
    """

    digest: str
