"""Metrics of a VM that forwards requests, counted from its log events."""

from collections.abc import Callable
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from auburncart.coordination.forwarding.journal import Journal
from auburncart.state.event import Answered, Event, Hedged, Refused, Retried, TryFailed

__all__ = ["ForwardMetrics"]

SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.36, 0.5, 1.0, 2.5, 5.0, 10.0]
MAX_SERVICES = 100  # label values; further services are counted together as OTHER_SERVICES
OTHER_SERVICES = "other"
TEXT = "text/plain"


class ForwardMetrics(Journal):
    """Counts events and writes them to the log.

    :param log: log that records the events.
    """

    def __init__(self, log: Journal) -> None:
        self._log = log
        self._registry = Registry()
        self._services: set[str] = set()
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []
        self._requests = self._counter("requests_total", "Ended requests by kind and outcome")
        self._seconds = Histogram(
            "auburncart_request_seconds",
            "Time of a request by kind and outcome",
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._missing_shards = self._counter(
            "missing_parts_total", "Shards left out of merged answers"
        )
        self._hedges = self._counter("hedges_total", "Hedges by service")
        self._retries = self._counter("retries_total", "Retries by service and cause")
        self._failures = self._counter("tries_failed_total", "Failed tries by service and code")
        self._events = self._counter("events_total", "Events of the log by type")
        self._store_calls = self._counter("store_calls_total", "Store calls by kind and result")

    def record(self, event: Event) -> None:
        """Count an event and record it in the log."""
        self._events.inc({"type": type(event).__name__})
        count = self._COUNTERS.get(type(event))
        if count is not None:
            count(self, event)
        self._log.record(event)

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"kind": kind, "result": result})

    def add_gauge(self, name: str, text: str, value: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = Gauge(f"auburncart_{name}", text, registry=self._registry)
        self._gauges.append((gauge, value))

    def render_metrics(self) -> bytes:
        """Return all metrics in the text exposition format."""
        for gauge, value in self._gauges:
            gauge.set({}, value())
        return render(self._registry, [TEXT])[0]

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"auburncart_{name}", text, registry=self._registry)

    def _count_answer(self, event: Answered) -> None:
        labels = {"kind": event.kind, "outcome": "partial" if event.missing else "answered"}
        self._requests.inc(labels)
        self._seconds.observe(labels, event.seconds)
        if event.missing:
            self._missing_shards.add({}, event.missing)

    def _count_refusal(self, event: Refused) -> None:
        labels = {"kind": event.kind, "outcome": event.code}
        self._requests.inc(labels)
        self._seconds.observe(labels, event.seconds)

    def _count_hedge(self, event: Hedged) -> None:
        started = "yes" if event.started else "no"
        self._hedges.inc({"service": self._service_label(event.service), "started": started})

    def _count_retry(self, event: Retried) -> None:
        started = "yes" if event.started else "no"
        labels = {"service": self._service_label(event.service), "after": event.after}
        self._retries.inc({**labels, "started": started})

    def _count_failure(self, event: TryFailed) -> None:
        self._failures.inc({"service": self._service_label(event.service), "code": event.code})

    def _service_label(self, service: str) -> str:
        if service not in self._services:
            if len(self._services) >= MAX_SERVICES:
                return OTHER_SERVICES
            self._services.add(service)
        return service

    _COUNTERS: dict[type, Callable[[Any, Any], None]] = {  # noqa: RUF012
        Answered: _count_answer,
        Refused: _count_refusal,
        Hedged: _count_hedge,
        Retried: _count_retry,
        TryFailed: _count_failure,
    }
