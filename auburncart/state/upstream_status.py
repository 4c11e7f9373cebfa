"""Status of the upstreams as the platform reports it."""

from typing import NamedTuple

__all__ = ["UpstreamStatus"]


class UpstreamStatus(NamedTuple):
    """The platform's report on the upstreams, which may be late or wrong.

    :param draining: addresses of the upstreams that are about to shut down.
    """

    draining: tuple[str, ...] = ()
