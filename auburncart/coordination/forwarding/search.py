"""A search over shards, as scatter-gather and merge servers run it."""

from typing import NamedTuple

from auburncart.coordination.forwarding.attempts import HEDGE_DELAY_SHARE
from auburncart.state.configuration import Route
from auburncart.state.forward import MAX_PART_BYTES, ForwardRequest
from auburncart.state.merge import SearchScope

__all__ = ["Search", "search_of"]


class Search(NamedTuple):
    """A search over all shards of its route, or over some of them.

    :param shards: shards to ask.
    :param priority: rank, 0 the most urgent.
    :param max_attempts: maximum number of replicas of a shard to which it is sent.
    :param top_records: number of records in a merged answer.
    :param hedge_delay: seconds after which a shard's second replica is asked.
    :param deliver_at: loop time in seconds from which the search is answered without the missing
        parts, if there are enough others.
    :param until: loop time in seconds at which to give up.
    :param scope: which other VMs may ask shards.
    """

    request: ForwardRequest
    shards: tuple[str, ...]
    priority: int
    max_attempts: int
    top_records: int
    hedge_delay: float
    deliver_at: float
    until: float
    scope: SearchScope


def search_of(request: ForwardRequest, route: Route, deliver_at: float, until: float) -> Search:
    """Return the search that answers a caller's request, by its route."""
    return Search(
        request._replace(max_reply_bytes=MAX_PART_BYTES),
        route.shards,
        route.priority,
        route.max_attempts,
        route.top_records,
        HEDGE_DELAY_SHARE * route.latency_target,
        min(deliver_at, until),
        until,
        SearchScope.TIER,
    )
