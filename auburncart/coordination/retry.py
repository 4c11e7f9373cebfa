"""When a failed sub-query is tried again."""

from abc import ABC, abstractmethod

from auburncart.state import Failure

__all__ = ["RetryThrice", "Retrying"]

MAX_TRIES = 3


class Retrying(ABC):
    """Decides whether an idempotent sub-query is tried again."""

    @abstractmethod
    def allow(self, tries: int, failure: Failure, now: float, deadline: float) -> bool:
        """Return whether to try again.

        :param tries: number of tries so far, at least 1.
        :param failure: how the last one failed.
        :param now: loop time in seconds.
        :param deadline: loop time in seconds at which the search ends.
        """

    @abstractmethod
    def record_sent(self, count: int) -> None:
        """Count first tries, from which a budget may grow."""


class RetryThrice(Retrying):
    """Tries each sub-query up to three times; the baseline."""

    def allow(self, tries: int, failure: Failure, now: float, deadline: float) -> bool:
        """Return whether a try is left and the deadline has not passed."""
        return tries < MAX_TRIES and now < deadline

    def record_sent(self, count: int) -> None:
        """Ignore the count."""
