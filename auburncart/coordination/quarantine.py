"""Queries that crash the upstreams that run them."""

from abc import ABC, abstractmethod

__all__ = ["NoQuarantine", "Quarantine"]


class Quarantine(ABC):
    """Bounds the number of upstreams that one query can take down."""

    @abstractmethod
    def refuses(self, kind: str, query: str, now: float) -> bool:
        """Return whether a query must not be sent now."""

    @abstractmethod
    def isolates(self, kind: str, query: str, now: float) -> bool:
        """Return whether a query must travel alone, apart from other queries."""

    @abstractmethod
    def record_loss(self, address: str, queries: tuple[tuple[str, str], ...], now: float) -> None:
        """Take in that an upstream was lost while it ran these ``(kind, query)`` pairs."""

    @abstractmethod
    def record_answer(self, kind: str, query: str, now: float) -> None:
        """Take in that an upstream answered a query and survived it."""


class NoQuarantine(Quarantine):
    """Lets every query through; the baseline."""

    def refuses(self, kind: str, query: str, now: float) -> bool:
        """Return False."""
        return False

    def isolates(self, kind: str, query: str, now: float) -> bool:
        """Return False."""
        return False

    def record_loss(self, address: str, queries: tuple[tuple[str, str], ...], now: float) -> None:
        """Ignore the loss."""

    def record_answer(self, kind: str, query: str, now: float) -> None:
        """Ignore the answer."""
