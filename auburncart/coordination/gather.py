"""One search's fan-out: it asks every shard and gathers the answers until the deadline."""

import asyncio
import itertools
from collections.abc import Callable

from auburncart.coordination.fleet import Fleet
from auburncart.coordination.job import Job, JobResult
from auburncart.coordination.mailbox import Mailbox
from auburncart.coordination.policies import Policies
from auburncart.coordination.upstream import Upstream
from auburncart.state import (
    Failure,
    FailureCode,
    Rank,
    SearchAnswer,
    SearchRequest,
    ShardAnswer,
    ShardMap,
    Step,
    SubQuery,
    coverage_of,
)

__all__ = ["Gather"]

_sub_numbers = itertools.count(1)


def _ignore_progress(remaining: int) -> None:
    """Do nothing."""


def _never() -> bool:
    return False


class _Ask:
    """What is known of one shard of the search."""

    __slots__ = ("hedge_at", "jobs", "tried", "tries")

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.tries = 0
        self.jobs: list[Job] = []
        self.hedge_at: float | None = None


class Gather:
    """One search on one pinned snapshot; :meth:`run` is called once.

    :param request: the search.
    :param shard_map: the pinned snapshot with its shards.
    :param names: names of the shards asked.
    :param rank: rank of the search.
    :param progress: told how many shards are still open whenever some have ended.
    :param abandons: asked, once the snapshot is known to be retired, whether to end at once.
    """

    def __init__(
        self,
        request: SearchRequest,
        shard_map: ShardMap,
        names: tuple[str, ...],
        rank: Rank,
        fleet: Fleet,
        policies: Policies,
        progress: Callable[[int], None] = _ignore_progress,
        abandons: Callable[[], bool] = _never,
    ) -> None:
        self._request = request
        self._progress = progress
        self._abandons = abandons
        self._map = shard_map
        self._names = names
        self._rank = rank
        self._fleet = fleet
        self._policies = policies
        self._mailbox: Mailbox[JobResult] = Mailbox()
        self._open: dict[str, _Ask] = {}
        self._answers: dict[str, ShardAnswer] = {}
        self._failures: dict[str, Failure] = {}

    @property
    def retired(self) -> bool:
        """Whether a shard has no answer because upstreams no longer have it or its snapshot."""
        codes = {
            failure.code
            for name, failure in self._failures.items()
            if name not in self._answers and name not in self._open
        }
        return bool(codes & {FailureCode.RETIRED, FailureCode.MOVED})

    async def run(self) -> SearchAnswer:
        """Ask all shards and return what arrived before the deadline."""
        try:
            self._ask_all()
            await self._collect()
        finally:
            self._cancel_rest()
        hits = tuple(hit for name in self._names for hit in self._hits_of(name))
        coverage = coverage_of(self._names, self._answers, self._failures)
        return SearchAnswer(self._request.request_id, self._map.snapshot, hits, coverage)

    def _ask_all(self) -> None:
        self._policies.hedging.record_sent(len(self._names))
        self._policies.retrying.record_sent(len(self._names))
        for name in self._names:
            self._open[name] = _Ask()
            self._send(name, "first")

    async def _collect(self) -> None:
        loop = asyncio.get_running_loop()
        while self._open and loop.time() < self._request.deadline:
            results = await self._mailbox.take(self._next_time())
            for result in results:
                self._settle(result)
            self._progress(len(self._open))
            if self.retired and self._abandons():
                return
            self._hedge_due(loop.time())

    def _next_time(self) -> float:
        hedges = [ask.hedge_at for ask in self._open.values() if ask.hedge_at is not None]
        return min([self._request.deadline, *hedges])

    def _send(self, name: str, reason: str) -> bool:
        ask = self._open[name]
        upstream = self._choose(name, ask)
        if upstream is None:
            return False
        sub = SubQuery(
            f"{self._request.request_id}.{next(_sub_numbers)}",
            name,
            self._map.snapshot,
            self._request.kind,
            self._request.query,
            self._request.deadline,
        )
        job = Job(sub, self._rank, reason, self._mailbox, upstream.address)
        ask.tried.add(upstream.address)
        ask.tries += 1
        ask.jobs.append(job)
        ask.hedge_at = self._hedge_time(upstream)
        upstream.submit(job)
        return True

    def _choose(self, name: str, ask: _Ask) -> Upstream | None:
        now = asyncio.get_running_loop().time()
        candidates = self._fleet.candidates(self._map.shards[name])
        fresh = [upstream for upstream in candidates if upstream.address not in ask.tried]
        chosen = self._policies.choice.choose(fresh, now, self._request.deadline)
        if chosen is None and not ask.jobs:
            chosen = self._policies.choice.choose(candidates, now, self._request.deadline)
        if chosen is None and not ask.jobs:
            self._failures.setdefault(name, Failure(Step.ROUTE, "", "no upstream to ask"))
            del self._open[name]
        return chosen

    def _hedge_time(self, upstream: Upstream) -> float | None:
        delay = self._policies.hedging.delay(self._rank, upstream)
        return None if delay is None else asyncio.get_running_loop().time() + delay

    def _hedge_due(self, now: float) -> None:
        due = [
            name
            for name, ask in self._open.items()
            if ask.hedge_at is not None and ask.hedge_at <= now
        ]
        for name in due:
            self._open[name].hedge_at = None
            if self._policies.hedging.allow(self._rank):
                self._send(name, "hedge")

    def _settle(self, result: JobResult) -> None:
        name = result.job.sub.shard
        ask = self._open.get(name)
        if ask is None or result.job not in ask.jobs:
            return
        ask.jobs.remove(result.job)
        if result.answer is not None:
            self._accept(name, ask, result)
        elif result.failure is not None:
            self._failed(name, ask, result.failure)

    def _accept(self, name: str, ask: _Ask, result: JobResult) -> None:
        assert result.answer is not None
        now = asyncio.get_running_loop().time()
        upstream = self._fleet.get(result.job.address)
        if upstream is not None:
            self._policies.hedging.record_latency(upstream, now - result.job.sent_at)
        self._answers[name] = result.answer
        self._cancel(ask)
        del self._open[name]

    def _failed(self, name: str, ask: _Ask, failure: Failure) -> None:
        self._failures[name] = failure
        if ask.jobs:
            return
        now = asyncio.get_running_loop().time()
        if not self._policies.retrying.allow(ask.tries, failure, now, self._request.deadline):
            del self._open[name]
            return
        self._send(name, "retry")

    def _cancel(self, ask: _Ask) -> None:
        for job in ask.jobs:
            upstream = self._fleet.get(job.address)
            if upstream is not None:
                upstream.cancel(job)

    def _cancel_rest(self) -> None:
        for ask in self._open.values():
            self._cancel(ask)

    def _hits_of(self, name: str) -> tuple:
        answer = self._answers.get(name)
        return answer.hits if answer else ()
