"""How much longer sub-queries take than on idle upstreams."""

from typing import NamedTuple

__all__ = ["LatencyMeter"]

SMOOTHING = 0.2  # share of a new measurement in the moving averages
RISE_SECONDS = 60.0  # time constant by which the time without load rises


class _Times(NamedTuple):
    """Smoothed times of a kind's sub-queries in seconds: current, and without load."""

    current: float
    baseline: float
    updated_at: float


class LatencyMeter:
    """Ratio of the current time of sub-queries to the time without load.

    The ratio shows how long the upstreams' queues are, whichever VM filled them. It uses the
    median of a search's sub-queries, which one straggler does not move. The time without load is
    kept for each kind of work. It rises only from searches that found this VM idle, so that a
    long flood does not become the baseline.
    """

    def __init__(self) -> None:
        self._seconds = 0.0
        self._ratio = 1.0
        self._times: dict[str, _Times] = {}

    @property
    def seconds(self) -> float:
        """Typical time of a sub-query in seconds, 0 before the first."""
        return self._seconds

    @property
    def ratio(self) -> float:
        """Smoothed ratio of the current time to the time without load."""
        return self._ratio

    def record(self, kind: str, seconds: float, weight: float, idle: bool, now: float) -> None:
        """Record the median time of a search's sub-queries.

        :param weight: weight of the measurement in the ratio, from 0 to 1.
        :param idle: whether the search found this VM idle.
        """
        self._seconds += (SMOOTHING if self._seconds else 1.0) * (seconds - self._seconds)
        times = self._times.get(kind) or _Times(seconds, seconds, now)
        current = times.current + SMOOTHING * (seconds - times.current)
        baseline = min(times.baseline, current)
        if idle:
            baseline += min(1.0, (now - times.updated_at) / RISE_SECONDS) * (current - baseline)
        self._times[kind] = _Times(current, baseline, now)
        self._ratio += SMOOTHING * weight * (current / baseline - self._ratio)
