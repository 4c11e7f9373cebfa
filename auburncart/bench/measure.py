"""What a run measured: latencies by rank, coverage, refusals, and the load on upstreams."""

from collections import Counter
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

from auburncart.bench.tier import Tier
from auburncart.coordination.observer import Observer
from auburncart.state.search import SearchAnswer
from auburncart.state.work import Rank

__all__ = [
    "CountingObserver",
    "Outcome",
    "RankFigures",
    "Recorder",
    "RunFigures",
    "TierFigures",
    "tier_figures",
    "truthful",
]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000
LATE_SECONDS = 0.005


class Outcome(NamedTuple):
    """How one search ended for its caller.

    :param arrival: seconds since the measured time began.
    :param seconds: time at the caller, network included.
    :param late: seconds by which the VM missed the deadline, negative if it kept it.
    :param answer: the answer, None for a refusal.
    :param asked: names of the shards that had to answer.
    """

    rank: Rank
    arrival: float
    seconds: float
    late: float
    answer: SearchAnswer | None
    asked: tuple[str, ...]

    @property
    def coverage(self) -> float:
        """Share of the shards that answered."""
        if self.answer is None:
            return 0.0
        return self.answer.coverage.answered / max(1, self.answer.coverage.asked)


class RankFigures(TypedDict):
    """Figures of one rank; times in milliseconds, shares from 0 to 1."""

    offered: int
    answered: int
    refused: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    in_time: float
    complete: float
    mean_coverage: float


class TierFigures(TypedDict):
    """What upstreams saw of a run.

    :param extra_load: hedges and retries sent over first tries.
    :param requests_per_search: requests that reached upstreams, over searches admitted.
    :param received_per_needed: sub-queries that reached upstreams, over first tries.
    :param peak_connections: largest share of its limit that any upstream's connections took.
    :param connection_breaches: connections that upstreams refused as too many.
    :param replicas_lost: times that a query crashed an upstream.
    """

    extra_load: float
    requests_per_search: float
    received_per_needed: float
    peak_connections: float
    connection_breaches: int
    replicas_lost: int


class RunFigures(TierFigures):
    """Figures of one run.

    :param seconds: measured virtual time.
    :param sent: sub-queries that left the VMs, by reason.
    :param false_complete: answers whose coverage was not true.
    :param events: other events that the VMs counted.
    """

    site: str
    case: str
    policies: str
    seed: int
    seconds: float
    ranks: dict[str, RankFigures]
    sent: dict[str, int]
    false_complete: int
    events: dict[str, float]


class CountingObserver(Observer):
    """Counts what the VMs send and report."""

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.events: Counter[str] = Counter()

    def request_ended(self, rank: Rank, outcome: str, seconds: float) -> None:
        """Ignore the event; callers are measured themselves."""

    def sub_queries_sent(self, count: int, reason: str) -> None:
        """Count sub-queries by reason."""
        self.sent[reason] += count

    def connections_changed(self, address: str, open_connections: int) -> None:
        """Ignore the event; the upstreams count their connections."""

    def count(self, name: str, amount: float = 1.0) -> None:
        """Count a named event."""
        self.events[name] += amount  # type: ignore[assignment]

    def set_gauge(self, name: str, value: float) -> None:
        """Ignore the event."""


def truthful(answer: SearchAnswer, asked: tuple[str, ...], snapshot: str) -> bool:
    """Return whether an answer's coverage agrees with the hits that it holds.

    Each shard of a deployment holds one record, named after it.

    :param asked: names of the shards that had to answer.
    :param snapshot: the snapshot that all upstreams serve.
    """
    records = [hit["record"] for hit in answer.hits]
    held = {record.split("/")[0] for record in records}
    coverage = answer.coverage
    missing = {gap.shard for gap in coverage.missing}
    return (
        answer.snapshot == snapshot
        and len(records) == len(held) == coverage.answered
        and coverage.asked == len(asked)
        and held | missing == set(asked)
        and not held & missing
        and coverage.complete == (held == set(asked))
    )


class _RankRecorder:
    """Outcomes of one rank."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )
        self._offered = 0
        self._answered = 0
        self._in_time = 0
        self._complete = 0
        self._coverage = 0.0

    def add(self, outcome: Outcome) -> None:
        self._offered += 1
        if outcome.answer is None:
            return
        self._answered += 1
        self._in_time += outcome.late <= LATE_SECONDS
        self._complete += outcome.answer.coverage.complete
        self._coverage += outcome.coverage
        self._histogram.record_value(max(1, round(outcome.seconds * MICROSECONDS)))

    def figures(self) -> RankFigures:
        return RankFigures(
            offered=self._offered,
            answered=self._answered,
            refused=self._offered - self._answered,
            p50_ms=self._milliseconds(50.0),
            p99_ms=self._milliseconds(99.0),
            p999_ms=self._milliseconds(99.9),
            in_time=_share(self._in_time, self._offered),
            complete=_share(self._complete, self._offered),
            mean_coverage=_share(self._coverage, self._answered),
        )

    def _milliseconds(self, percentile: float) -> float:
        if not self._answered:
            return 0.0
        return round(self._histogram.get_value_at_percentile(percentile) / 1000, 1)


class Recorder:
    """Collects the outcomes of a run.

    :param snapshot: the snapshot that all upstreams serve.
    """

    def __init__(self, snapshot: str) -> None:
        self._snapshot = snapshot
        self._ranks = {rank: _RankRecorder() for rank in Rank}
        self._false = 0
        self.outcomes: list[Outcome] = []

    @property
    def false_complete(self) -> int:
        """Number of answers whose coverage was not true."""
        return self._false

    def add(self, outcome: Outcome) -> None:
        """Take in one search."""
        self._ranks[outcome.rank].add(outcome)
        if outcome.answer is not None:
            self._false += not truthful(outcome.answer, outcome.asked, self._snapshot)
            outcome = outcome._replace(answer=outcome.answer._replace(hits=()))
        self.outcomes.append(outcome)

    def ranks(self) -> dict[str, RankFigures]:
        """Return the figures by rank."""
        return {rank.name.lower(): recorder.figures() for rank, recorder in self._ranks.items()}


def tier_figures(tier: Tier, observer: CountingObserver, admitted: int) -> TierFigures:
    """Return what the upstreams saw of a run.

    :param admitted: number of searches that were not refused, warm-up included.
    """
    models = tier.models.values()
    needed = observer.sent["first"]
    extra = sum(observer.sent.values()) - needed
    return TierFigures(
        extra_load=_share(extra, needed),
        requests_per_search=_share(sum(model.requests for model in models), admitted),
        received_per_needed=_share(sum(model.sub_queries for model in models), needed),
        peak_connections=max(m.peak_connections / m.shape.connections for m in models),
        connection_breaches=sum(model.refused_connections for model in models),
        replicas_lost=sum(model.crashes for model in models),
    )


def _share(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 0.0
