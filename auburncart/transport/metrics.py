"""Metrics in the usual exposition format."""

from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from auburncart.coordination.observer import Observer
from auburncart.state.work import Rank

__all__ = ["MetricsObserver"]

SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.36, 0.5, 1.0, 2.5, 5.0, 10.0]


class MetricsObserver(Observer):
    """Counts events for a scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        own: dict[str, Any] = {"registry": self._registry}
        self._requests = Counter("auburncart_requests_total", "Ended requests", **own)
        self._seconds = Histogram(
            "auburncart_request_seconds", "Time of a request", buckets=SECONDS_BUCKETS, **own
        )
        self._subs = Counter("auburncart_sub_queries_total", "Sub-queries sent", **own)
        self._connections = Gauge("auburncart_upstream_connections", "Open connections", **own)
        self._events = Counter("auburncart_events_total", "Other events by name", **own)
        self._values: dict[str, Gauge] = {}

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

    def count(self, name: str, amount: float = 1.0) -> None:
        """Count a named event."""
        self._events.add({"event": name}, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a named value."""
        gauge = self._values.get(name)
        if gauge is None:
            gauge = Gauge(f"auburncart_{name}", "Present value", registry=self._registry)
            self._values[name] = gauge
        gauge.set({}, value)

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a scrape."""
        return render(self._registry, [accept or "text/plain"])
