"""How many requests may be at work on one upstream at the same time."""

from abc import ABC, abstractmethod

__all__ = ["InFlightLimit", "OpenInFlight"]

UNBOUNDED = 1_000_000


class InFlightLimit(ABC):
    """Bounds the requests of this VM at work on one upstream; there is one for each upstream."""

    @abstractmethod
    def requests(self, now: float) -> int:
        """Return the most requests at work now; 0 while the upstream is left alone."""

    @abstractmethod
    def resumes_at(self) -> float:
        """Return the loop time in seconds from which :meth:`requests` is at least 1."""

    @abstractmethod
    def record_reply(self, seconds: float, in_flight: int, now: float) -> None:
        """Take in the time of an answered request.

        :param seconds: time from sending to reply.
        :param in_flight: requests at work when the reply came, this one among them.
        :param now: loop time in seconds.
        """

    @abstractmethod
    def record_shed(self, now: float) -> None:
        """Take in that the upstream had no room for a request."""


class OpenInFlight(InFlightLimit):
    """Sets no limit beyond the number of connections; the baseline."""

    def requests(self, now: float) -> int:
        """Return a number above that of any upstream's connections."""
        return UNBOUNDED

    def resumes_at(self) -> float:
        """Return 0."""
        return 0.0

    def record_reply(self, seconds: float, in_flight: int, now: float) -> None:
        """Ignore the time."""

    def record_shed(self, now: float) -> None:
        """Ignore the event."""
