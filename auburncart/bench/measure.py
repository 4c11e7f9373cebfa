"""Figures of a run: latency by rank, coverage, refusals, and the load on upstreams."""

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
    "is_coverage_correct",
    "tier_figures",
]

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
DEADLINE_TOLERANCE_SECONDS = 0.005


class Outcome(NamedTuple):
    """Outcome of one search as its caller sees it.

    :param arrival: seconds from the start of the measured time to the arrival.
    :param seconds: latency at the caller, network included.
    :param lateness: seconds by which the VM missed the deadline, negative if it answered earlier.
    :param answer: the answer, None for a refusal.
    :param asked: names of the shards that the search asked.
    """

    rank: Rank
    arrival: float
    seconds: float
    lateness: float
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
    """Load on the upstreams during a run.

    :param extra_load: ratio of hedges and retries to first attempts.
    :param requests_per_search: requests received by upstreams per admitted search.
    :param received_per_needed: ratio of sub-queries received by upstreams to first attempts.
    :param peak_connections: largest ratio of an upstream's open connections to its limit.
    :param connection_breaches: connections that upstreams refused because of their limit.
    :param replicas_lost: number of crashes of upstreams caused by a query.
    """

    extra_load: float
    requests_per_search: float
    received_per_needed: float
    peak_connections: float
    connection_breaches: int
    replicas_lost: int


class RunFigures(TierFigures):
    """Figures of one run.

    :param seconds: length of the measured time, in virtual seconds.
    :param sent: sub-queries that the VMs sent, by reason.
    :param false_complete: answers whose coverage does not agree with their hits.
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
    """Counts the sub-queries that the VMs send and the events that they report."""

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.events: Counter[str] = Counter()

    def request_ended(self, rank: Rank, outcome: str, seconds: float) -> None:
        """Ignore the event; latency is measured at the callers."""

    def sub_queries_sent(self, count: int, reason: str) -> None:
        """Count sub-queries by reason."""
        self.sent[reason] += count

    def connections_changed(self, address: str, open_connections: int) -> None:
        """Ignore the event; the upstream models count their connections."""

    def count(self, name: str, amount: float = 1.0) -> None:
        """Count a named event."""
        self.events[name] += amount  # type: ignore[assignment]

    def set_gauge(self, name: str, value: float) -> None:
        """Ignore the event."""


def is_coverage_correct(answer: SearchAnswer, asked: tuple[str, ...], snapshot: str) -> bool:
    """Return whether an answer's coverage agrees with its hits.

    Each shard of a deployment holds one record, named after the shard.

    :param asked: names of the shards that the search asked.
    :param snapshot: snapshot that all upstreams serve.
    """
    record_names = [hit["record"] for hit in answer.hits]
    answered_shards = {record.split("/")[0] for record in record_names}
    coverage = answer.coverage
    missing_shards = {gap.shard for gap in coverage.missing}
    return (
        answer.snapshot == snapshot
        and len(record_names) == len(answered_shards) == coverage.answered
        and coverage.asked == len(asked)
        and answered_shards | missing_shards == set(asked)
        and not answered_shards & missing_shards
        and coverage.complete == (answered_shards == set(asked))
    )


class _RankRecorder:
    """Records the outcomes of one rank."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
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
        self._in_time += outcome.lateness <= DEADLINE_TOLERANCE_SECONDS
        self._complete += outcome.answer.coverage.complete
        self._coverage += outcome.coverage
        self._histogram.record_value(max(1, round(outcome.seconds * MICROSECONDS_PER_SECOND)))

    def figures(self) -> RankFigures:
        return RankFigures(
            offered=self._offered,
            answered=self._answered,
            refused=self._offered - self._answered,
            p50_ms=self._milliseconds(50.0),
            p99_ms=self._milliseconds(99.0),
            p999_ms=self._milliseconds(99.9),
            in_time=_ratio(self._in_time, self._offered),
            complete=_ratio(self._complete, self._offered),
            mean_coverage=_ratio(self._coverage, self._answered),
        )

    def _milliseconds(self, percentile: float) -> float:
        if not self._answered:
            return 0.0
        return round(self._histogram.get_value_at_percentile(percentile) / 1000, 1)


class Recorder:
    """Records the outcomes of a run.

    :param snapshot: snapshot that all upstreams serve.
    """

    def __init__(self, snapshot: str) -> None:
        self._snapshot = snapshot
        self._ranks = {rank: _RankRecorder() for rank in Rank}
        self._incorrect = 0
        self.outcomes: list[Outcome] = []

    @property
    def false_complete(self) -> int:
        """Number of answers whose coverage does not agree with their hits."""
        return self._incorrect

    def add(self, outcome: Outcome) -> None:
        """Record the outcome of one search."""
        self._ranks[outcome.rank].add(outcome)
        if outcome.answer is not None:
            self._incorrect += not is_coverage_correct(
                outcome.answer, outcome.asked, self._snapshot
            )
            outcome = outcome._replace(answer=outcome.answer._replace(hits=()))
        self.outcomes.append(outcome)

    def ranks(self) -> dict[str, RankFigures]:
        """Return the figures by rank."""
        return {
            rank.name.lower(): rank_recorder.figures()
            for rank, rank_recorder in self._ranks.items()
        }


def tier_figures(tier: Tier, observer: CountingObserver, admitted: int) -> TierFigures:
    """Return the load on the upstreams during a run.

    :param admitted: number of searches that were not refused, including the warm-up.
    """
    models = tier.models.values()
    first_attempts = observer.sent["first"]
    extra_attempts = sum(observer.sent.values()) - first_attempts
    return TierFigures(
        extra_load=_ratio(extra_attempts, first_attempts),
        requests_per_search=_ratio(sum(model.requests for model in models), admitted),
        received_per_needed=_ratio(sum(model.sub_queries for model in models), first_attempts),
        peak_connections=max(m.peak_connections / m.profile.max_connections for m in models),
        connection_breaches=sum(model.refused_connections for model in models),
        replicas_lost=sum(model.crashes for model in models),
    )


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 0.0
