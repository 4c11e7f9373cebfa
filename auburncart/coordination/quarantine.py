"""Protection against queries that crash the upstreams that run them."""

from abc import ABC, abstractmethod

from auburncart.coordination.interfaces import PeerBus
from auburncart.state.query import QueryRun

__all__ = ["NoQuarantine", "Quarantine"]


class Quarantine(ABC):
    """Limits the number of upstreams that one query can crash."""

    @abstractmethod
    def refuses(self, run: QueryRun, now: float) -> bool:
        """Return whether a query must not be sent to a shard now."""

    @abstractmethod
    def isolates(self, run: QueryRun, now: float) -> bool:
        """Return whether a query must be sent in a request of its own."""

    @abstractmethod
    def untested(self, run: QueryRun, now: float) -> bool:
        """Return whether one shard must answer a query before it is sent to the others."""

    @abstractmethod
    def retry_delay(self, run: QueryRun, now: float) -> float:
        """Return the seconds after which an untested query that was lost may be sent again."""

    @abstractmethod
    async def begin_trial(self, run: QueryRun, until: float) -> bool:
        """Wait until no other search on this VM tests the same query.

        :param until: loop time in seconds at which to give up.
        :return: whether the trial may begin; if so, call :meth:`end_trial` after it.
        """

    @abstractmethod
    def end_trial(self, run: QueryRun) -> None:
        """Let the next search test the query, or continue without a trial if it has passed."""

    @abstractmethod
    def record_loss(
        self, address: str, runs: tuple[QueryRun, ...], trial: bool, now: float
    ) -> None:
        """Record that an upstream was lost while it ran a request.

        :param address: the upstream.
        :param runs: the queries in the request.
        :param trial: whether the request held one query only, because that had to be isolated.
        :param now: loop time in seconds.
        """

    @abstractmethod
    def exchange_losses(self, bus: PeerBus) -> None:
        """Exchange losses with the other VMs from now on."""

    @abstractmethod
    def record_answer(self, run: QueryRun, now: float) -> None:
        """Record that an upstream answered a query."""


class NoQuarantine(Quarantine):
    """Refuses no query; the baseline."""

    def refuses(self, run: QueryRun, now: float) -> bool:
        """Return False."""
        return False

    def isolates(self, run: QueryRun, now: float) -> bool:
        """Return False."""
        return False

    def untested(self, run: QueryRun, now: float) -> bool:
        """Return False."""
        return False

    def retry_delay(self, run: QueryRun, now: float) -> float:
        """Return 0."""
        return 0.0

    async def begin_trial(self, run: QueryRun, until: float) -> bool:
        """Return True."""
        return True

    def end_trial(self, run: QueryRun) -> None:
        """Do nothing."""

    def record_loss(
        self, address: str, runs: tuple[QueryRun, ...], trial: bool, now: float
    ) -> None:
        """Ignore the loss."""

    def exchange_losses(self, bus: PeerBus) -> None:
        """Do nothing."""

    def record_answer(self, run: QueryRun, now: float) -> None:
        """Ignore the answer."""
