"""Which ranks a listening port takes."""

from abc import ABC, abstractmethod

from auburncart.coordination.table import TableKeeper
from auburncart.state.failure import Refusal, RefusalCode
from auburncart.state.table import find_row
from auburncart.state.work import Rank

__all__ = ["AnyRankFilter", "SingleRankFilter", "RankFilter"]


class RankFilter(ABC):
    """Decides whether a port takes a request, before anything else is decided."""

    @abstractmethod
    def refusal(self, customer: str, kind: str) -> Refusal | None:
        """Return why the port does not take a request, or None if it does."""


class AnyRankFilter(RankFilter):
    """Takes requests of every rank."""

    def refusal(self, customer: str, kind: str) -> Refusal | None:
        """Return None."""
        return None


class SingleRankFilter(RankFilter):
    """Takes requests of one rank only, so that its threads never wait for another rank.

    :param tables: the table in force, which gives a request's rank.
    :param rank: the rank taken.
    """

    def __init__(self, tables: TableKeeper, rank: Rank) -> None:
        self._tables = tables
        self._rank = rank

    def refusal(self, customer: str, kind: str) -> Refusal | None:
        """Return a refusal for a kind of work that has another rank.

        A request without a row passes: the service that it is for refuses it.
        """
        table = self._tables.table
        row = find_row(table, customer, kind) if table else None
        if row is None or row.rank is self._rank:
            return None
        name = self._rank.name.lower()
        reason = f"this port takes {name} work only; {kind!r} is {row.rank.name.lower()}"
        return Refusal(RefusalCode.BAD_REQUEST, reason)
