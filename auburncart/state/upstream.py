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
    """Condition that an upstream reports with each reply."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"
    SHEDDING = "shedding"


class Batch(NamedTuple):
    """Sub-queries that are sent in one request.

    :param request_id: identifier of this request, unique per attempt.
    :param snapshot: snapshot of all its sub-queries.
    :param deadline: latest deadline of a sub-query, loop time in seconds.
    :param sub_queries: the sub-queries.
    """

    request_id: str
    snapshot: str
    deadline: float
    sub_queries: tuple[SubQuery, ...]


class BatchReply(NamedTuple):
    """The reply to a batch; it holds only entries that match a sub-query.

    :param answers: answers by ``sub_query_id``.
    :param failures: failures by ``sub_query_id``.
    :param condition: condition that the upstream reported.
    """

    answers: dict[str, ShardAnswer]
    failures: dict[str, Failure]
    condition: UpstreamCondition = UpstreamCondition.READY


class UpstreamOrder(NamedTuple):
    """An order that is sent to an upstream."""

    request_id: str
    key: str
    shard: str
    kind: str
    body: str
    deadline: float


class OrderReply(NamedTuple):
    """An upstream's reply to an order.

    :param accepted: whether the order took effect; False only if the upstream says that it did not.
    :param outcome: the upstream's result.
    :param condition: condition that the upstream reported.
    """

    accepted: bool
    outcome: Any
    condition: UpstreamCondition = UpstreamCondition.READY
