"""Queries that crash the upstreams that run them."""

from abc import ABC, abstractmethod

from auburncart.state import QueryRun

__all__ = ["NoQuarantine", "Quarantine"]


class Quarantine(ABC):
    """Bounds the number of upstreams that one query can take down."""

    @abstractmethod
    def refuses(self, run: QueryRun, now: float) -> bool:
        """Return whether a query must not be sent to a shard now."""

    @abstractmethod
    def isolates(self, run: QueryRun, now: float) -> bool:
        """Return whether a query must travel alone, apart from other queries."""

    @abstractmethod
    def untested(self, run: QueryRun, now: float) -> bool:
        """Return whether one shard must answer a query before the others are asked."""

    @abstractmethod
    def record_loss(
        self, address: str, runs: tuple[QueryRun, ...], trial: bool, now: float
    ) -> None:
        """Take in that an upstream was lost while it ran a request.

        :param address: the upstream.
        :param runs: the queries in the request.
        :param trial: whether the request was one query, alone because it had to be.
        :param now: loop time in seconds.
        """

    @abstractmethod
    def record_answer(self, run: QueryRun, now: float) -> None:
        """Take in that an upstream answered a query and survived it."""


class NoQuarantine(Quarantine):
    """Lets every query through; the baseline."""

    def refuses(self, run: QueryRun, now: float) -> bool:
        """Return False."""
        return False

    def isolates(self, run: QueryRun, now: float) -> bool:
        """Return False."""
        return False

    def untested(self, run: QueryRun, now: float) -> bool:
        """Return False."""
        return False

    def record_loss(
        self, address: str, runs: tuple[QueryRun, ...], trial: bool, now: float
    ) -> None:
        """Ignore the loss."""

    def record_answer(self, run: QueryRun, now: float) -> None:
        """Ignore the answer."""
