"""Percentiles of recent latencies."""

from hdrh.histogram import HdrHistogram

__all__ = ["RecentLatency"]

WINDOW_SECONDS = 5.0
REFRESH_SECONDS = 0.25
FEWEST_VALUES = 50
MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 60 * MICROSECONDS
SIGNIFICANT_DIGITS = 2


class RecentLatency:
    """Histogram of the present window and of the one before; older times are forgotten."""

    def __init__(self) -> None:
        self._present = _histogram()
        self._former = _histogram()
        self._window_ends = 0.0
        self._refresh_at = 0.0
        self._found: tuple[float, float | None] = (0.0, None)

    def record(self, seconds: float, now: float) -> None:
        """Add a time.

        :param seconds: the time.
        :param now: loop time in seconds.
        """
        if now >= self._window_ends:
            self._turn(now)
        microseconds = int(seconds * MICROSECONDS)
        self._present.record_value(min(max(microseconds, 1), LONGEST_MICROSECONDS))

    def percentile(self, percent: float, now: float) -> float | None:
        """Return a percentile in seconds, None while there are too few values.

        It may be a moment old.
        """
        if now >= self._refresh_at or self._found[0] != percent:
            self._refresh_at = now + REFRESH_SECONDS
            self._found = (percent, self._compute(percent))
        return self._found[1]

    def _turn(self, now: float) -> None:
        self._present, self._former = self._former, self._present
        self._present.reset()
        if now >= self._window_ends + WINDOW_SECONDS:
            self._former.reset()
        self._window_ends = now + WINDOW_SECONDS

    def _compute(self, percent: float) -> float | None:
        total = _histogram()
        total.add(self._former)
        total.add(self._present)
        if total.get_total_count() < FEWEST_VALUES:
            return None
        return total.get_value_at_percentile(percent) / MICROSECONDS


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
