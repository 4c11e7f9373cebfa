"""Requests to upstreams and their replies, as coordination sees them."""

from enum import Enum
from typing import Any, NamedTuple

from auburncart.state.failure import Failure
from auburncart.state.search import ShardAnswer, SubQuery

__all__ = [
    "Batch",
    "BatchReply",
    "OrderReply",
    "UpstreamCondition",
    "UpstreamOrder",
]


class UpstreamCondition(Enum):
    """Condition that an upstream reports of itself with each reply."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"
    SHEDDING = "shedding"


class Batch(NamedTuple):
    """Sub-queries that travel in one request.

    :param request_id: identifier of this request, unique per try.
    :param snapshot: the one snapshot of all its sub-queries.
    :param deadline: loop time in seconds of the latest sub-query.
    :param sub_queries: the sub-queries.
    """

    request_id: str
    snapshot: str
    deadline: float
    sub_queries: tuple[SubQuery, ...]


class BatchReply(NamedTuple):
    """What came back for a batch; only entries that match a sub-query.

    :param answers: answers by ``sub_query_id``.
    :param failures: failures by ``sub_query_id``.
    :param condition: condition that the upstream reported.
    """

    answers: dict[str, ShardAnswer]
    failures: dict[str, Failure]
    condition: UpstreamCondition = UpstreamCondition.READY


class UpstreamOrder(NamedTuple):
    """An order on its way to an upstream."""

    request_id: str
    key: str
    shard: str
    kind: str
    body: str
    deadline: float


class OrderReply(NamedTuple):
    """An upstream's own reply to an order.

    :param accepted: whether the order took effect; False only if the upstream says it did not.
    :param outcome: the upstream's result.
    :param condition: condition that the upstream reported.
    """

    accepted: bool
    outcome: Any
    condition: UpstreamCondition = UpstreamCondition.READY
