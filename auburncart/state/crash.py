"""Crashes of replicas while they run a request."""

from typing import NamedTuple

__all__ = ["CrashReport"]


class CrashReport(NamedTuple):
    """A replica that crashed during one attempt of a caller.

    :param digest: digest of the request, the same for every attempt of every caller.
    :param attempt: hash of the attempt's identifier.
    :param replica: hash of the replica's identifier.
    :param silent: whether the replica fell silent instead of closing its connections.
    :param answered: whether replicas had answered the request shortly before.
    :param path_digest: digest of the request without its query, ``""`` if it is not known.
    :param path_answered: whether replicas had answered a request with that digest shortly before.
    """

    digest: str
    attempt: str = ""
    replica: str = ""
    silent: bool = False
    answered: bool = False
    path_digest: str = ""
    path_answered: bool = False
