"""What the platform says of the upstreams."""

from typing import NamedTuple

__all__ = ["UpstreamStatus"]


class UpstreamStatus(NamedTuple):
    """The platform's view of the upstreams, which may lag or mislead.

    :param leaving: addresses of the upstreams that are about to leave.
    """

    leaving: tuple[str, ...] = ()
