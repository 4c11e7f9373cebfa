"""Requests as admission control sees them: customer, kind of work, rank and deadline."""

from enum import IntEnum
from typing import NamedTuple

__all__ = ["Rank", "Work"]


class Rank(IntEnum):
    """Rank of a kind of work; a lower number is more urgent."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class Work(NamedTuple):
    """A request as admission control sees it.

    :param request_id: identifier given by the caller or by the front end.
    :param customer: customer on whose account the request runs.
    :param kind: kind of work, a row of the table.
    :param rank: rank of that kind.
    :param deadline: loop time in seconds after which the answer is useless.
    :param arrival: loop time in seconds at which the request arrived.
    :param cost: number of sub-queries that the request needs.
    """

    request_id: str
    customer: str
    kind: str
    rank: Rank
    deadline: float
    arrival: float
    cost: int = 1
