"""Searches of which another VM queries some shards, and its answers."""

from enum import StrEnum
from typing import NamedTuple

from auburncart.state.forward import Header, PartialAnswer

__all__ = ["Accepted", "Declined", "MergeAnswer", "MergeMessage", "MergeQuestion", "SearchScope"]


class SearchScope(StrEnum):
    """Which other VMs may query shards of a search for this one."""

    TIER = "tier"  # VMs of all regions
    REGION = "region"  # owners of the shards in this region
    REPLICAS = "replicas"  # none: this VM queries the replicas


class MergeQuestion(NamedTuple):
    """Some shards of a caller's search, for a VM near them; times are seconds from arrival.

    It carries what the asking VM's configuration says, so that the other VM needs none of it.

    :param shards: shards to query.
    :param priority: rank of the search, 0 the most urgent.
    :param max_attempts: maximum number of replicas to which it is sent, per shard.
    :param top_records: number of records in a merged answer.
    :param hedge_delay: time after which a hedge request goes to a shard's second replica.
    :param request_id: identifier that the caller gave the search.
    :param method: method as sent.
    :param host: host name in lower case.
    :param target: path and query as sent.
    :param headers: headers that are forwarded, as sent.
    :param body: body as sent.
    :param caller: ``"IP:port"`` of the caller.
    :param first_answer_delay: time after which the parts so far are sent; later ones follow singly.
    :param timeout: time after which no further parts are awaited.
    :param time_left: time for which the caller waits.
    :param scope: which further VMs the other VM may ask.
    """

    shards: tuple[str, ...]
    priority: int
    max_attempts: int
    top_records: int
    hedge_delay: float
    request_id: str
    method: str
    host: str
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    caller: str
    first_answer_delay: float
    timeout: float
    time_left: float
    scope: SearchScope = SearchScope.REPLICAS


class Accepted(NamedTuple):
    """The VM works on the question; its answers follow."""


class Declined(NamedTuple):
    """The VM declined the question; no replica has received it."""

    reason: str


MergeAnswer = PartialAnswer | Declined
MergeMessage = Accepted | MergeAnswer
