"""Crashes of replicas while they run a request."""

from typing import NamedTuple

__all__ = ["CrashReport"]


class CrashReport(NamedTuple):
    """An attempt at a request during which a replica crashed.

    :param digest: digest of the request and its caller, the same for every attempt.
    """

    digest: str
