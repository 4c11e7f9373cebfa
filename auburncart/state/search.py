"""Searches: the request, its sub-queries, and the answer with its coverage."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from auburncart.state.failure import Failure, FailureCode, Step

__all__ = [
    "Coverage",
    "Hit",
    "MissingShard",
    "SearchAnswer",
    "SearchRequest",
    "ShardAnswer",
    "SubQuery",
    "coverage_of",
]

Hit = Mapping[str, Any]


class SearchRequest(NamedTuple):
    """A caller's search.

    :param request_id: identifier that the answer repeats.
    :param customer: customer on whose account the search runs.
    :param kind: kind of work, a row of the table.
    :param query: query text, passed to every shard unchanged.
    :param deadline: loop time in seconds.
    :param shards: names of the shards to query; empty for all shards of the snapshot.
    """

    request_id: str
    customer: str
    kind: str
    query: str
    deadline: float
    shards: tuple[str, ...] = ()


class SubQuery(NamedTuple):
    """The part of a search that goes to one shard.

    :param sub_query_id: identifier that the upstream's answer repeats, unique per attempt.
    :param shard: name of the shard.
    :param snapshot: snapshot that must answer.
    :param kind: kind of work.
    :param query: query text.
    :param deadline: loop time in seconds.
    """

    sub_query_id: str
    shard: str
    snapshot: str
    kind: str
    query: str
    deadline: float


class ShardAnswer(NamedTuple):
    """Answer of one shard to one sub-query."""

    sub_query_id: str
    shard: str
    snapshot: str
    hits: tuple[Hit, ...]


class MissingShard(NamedTuple):
    """A shard that is missing from an answer, and why."""

    shard: str
    step: Step
    peer: str
    reason: str


class Coverage(NamedTuple):
    """How many of the queried shards an answer contains.

    :param asked: number of shards of the pinned snapshot that were queried.
    :param answered: number of shards whose own matching answer arrived.
    :param complete: whether every shard answered.
    :param missing: the shards that did not, in the order of their names.
    """

    asked: int
    answered: int
    complete: bool
    missing: tuple[MissingShard, ...]


class SearchAnswer(NamedTuple):
    """An answer from one snapshot, with its coverage."""

    request_id: str
    snapshot: str
    hits: tuple[Hit, ...]
    coverage: Coverage


def coverage_of(
    asked: tuple[str, ...], answers: Mapping[str, ShardAnswer], failures: Mapping[str, Failure]
) -> Coverage:
    """Return the coverage, counted against the shards queried, not those reachable.

    :param asked: names of all shards queried.
    :param answers: matching answers by shard.
    :param failures: last known failure by shard.
    :return: the coverage; complete only with an answer from every shard queried.

    >>> coverage_of(("a",), {}, {}).complete
    False
    """
    unknown = Failure(Step.REPLY, "", "no answer before the deadline", FailureCode.TIMED_OUT)
    missing = tuple(
        _missing(shard, failures.get(shard, unknown))
        for shard in sorted(asked)
        if shard not in answers
    )
    answered = len(asked) - len(missing)
    return Coverage(len(asked), answered, not missing, missing)


def _missing(shard: str, failure: Failure) -> MissingShard:
    return MissingShard(shard, failure.step, failure.peer, failure.reason)
