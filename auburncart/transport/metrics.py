"""Metrics in the Prometheus exposition format."""

from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from auburncart.coordination.observer import Observer
from auburncart.state.work import Rank

__all__ = ["MetricsObserver"]

SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.36, 0.5, 1.0, 2.5, 5.0, 10.0]


class MetricsObserver(Observer):
    """Collects metrics for scraping."""

    def __init__(self) -> None:
        self._registry = Registry()
        options: dict[str, Any] = {"registry": self._registry}
        self._requests = Counter("auburncart_requests_total", "Ended requests", **options)
        self._seconds = Histogram(
            "auburncart_request_seconds",
            "Time of a request",
            buckets=SECONDS_BUCKETS,
            **options,
        )
        self._sub_queries = Counter("auburncart_sub_queries_total", "Sub-queries sent", **options)
        self._connections = Gauge("auburncart_upstream_connections", "Open connections", **options)
        self._events = Counter("auburncart_events_total", "Other events by name", **options)
        self._gauges: dict[str, Gauge] = {}

    def request_ended(self, rank: Rank, outcome: str, seconds: float) -> None:
        """Count a request and record its duration."""
        labels = {"rank": rank.name.lower()}
        self._requests.inc({**labels, "outcome": outcome})
        self._seconds.observe(labels, seconds)

    def sub_queries_sent(self, count: int, reason: str) -> None:
        """Count sub-queries."""
        self._sub_queries.add({"reason": reason}, count)

    def connections_changed(self, address: str, open_connections: int) -> None:
        """Set the number of connections to an upstream."""
        self._connections.set({"upstream": address}, open_connections)

    def count(self, name: str, amount: float = 1.0) -> None:
        """Count a named event."""
        self._events.add({"event": name}, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a named gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"auburncart_{name}", "Present value", registry=self._registry)
            self._gauges[name] = gauge
        gauge.set({}, value)

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a scrape response."""
        return render(self._registry, [accept or "text/plain"])
