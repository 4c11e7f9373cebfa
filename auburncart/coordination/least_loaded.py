"""Choice of a replica by what this VM sees of each: work outstanding, latency, failures."""

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from auburncart.coordination.choice import ReplicaChoice
from auburncart.coordination.upstream import Upstream
from auburncart.state.upstream import UpstreamCondition

__all__ = ["LeastLoadedChoice", "LeastOutstandingChoice"]

UNANSWERING_FAILURES = 3  # failures in a row after which an upstream is not expected to answer
FORGET_SECONDS = 5.0  # time constant by which an old latency loses its meaning
RAMP_SECONDS = 10.0  # time after a cold start until an upstream gets its full part
COLD_FACTOR = 8.0  # by which work counts more on a cold upstream
JOIN_FACTOR = 0.9  # by which a sub-query that joins a waiting request counts less
TYPICAL_SECONDS = 0.01  # latency taken for an upstream that was never measured among such

CONDITION_FACTORS = {
    UpstreamCondition.READY: 1.0,
    UpstreamCondition.COLD: COLD_FACTOR,
    UpstreamCondition.DRAINING: 1.0,  # a matter of the Draining policy
    UpstreamCondition.SHEDDING: 4.0,
}


Class = tuple[bool, bool, bool]  # not expected to answer, remote, failed lately; False is better


class _Seen(NamedTuple):
    """What was last seen of an upstream, in loop time and seconds."""

    latency: float
    measured_at: float
    warm_at: float


NOT_SEEN = _Seen(0.0, 0.0, -math.inf)


class LeastOutstandingChoice(ReplicaChoice):
    """Takes the local candidate with the least work outstanding.

    Another data centre's upstream is taken only if no local one can be expected to answer.

    :param seed: seed of the draw between equals.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def choose(
        self, candidates: Sequence[Upstream], now: float, deadline: float = math.inf
    ) -> Upstream | None:
        """Return the candidate with the lowest load of the best class that has one."""
        classes: dict[Class, list[Upstream]] = {}
        for one in candidates:
            if one.local or now + one.latency < deadline:
                classes.setdefault(_class(one), []).append(one)
        if not classes:
            return None
        best = classes[min(classes)]
        return best[0] if len(best) == 1 else self._of_class(best, now)

    def load(self, upstream: Upstream, typical: float, now: float) -> float:
        """Return a number that is lower for an upstream that should rather get work.

        :param typical: latency in seconds of the fastest candidate, for those of unknown latency.
        """
        return upstream.outstanding

    def _of_class(self, candidates: list[Upstream], now: float) -> Upstream:
        measured = [one.latency for one in candidates if one.latency > 0]
        typical = min(measured) if measured else TYPICAL_SECONDS
        loads = [self.load(one, typical, now) for one in candidates]
        least = min(loads)
        equals = [one for one, load in zip(candidates, loads, strict=True) if load == least]
        return equals[0] if len(equals) == 1 else self._random.choice(equals)


def _class(upstream: Upstream) -> Class:
    failures = upstream.failures
    return failures >= UNANSWERING_FAILURES, not upstream.local, failures > 0


class LeastLoadedChoice(LeastOutstandingChoice):
    """Takes the local candidate on which one more sub-query is expected to end first.

    The load is the number of requests outstanding times recent latency; sub-queries that wait
    travel in one request as far as the upstream takes them so, and one more joins them for
    little. A latency that was not measured again
    loses its meaning with time, so that an upstream that was slow once gets tried again. An
    upstream that reports a cold start counts as slower, less and less so while it warms up.
    """

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self._seen: dict[str, _Seen] = {}

    def load(self, upstream: Upstream, typical: float, now: float) -> float:
        """Return the expected time of one more sub-query in seconds."""
        seen = self._look(upstream, now)
        latency = typical
        if seen.latency:
            age = math.exp((seen.measured_at - now) / FORGET_SECONDS)
            latency += age * (seen.latency - typical)
        factor = CONDITION_FACTORS[upstream.condition] * _ramp(seen, now)
        batches = math.ceil((upstream.waiting + 1) / upstream.replica.batch_limit)
        joined = JOIN_FACTOR if upstream.waiting % upstream.replica.batch_limit else 1.0
        return (upstream.at_work + batches) * latency * factor * joined

    def _look(self, upstream: Upstream, now: float) -> _Seen:
        seen = self._seen.get(upstream.address, NOT_SEEN)
        cold = upstream.condition is UpstreamCondition.COLD
        if cold or upstream.latency != seen.latency:
            seen = _Seen(upstream.latency, now, now if cold else seen.warm_at)
            self._seen[upstream.address] = seen
        return seen


def _ramp(seen: _Seen, now: float) -> float:
    left = max(0.0, 1.0 - (now - seen.warm_at) / RAMP_SECONDS)
    return 1.0 + left * (COLD_FACTOR - 1.0)
