"""How much longer sub-queries take than they would on idle upstreams."""

from typing import NamedTuple

__all__ = ["LoadMeter"]

SMOOTHING = 0.2
RISE_SECONDS = 60.0  # time constant by which the time without load rises


class _Times(NamedTuple):
    """Smoothed times of a kind's sub-queries in seconds: at present, and without load."""

    present: float
    idle: float
    since: float


class LoadMeter:
    """Ratio of the present time of sub-queries to the time without load.

    The ratio tells how long the upstreams' queues are, whoever filled them. It is taken from the
    median of a search's sub-queries, which one straggler does not move. The time without load is
    kept for each kind of work; it rises only from searches that found this VM idle, so that a
    long flood is not taken for the normal state.
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
        """Smoothed ratio of the present time to the time without load."""
        return self._ratio

    def record(self, kind: str, seconds: float, weight: float, idle: bool, now: float) -> None:
        """Take in the median time of a search's sub-queries.

        :param weight: how much it counts, from 0 to 1.
        :param idle: whether the search found this VM idle.
        """
        self._seconds += (SMOOTHING if self._seconds else 1.0) * (seconds - self._seconds)
        times = self._times.get(kind) or _Times(seconds, seconds, now)
        present = times.present + SMOOTHING * (seconds - times.present)
        least = min(times.idle, present)
        if idle:
            least += min(1.0, (now - times.since) / RISE_SECONDS) * (present - least)
        self._times[kind] = _Times(present, least, now)
        self._ratio += SMOOTHING * weight * (present / least - self._ratio)
