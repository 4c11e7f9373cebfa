"""One search's fan-out: it asks every shard and gathers the answers until the deadline."""

import asyncio
import itertools
from collections.abc import Callable

from eliot import log_message

from auburncart.coordination.job import Job, JobResult
from auburncart.coordination.mailbox import Mailbox
from auburncart.coordination.pending_shards import PendingShard, PendingShards, DueAction
from auburncart.coordination.policies import Policies
from auburncart.coordination.retry import Prospect
from auburncart.coordination.upstream import Upstream
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.query import QueryRun, query_digest
from auburncart.state.search import SearchAnswer, SearchRequest, ShardAnswer, SubQuery, coverage_of
from auburncart.state.shards import ShardMap
from auburncart.state.work import Rank

__all__ = ["Gather"]

_sub_numbers = itertools.count(1)

MOST_CANARIES = 2
CANARY_SECONDS = 0.03
QUARANTINED = Failure(
    Step.ROUTE,
    "",
    "not sent: upstreams were lost while they ran this query",
    FailureCode.QUARANTINED,
    False,
)
UNTESTED = Failure(
    Step.ROUTE, "", "not sent: no shard answered a first try", FailureCode.TIMED_OUT, False
)
NO_UPSTREAM = Failure(Step.ROUTE, "", "no upstream to ask", FailureCode.UNREACHABLE, False)


def _ignore_progress(remaining: int) -> None:
    """Do nothing."""


def _never() -> bool:
    return False


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
        upstreams: UpstreamRegistry,
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
        self._upstreams = upstreams
        self._policies = policies
        self._digest = query_digest(request.kind, request.query)
        self._mailbox: Mailbox[JobResult] = Mailbox()
        self._asks = PendingShards()
        self._lost: list[PendingShard] = []
        self._testing = False
        self._reached = 0.0
        self._answers: dict[str, ShardAnswer] = {}
        self._failures: dict[str, Failure] = {}

    @property
    def retired(self) -> bool:
        """Whether a shard has no answer because upstreams no longer have it or its snapshot."""
        codes = {
            failure.code
            for name, failure in self._failures.items()
            if name not in self._answers and name not in self._asks
        }
        return bool(codes & {FailureCode.RETIRED, FailureCode.MOVED})

    async def run(self) -> SearchAnswer:
        """PendingShard all shards and return what arrived before the deadline."""
        try:
            await self._test()
            self._ask_rest()
            self._progress(len(self._asks))
            while self._asks and await self._step(self._request.deadline):
                self._progress(len(self._asks))
                if self.retired and self._abandons():
                    break
        finally:
            self._cancel_rest()
        hits = tuple(hit for name in self._names for hit in self._hits_of(name))
        coverage = coverage_of(self._names, self._answers, self._failures)
        return SearchAnswer(self._request.request_id, self._map.snapshot, hits, coverage)

    async def _test(self) -> None:
        """See that one shard answers before the others are asked, if the query is untested."""
        quarantine = self._policies.quarantine
        run = self._run(self._names[0])
        if not quarantine.untested(run, self._now()):
            return
        if await quarantine.take_turn(run, self._request.deadline):
            self._testing = True
            try:
                await self._try_shards(run)
            finally:
                self._testing = False
                quarantine.end_turn(run)

    async def _try_shards(self, run: QueryRun) -> None:
        quarantine = self._policies.quarantine
        untried = [PendingShard(name) for name in sorted(set(self._names), key=self._test_order)]
        next_at = self._reached = self._now()
        going_on = True
        while going_on and quarantine.untested(run, self._reached):
            if quarantine.refuses(run, self._reached):
                await asyncio.sleep(self._until_reported(run))
                return
            if not (untried or self._asks):
                return
            if untried and self._reached >= next_at and self._may_test(run):
                ask = untried.pop(0)
                self._start(ask)
                next_at = self._now() + self._patience(ask)
            open_before = len(self._asks)
            until = next_at if untried and self._may_test(run) else self._request.deadline
            going_on = await self._step(until)
            if self._lost:
                untried += self._lost
                self._lost.clear()
                next_at = self._reached + quarantine.delay(run, self._reached)
            elif len(self._asks) < open_before:
                next_at = self._reached

    def _until_reported(self, run: QueryRun) -> float:
        """Return seconds until other VMs know of a loss, for its caller may now ask them."""
        left = self._request.deadline - self._now()
        return max(0.0, min(left, self._policies.quarantine.delay(run, self._now())))

    def _may_test(self, run: QueryRun) -> bool:
        suspect = self._policies.quarantine.delay(run, self._reached) > 0
        return len(self._asks) < (1 if suspect else MOST_CANARIES)

    def _test_order(self, name: str) -> str:
        """Return a key by which all VMs test a query on the same shards in the same order."""
        return query_digest(self._digest, name)

    def _patience(self, ask: PendingShard) -> float:
        """Return seconds after which a second shard tests the query too.

        That costs no extra load, since that shard has to be asked anyway.
        """
        candidates = self._upstreams.candidates(self._map.shards[ask.name])
        latencies = [upstream.latency for upstream in candidates if upstream.latency]
        return min(latencies, default=CANARY_SECONDS)

    def _ask_rest(self) -> None:
        run = self._run(self._names[0])
        tested = not self._policies.quarantine.untested(run, self._now())
        refused = self._policies.quarantine.refuses(run, self._now())
        self._hedge_tested()
        for name in self._names:
            if name in self._asks or name in self._answers or name in self._failures:
                continue
            if tested or refused:
                self._start(PendingShard(name))
            else:
                self._failures[name] = UNTESTED

    def _hedge_tested(self) -> None:
        """Let the shards that tested the query be hedged now, which was not allowed before."""
        for ask in self._asks:
            if ask.due is DueAction.HEDGE and ask.wait and ask.jobs:
                late_at = ask.jobs[0].queued_at + self._first_wait(ask)
                self._asks.schedule(ask, DueAction.HEDGE, max(self._now(), late_at))

    def _first_wait(self, ask: PendingShard) -> float:
        upstream = self._upstreams.get(ask.jobs[0].address)
        delay = self._policies.hedging.delay(self._rank, upstream) if upstream else None
        return ask.wait if delay is None else delay

    async def _step(self, until: float) -> bool:
        """Take in what arrives, and do what is due.

        :param until: loop time in seconds at which to stop waiting.
        :return: whether the deadline lies ahead.
        """
        at = min(until, self._request.deadline, self._asks.next_time())
        results = await self._mailbox.take(at)
        for result in results:
            self._settle(result)
        # The loop may wake a task up to its clock's resolution before the time asked for.
        now = self._reached = self._now() if results else max(at, self._now())
        for ask in self._asks.take_due(now):
            if ask.due is DueAction.RETRY:
                self._send(ask, "retry")
            else:
                self._hedge(ask)
        return now < self._request.deadline

    def _start(self, ask: PendingShard) -> None:
        self._policies.hedging.record_sent(1)
        self._policies.retrying.record_sent(1)
        self._asks.add(ask)
        self._send(ask, "first" if ask.tries == 0 else "retry")

    def _send(self, ask: PendingShard, reason: str) -> None:
        now = self._now()
        if self._policies.quarantine.refuses(self._run(ask.name), now):
            self._give_up(ask, QUARANTINED)
            return
        upstream = self._choose(ask, ask.other_only)
        ask.tries += 1
        if upstream is None:
            self._failed(ask, self._no_upstream(ask))
        else:
            self._submit(ask, upstream, reason)

    def _submit(self, ask: PendingShard, upstream: Upstream, reason: str) -> None:
        sub = SubQuery(
            f"{self._request.request_id}.{next(_sub_numbers)}",
            ask.name,
            self._map.snapshot,
            self._request.kind,
            self._request.query,
            self._request.deadline,
        )
        job = Job(sub, self._rank, reason, self._mailbox, upstream.address, self._run(ask.name))
        ask.tried.add(upstream.address)
        ask.jobs.append(job)
        delay = self._policies.hedging.delay(self._rank, upstream)
        if delay is not None:
            ask.wait = delay
            self._asks.schedule(ask, DueAction.HEDGE, self._now() + delay)
        upstream.submit(job)

    def _choose(self, ask: PendingShard, fresh_only: bool) -> Upstream | None:
        now, deadline = self._now(), self._request.deadline
        candidates = self._usable(ask.name, now)
        fresh = [upstream for upstream in candidates if upstream.address not in ask.tried]
        chosen = self._policies.choice.choose(fresh, now, deadline) if fresh else None
        if chosen is None and not fresh_only and candidates:
            chosen = self._policies.choice.choose(candidates, now, deadline)
        return chosen

    def _usable(self, name: str, now: float) -> list[Upstream]:
        candidates = self._upstreams.candidates(self._map.shards[name])
        ready = [upstream for upstream in candidates if upstream.ready]
        usable = self._policies.draining.usable(ready, now)
        return [upstream for upstream in usable if not upstream.paused] or usable

    def _no_upstream(self, ask: PendingShard) -> Failure:
        """Return why no upstream of a shard can be asked now."""
        if ask.name in self._failures:
            return self._failures[ask.name]._replace(sent=False)
        for upstream in self._upstreams.candidates(self._map.shards[ask.name]):
            if not upstream.ready and upstream.last_failure is not None:
                return upstream.last_failure._replace(sent=False)
        return NO_UPSTREAM

    def _hedge(self, ask: PendingShard) -> None:
        """Move or hedge a shard that is late, or look again later."""
        target = self._choose(ask, fresh_only=True)
        if target is None:
            return
        hedging = self._policies.hedging
        if not any(job.sent for job in ask.jobs) and hedging.moves(target):
            reason = ask.jobs[0].reason
            self._cancel(ask)
            self._submit(ask, target, reason)
        elif not self._isolated(ask) and hedging.allow(self._rank, target):
            log_message(message_type="sub_query_hedged", shard=ask.name, peer=target.address)
            self._submit(ask, target, "hedge")
        else:
            ask.wait *= 2
            self._asks.schedule(ask, DueAction.HEDGE, self._now() + ask.wait)

    def _isolated(self, ask: PendingShard) -> bool:
        return self._policies.quarantine.isolates(self._run(ask.name), self._now())

    def _settle(self, result: JobResult) -> None:
        ask = self._asks.get(result.job.sub.shard)
        if ask is None or result.job not in ask.jobs:
            return
        ask.jobs.remove(result.job)
        if result.answer is not None:
            self._accept(ask, result.job, result.answer)
        elif result.failure is not None:
            self._failed(ask, result.failure)

    def _accept(self, ask: PendingShard, job: Job, answer: ShardAnswer) -> None:
        self._record_time(job)
        self._answers[ask.name] = answer
        self._cancel(ask)
        self._asks.settle(ask)

    def _failed(self, ask: PendingShard, failure: Failure) -> None:
        self._failures[ask.name] = failure
        log_message(
            message_type="sub_query_failed",
            shard=ask.name,
            step=failure.step.value,
            peer=failure.peer,
            reason=failure.reason,
        )
        if ask.jobs:
            return
        if failure.code is FailureCode.LOST and self._testing and self._untested(ask):
            del self._failures[ask.name]
            self._asks.settle(ask)
            self._lost.append(ask)
            return
        self._retry(ask, failure)

    def _untested(self, ask: PendingShard) -> bool:
        return self._policies.quarantine.untested(self._run(ask.name), self._now())

    def _retry(self, ask: PendingShard, failure: Failure) -> None:
        now = self._now()
        usable = self._usable(ask.name, now)
        fresh = any(upstream.address not in ask.tried for upstream in usable)
        prospect = Prospect(fresh, self._hopeless(ask))
        plan = self._policies.retrying.plan(
            ask.tries, failure, prospect, now, self._request.deadline
        )
        if plan is None:
            self._give_up(ask, failure)
            return
        ask.other_only = plan.other_only
        self._asks.schedule(ask, DueAction.RETRY, now + plan.delay)

    def _hopeless(self, ask: PendingShard) -> bool:
        """Return whether no upstream of a shard is expected to take work soon."""
        candidates = self._upstreams.candidates(self._map.shards[ask.name])
        return all(upstream.hopeless for upstream in candidates)

    def _give_up(self, ask: PendingShard, failure: Failure) -> None:
        self._failures[ask.name] = failure
        self._asks.settle(ask)

    def _cancel(self, ask: PendingShard) -> None:
        for job in ask.jobs:
            self._record_time(job)
            upstream = self._upstreams.get(job.address)
            if upstream is not None:
                upstream.cancel(job)
        ask.jobs.clear()

    def _cancel_rest(self) -> None:
        for ask in self._asks:
            self._cancel(ask)

    def _record_time(self, job: Job) -> None:
        upstream = self._upstreams.get(job.address)
        if upstream is not None:
            seconds = self._now() - job.queued_at
            self._policies.hedging.record_latency(self._rank, upstream, seconds)

    def _run(self, name: str) -> QueryRun:
        return QueryRun(self._digest, self._map.snapshot, name)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _hits_of(self, name: str) -> tuple:
        answer = self._answers.get(name)
        return answer.hits if answer else ()
