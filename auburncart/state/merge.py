"""Shards of a search that another VM asks, and what it answers."""

from typing import NamedTuple

from auburncart.state.forward import Header, PartialAnswer

__all__ = ["Declined", "MergeAnswer", "MergeQuestion"]


class MergeQuestion(NamedTuple):
    """Some shards of a caller's search, for a VM near them; times are seconds from its arrival.

    The asking VM's configuration decides, so that nothing of it has to be in force there.

    :param shards: shards to ask.
    :param priority: rank, 0 the most urgent.
    :param max_attempts: most replicas of a shard to which it is sent.
    :param top_records: number of records in a merged answer.
    :param hedge_delay: time after which a shard's second replica is asked.
    :param request_id: identifier that the caller gave the search.
    :param method: method as sent.
    :param host: host name in lower case.
    :param target: path and query as sent.
    :param headers: headers that are passed on, as sent.
    :param body: body as sent.
    :param caller: ``"IP:port"`` of the caller.
    :param first_answer_delay: time after which the parts received so far are sent; later ones follow.
    :param timeout: time after which no further parts are awaited.
    :param time_left: time for which the caller waits.
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


class Declined(NamedTuple):
    """The VM did not take the question, so that no replica has seen it."""

    reason: str


MergeAnswer = PartialAnswer | Declined
