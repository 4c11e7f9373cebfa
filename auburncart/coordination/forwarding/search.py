"""A search, as it is handed to what asks its shards."""

from typing import NamedTuple

from auburncart.coordination.forwarding.attempts import HEDGE_DELAY_SHARE
from auburncart.state.configuration import Route
from auburncart.state.forward import ForwardRequest

__all__ = ["Search", "search_of"]


class Search(NamedTuple):
    """A search, or some of its shards.

    :param shards: shards to ask.
    :param priority: rank, 0 the most urgent.
    :param most_attempts: most replicas of a shard to which it is sent.
    :param top_records: number of records in a merged answer.
    :param hedge_delay: seconds after which a shard's second replica is asked.
    :param deliver_at: loop time in seconds from which the parts that are there are answered, if
        they are enough.
    :param until: loop time in seconds at which to give up.
    """

    request: ForwardRequest
    shards: tuple[str, ...]
    priority: int
    most_attempts: int
    top_records: int
    hedge_delay: float
    deliver_at: float
    until: float


def search_of(request: ForwardRequest, route: Route, deliver_at: float, until: float) -> Search:
    """Return a caller's search by its route."""
    return Search(
        request,
        route.shards,
        route.priority,
        route.most_attempts,
        route.top_records,
        HEDGE_DELAY_SHARE * route.latency_target,
        min(deliver_at, until),
        until,
    )
