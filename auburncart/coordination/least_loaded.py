"""Choice of a replica by the load, latency and failures that this VM has observed."""

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from auburncart.coordination.choice import ReplicaChoice
from auburncart.coordination.upstream import Upstream
from auburncart.state.upstream import UpstreamCondition

__all__ = ["LeastLoadedChoice", "LeastOutstandingChoice"]

UNRESPONSIVE_FAILURES = 3  # consecutive failures after which no answer is expected
LATENCY_DECAY_SECONDS = 5.0  # time constant with which an old latency loses its weight
WARM_UP_SECONDS = 10.0  # time after a cold start until an upstream gets its full share
COLD_FACTOR = 8.0  # load factor of a cold upstream
JOIN_FACTOR = 0.9  # load factor of a sub-query that joins a batch in the queue
DEFAULT_LATENCY_SECONDS = 0.01  # used while the latency of no candidate is known

CONDITION_FACTORS = {
    UpstreamCondition.READY: 1.0,
    UpstreamCondition.COLD: COLD_FACTOR,
    UpstreamCondition.DRAINING: 1.0,  # decided by the Draining policy
    UpstreamCondition.SHEDDING: 4.0,
}


PreferenceClass = tuple[bool, bool, bool]  # unresponsive, remote, failed last; False is preferred


class _Observation(NamedTuple):
    """What was last observed of an upstream, in loop time and seconds."""

    latency: float
    measured_at: float
    warm_at: float


NOT_OBSERVED = _Observation(0.0, 0.0, -math.inf)


class LeastOutstandingChoice(ReplicaChoice):
    """Takes the local candidate with the fewest outstanding sub-queries and orders.

    An upstream in another data centre is taken only if no local one is expected to answer.

    :param seed: seed of the draw between equals.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def choose(
        self, candidates: Sequence[Upstream], now: float, deadline: float = math.inf
    ) -> Upstream | None:
        """Return the candidate with the lowest load in the most preferred class."""
        classes: dict[PreferenceClass, list[Upstream]] = {}
        for candidate in candidates:
            if candidate.local or now + candidate.latency < deadline:
                classes.setdefault(_preference_class(candidate), []).append(candidate)
        if not classes:
            return None
        best = classes[min(classes)]
        return best[0] if len(best) == 1 else self._least_loaded(best, now)

    def load(self, upstream: Upstream, default_latency: float, now: float) -> float:
        """Return the load of an upstream; the lowest is chosen.

        :param default_latency: latency in seconds of the fastest candidate, for upstreams whose
            latency is not known.
        """
        return upstream.outstanding

    def _least_loaded(self, candidates: list[Upstream], now: float) -> Upstream:
        measured = [candidate.latency for candidate in candidates if candidate.latency > 0]
        default_latency = min(measured) if measured else DEFAULT_LATENCY_SECONDS
        loads = [self.load(candidate, default_latency, now) for candidate in candidates]
        least = min(loads)
        equals = [
            candidate for candidate, load in zip(candidates, loads, strict=True) if load == least
        ]
        return equals[0] if len(equals) == 1 else self._random.choice(equals)


def _preference_class(upstream: Upstream) -> PreferenceClass:
    failures = upstream.failures
    return failures >= UNRESPONSIVE_FAILURES, not upstream.local, failures > 0


class LeastLoadedChoice(LeastOutstandingChoice):
    """Takes the local candidate on which one more sub-query is expected to end first.

    The load is the number of requests in flight or to be sent, times the recent latency. Queued
    sub-queries are counted in batches, and one that joins a batch adds little. A latency that is
    not measured again decays to that of the fastest candidate, so that an upstream that was slow
    once is tried again. The load of an upstream after a cold start is raised by a factor that
    falls while it warms up.
    """

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self._seen: dict[str, _Observation] = {}

    def load(self, upstream: Upstream, default_latency: float, now: float) -> float:
        """Return the expected time of one more sub-query in seconds."""
        seen = self._observe(upstream, now)
        latency = default_latency
        if seen.latency:
            weight = math.exp((seen.measured_at - now) / LATENCY_DECAY_SECONDS)
            latency += weight * (seen.latency - default_latency)
        factor = CONDITION_FACTORS[upstream.condition] * _warm_up_factor(seen, now)
        batches = math.ceil((upstream.waiting + 1) / upstream.replica.batch_limit)
        joined = JOIN_FACTOR if upstream.waiting % upstream.replica.batch_limit else 1.0
        return (upstream.in_flight + batches) * latency * factor * joined

    def _observe(self, upstream: Upstream, now: float) -> _Observation:
        seen = self._seen.get(upstream.address, NOT_OBSERVED)
        cold = upstream.condition is UpstreamCondition.COLD
        if cold or upstream.latency != seen.latency:
            seen = _Observation(upstream.latency, now, now if cold else seen.warm_at)
            self._seen[upstream.address] = seen
        return seen


def _warm_up_factor(seen: _Observation, now: float) -> float:
    left = max(0.0, 1.0 - (now - seen.warm_at) / WARM_UP_SECONDS)
    return 1.0 + left * (COLD_FACTOR - 1.0)
