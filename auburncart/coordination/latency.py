"""Percentiles of recent latencies."""

from hdrh.histogram import HdrHistogram

__all__ = ["RecentLatency"]

WINDOW_SECONDS = 5.0
REFRESH_SECONDS = 0.25
MIN_VALUES = 50
MICROSECONDS = 1_000_000
MAX_MICROSECONDS = 60 * MICROSECONDS
SIGNIFICANT_DIGITS = 2


class RecentLatency:
    """Histograms of the current and the previous window; older values are dropped."""

    def __init__(self) -> None:
        self._current = _histogram()
        self._previous = _histogram()
        self._window_ends = 0.0
        self._refresh_at = 0.0
        self._cached: tuple[float, float | None] = (0.0, None)

    def record(self, seconds: float, now: float) -> None:
        """Add a value.

        :param seconds: the latency.
        :param now: loop time in seconds.
        """
        if now >= self._window_ends:
            self._rotate(now)
        microseconds = int(seconds * MICROSECONDS)
        self._current.record_value(min(max(microseconds, 1), MAX_MICROSECONDS))

    def percentile(self, percent: float, now: float) -> float | None:
        """Return a percentile in seconds, None while there are too few values.

        It is cached for ``REFRESH_SECONDS``.
        """
        if now >= self._refresh_at or self._cached[0] != percent:
            self._refresh_at = now + REFRESH_SECONDS
            self._cached = (percent, self._compute(percent))
        return self._cached[1]

    def _rotate(self, now: float) -> None:
        self._current, self._previous = self._previous, self._current
        self._current.reset()
        if now >= self._window_ends + WINDOW_SECONDS:
            self._previous.reset()
        self._window_ends = now + WINDOW_SECONDS

    def _compute(self, percent: float) -> float | None:
        total = _histogram()
        total.add(self._previous)
        total.add(self._current)
        if total.get_total_count() < MIN_VALUES:
            return None
        return total.get_value_at_percentile(percent) / MICROSECONDS


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
