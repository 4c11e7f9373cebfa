"""Filters for the ranks that a listening port accepts."""

from abc import ABC, abstractmethod

from auburncart.coordination.table import CurrentTable
from auburncart.state.failure import Refusal, RefusalCode
from auburncart.state.table import find_row
from auburncart.state.work import Rank

__all__ = ["AnyRankFilter", "RankFilter", "SingleRankFilter"]


class RankFilter(ABC):
    """Decides whether a port accepts a request, before any other decision."""

    @abstractmethod
    def refusal(self, customer: str, kind: str) -> Refusal | None:
        """Return why the port does not accept a request, or None if it does."""


class AnyRankFilter(RankFilter):
    """Accepts requests of every rank."""

    def refusal(self, customer: str, kind: str) -> Refusal | None:
        """Return None."""
        return None


class SingleRankFilter(RankFilter):
    """Accepts requests of one rank only, so that its threads never wait for another rank.

    :param tables: the table in force, which gives a request's rank.
    :param rank: the rank accepted.
    """

    def __init__(self, tables: CurrentTable, rank: Rank) -> None:
        self._tables = tables
        self._rank = rank

    def refusal(self, customer: str, kind: str) -> Refusal | None:
        """Return a refusal for a kind of work of another rank.

        A request without a row passes: the search or order service refuses it.
        """
        table = self._tables.table
        row = find_row(table, customer, kind) if table else None
        if row is None or row.rank is self._rank:
            return None
        name = self._rank.name.lower()
        reason = f"this port accepts {name} work only; {kind!r} is {row.rank.name.lower()}"
        return Refusal(RefusalCode.BAD_REQUEST, reason)
