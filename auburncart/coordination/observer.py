"""Events of coordination, for metrics and measurements."""

from abc import ABC, abstractmethod

from auburncart.state.work import Rank

__all__ = ["NullObserver", "Observer"]


class Observer(ABC):
    """Receives events; implementations must not block."""

    @abstractmethod
    def request_ended(self, rank: Rank, outcome: str, seconds: float) -> None:
        """Record that a caller's request ended.

        :param outcome: ``complete``, ``partial``, ``refused``, ``ran`` or ``unknown``.
        :param seconds: time since the request arrived.
        """

    @abstractmethod
    def sub_queries_sent(self, count: int, reason: str) -> None:
        """Record that one request with sub-queries was sent.

        :param count: number of the sub-queries.
        :param reason: ``first``, ``retry`` or ``hedge``.
        """

    @abstractmethod
    def connections_changed(self, address: str, open_connections: int) -> None:
        """Record the new number of open connections to an upstream."""

    @abstractmethod
    def count(self, name: str, amount: float = 1.0) -> None:
        """Add to a named counter, such as ``hedge_denied`` or ``store_call``."""

    @abstractmethod
    def set_gauge(self, name: str, value: float) -> None:
        """Set a named gauge, such as ``table_version``."""


class NullObserver(Observer):
    """Ignores every event."""

    def request_ended(self, rank: Rank, outcome: str, seconds: float) -> None:
        """Ignore the event."""

    def sub_queries_sent(self, count: int, reason: str) -> None:
        """Ignore the event."""

    def connections_changed(self, address: str, open_connections: int) -> None:
        """Ignore the event."""

    def count(self, name: str, amount: float = 1.0) -> None:
        """Ignore the event."""

    def set_gauge(self, name: str, value: float) -> None:
        """Ignore the event."""
