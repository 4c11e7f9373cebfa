"""Metrics in the usual exposition format."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from auburncart.coordination import Observer
from auburncart.state import Rank

__all__ = ["MetricsObserver"]

SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.36, 0.5, 1.0, 2.5, 5.0, 10.0]


class MetricsObserver(Observer):
    """Counts events for a scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = self._add(Counter("auburncart_requests_total", "Ended requests"))
        self._seconds = self._add(
            Histogram("auburncart_request_seconds", "Time of a request", buckets=SECONDS_BUCKETS)
        )
        self._subs = self._add(Counter("auburncart_sub_queries_total", "Sub-queries sent"))
        self._connections = self._add(Gauge("auburncart_upstream_connections", "Open connections"))
        self._events = self._add(Counter("auburncart_events_total", "Other events by name"))
        self._values = self._add(Gauge("auburncart_value", "Other values by name"))

    def request_ended(self, rank: Rank, outcome: str, seconds: float) -> None:
        """Count a request and its time."""
        labels = {"rank": rank.name.lower()}
        self._requests.inc({**labels, "outcome": outcome})
        self._seconds.observe(labels, seconds)

    def sub_queries_sent(self, count: int, reason: str) -> None:
        """Count sub-queries."""
        self._subs.add({"reason": reason}, count)

    def connections_changed(self, address: str, open_connections: int) -> None:
        """Set the number of connections to an upstream."""
        self._connections.set({"upstream": address}, open_connections)

    def counted(self, name: str, amount: float = 1.0) -> None:
        """Count a named event."""
        self._events.add({"event": name}, amount)

    def gauged(self, name: str, value: float) -> None:
        """Set a named value."""
        self._values.set({"name": name}, value)

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a scrape."""
        return render(self._registry, [accept or "text/plain"])

    def _add(self, collector):  # type: ignore[no-untyped-def]
        self._registry.register(collector)
        return collector
