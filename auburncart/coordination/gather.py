"""One search's fan-out: asks every shard and gathers the answers until the deadline."""

import asyncio
import itertools
from collections.abc import Callable

from eliot import log_message

from auburncart.coordination.job import Job, JobResult
from auburncart.coordination.mailbox import Mailbox
from auburncart.coordination.pending_shards import DueAction, PendingShard, PendingShards
from auburncart.coordination.policies import Policies
from auburncart.coordination.retry import ReplicaAvailability
from auburncart.coordination.upstream import Upstream
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.query import QueryRun, query_digest
from auburncart.state.search import SearchAnswer, SearchRequest, ShardAnswer, SubQuery, coverage_of
from auburncart.state.shards import ShardMap
from auburncart.state.work import Rank

__all__ = ["Gather"]

_sub_numbers = itertools.count(1)

MAX_CANARIES = 2
CANARY_SECONDS = 0.03
QUARANTINED = Failure(
    Step.ROUTE,
    "",
    "not sent: upstreams were lost while they ran this query",
    FailureCode.QUARANTINED,
    False,
)
UNTESTED = Failure(Step.ROUTE, "", "not sent: no canary was answered", FailureCode.TIMED_OUT, False)
NO_UPSTREAM = Failure(Step.ROUTE, "", "no upstream available", FailureCode.UNREACHABLE, False)


def _ignore_progress(remaining: int) -> None:
    """Do nothing."""


def _never() -> bool:
    return False


class Gather:
    """One search on one pinned snapshot; :meth:`run` is called once.

    A query that quarantine calls untested is first sent to a few shards as a canary; the other
    shards are asked once one of these has answered.

    :param request: the search.
    :param shard_map: the pinned snapshot with its shards.
    :param names: names of the shards to ask.
    :param rank: rank of the search.
    :param progress: called with the number of pending shards after each step.
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
        self._pending = PendingShards()
        self._lost_canaries: list[PendingShard] = []
        self._sending_canaries = False
        self._step_time = 0.0
        self._answers: dict[str, ShardAnswer] = {}
        self._failures: dict[str, Failure] = {}

    @property
    def retired(self) -> bool:
        """Whether a shard has no answer because upstreams no longer have it or its snapshot."""
        codes = {
            failure.code
            for name, failure in self._failures.items()
            if name not in self._answers and name not in self._pending
        }
        return bool(codes & {FailureCode.RETIRED, FailureCode.MOVED})

    async def run(self) -> SearchAnswer:
        """Ask all shards and return what arrived before the deadline."""
        try:
            await self._run_canaries()
            self._ask_remaining()
            self._progress(len(self._pending))
            while self._pending and await self._step(self._request.deadline):
                self._progress(len(self._pending))
                if self.retired and self._abandons():
                    break
        finally:
            self._cancel_pending()
        hits = tuple(hit for name in self._names for hit in self._hits_of(name))
        coverage = coverage_of(self._names, self._answers, self._failures)
        return SearchAnswer(self._request.request_id, self._map.snapshot, hits, coverage)

    async def _run_canaries(self) -> None:
        """Wait until one shard has answered, if the query is untested."""
        quarantine = self._policies.quarantine
        query_run = self._query_run(self._names[0])
        if not quarantine.untested(query_run, self._now()):
            return
        if await quarantine.begin_trial(query_run, self._request.deadline):
            self._sending_canaries = True
            try:
                await self._send_canaries(query_run)
            finally:
                self._sending_canaries = False
                quarantine.end_trial(query_run)

    async def _send_canaries(self, query_run: QueryRun) -> None:
        quarantine = self._policies.quarantine
        unsent = [PendingShard(name) for name in sorted(set(self._names), key=self._canary_order)]
        next_at = self._step_time = self._now()
        before_deadline = True
        while before_deadline and quarantine.untested(query_run, self._step_time):
            if quarantine.refuses(query_run, self._step_time):
                await asyncio.sleep(self._report_seconds(query_run))
                return
            if not (unsent or self._pending):
                return
            if unsent and self._step_time >= next_at and self._may_send_canary(query_run):
                shard = unsent.pop(0)
                self._start(shard)
                next_at = self._now() + self._canary_seconds(shard)
            pending_before = len(self._pending)
            until = (
                next_at if unsent and self._may_send_canary(query_run) else self._request.deadline
            )
            before_deadline = await self._step(until)
            if self._lost_canaries:
                unsent += self._lost_canaries
                self._lost_canaries.clear()
                next_at = self._step_time + quarantine.retry_delay(query_run, self._step_time)
            elif len(self._pending) < pending_before:
                next_at = self._step_time

    def _report_seconds(self, query_run: QueryRun) -> float:
        """Return seconds until other VMs know of a loss, since the caller may ask them next."""
        left = self._request.deadline - self._now()
        return max(0.0, min(left, self._policies.quarantine.retry_delay(query_run, self._now())))

    def _may_send_canary(self, query_run: QueryRun) -> bool:
        suspect = self._policies.quarantine.retry_delay(query_run, self._step_time) > 0
        return len(self._pending) < (1 if suspect else MAX_CANARIES)

    def _canary_order(self, name: str) -> str:
        """Return a sort key by which all VMs send a query's canaries to the same shards."""
        return query_digest(self._digest, name)

    def _canary_seconds(self, shard: PendingShard) -> float:
        """Return seconds after which another shard gets the query as a canary too.

        That costs no extra load, since that shard has to be asked anyway.
        """
        candidates = self._upstreams.candidates(self._map.shards[shard.name])
        latencies = [upstream.latency for upstream in candidates if upstream.latency]
        return min(latencies, default=CANARY_SECONDS)

    def _ask_remaining(self) -> None:
        query_run = self._query_run(self._names[0])
        tested = not self._policies.quarantine.untested(query_run, self._now())
        refused = self._policies.quarantine.refuses(query_run, self._now())
        self._schedule_canary_hedges()
        for name in self._names:
            if name in self._pending or name in self._answers or name in self._failures:
                continue
            if tested or refused:
                self._start(PendingShard(name))
            else:
                self._failures[name] = UNTESTED

    def _schedule_canary_hedges(self) -> None:
        """Schedule hedges for pending canaries, which could not be hedged before."""
        for shard in self._pending:
            if shard.due is DueAction.HEDGE and shard.hedge_wait and shard.jobs:
                hedge_at = shard.jobs[0].queued_at + self._hedge_delay(shard)
                self._pending.schedule(shard, DueAction.HEDGE, max(self._now(), hedge_at))

    def _hedge_delay(self, shard: PendingShard) -> float:
        upstream = self._upstreams.get(shard.jobs[0].address)
        delay = self._policies.hedging.delay(self._rank, upstream) if upstream else None
        return shard.hedge_wait if delay is None else delay

    async def _step(self, until: float) -> bool:
        """Wait for results or the next scheduled action, and process what is due.

        :param until: loop time in seconds at which to stop waiting.
        :return: whether the deadline lies ahead.
        """
        at = min(until, self._request.deadline, self._pending.next_time())
        results = await self._mailbox.take(at)
        for result in results:
            self._process(result)
        # The loop may wake a task up to its clock's resolution before the time asked for.
        now = self._step_time = self._now() if results else max(at, self._now())
        for shard in self._pending.take_due(now):
            if shard.due is DueAction.RETRY:
                self._send(shard, "retry")
            else:
                self._hedge(shard)
        return now < self._request.deadline

    def _start(self, shard: PendingShard) -> None:
        self._policies.hedging.record_sent(1)
        self._policies.retrying.record_sent(1)
        self._pending.add(shard)
        self._send(shard, "first" if shard.attempts == 0 else "retry")

    def _send(self, shard: PendingShard, reason: str) -> None:
        now = self._now()
        if self._policies.quarantine.refuses(self._query_run(shard.name), now):
            self._give_up(shard, QUARANTINED)
            return
        upstream = self._choose(shard, shard.untried_only)
        shard.attempts += 1
        if upstream is None:
            self._failed(shard, self._no_upstream(shard))
        else:
            self._submit(shard, upstream, reason)

    def _submit(self, shard: PendingShard, upstream: Upstream, reason: str) -> None:
        sub_query = SubQuery(
            f"{self._request.request_id}.{next(_sub_numbers)}",
            shard.name,
            self._map.snapshot,
            self._request.kind,
            self._request.query,
            self._request.deadline,
        )
        job = Job(
            sub_query,
            self._rank,
            reason,
            self._mailbox,
            upstream.address,
            self._query_run(shard.name),
        )
        shard.tried.add(upstream.address)
        shard.jobs.append(job)
        delay = self._policies.hedging.delay(self._rank, upstream)
        if delay is not None:
            shard.hedge_wait = delay
            self._pending.schedule(shard, DueAction.HEDGE, self._now() + delay)
        upstream.submit(job)

    def _choose(self, shard: PendingShard, untried_only: bool) -> Upstream | None:
        now, deadline = self._now(), self._request.deadline
        candidates = self._usable(shard.name, now)
        untried = [upstream for upstream in candidates if upstream.address not in shard.tried]
        chosen = self._policies.choice.choose(untried, now, deadline) if untried else None
        if chosen is None and not untried_only and candidates:
            chosen = self._policies.choice.choose(candidates, now, deadline)
        return chosen

    def _usable(self, name: str, now: float) -> list[Upstream]:
        candidates = self._upstreams.candidates(self._map.shards[name])
        ready = [upstream for upstream in candidates if upstream.ready]
        usable = self._policies.draining.usable(ready, now)
        return [upstream for upstream in usable if not upstream.paused] or usable

    def _no_upstream(self, shard: PendingShard) -> Failure:
        """Return why no upstream of a shard can be asked now."""
        if shard.name in self._failures:
            return self._failures[shard.name]._replace(sent=False)
        for upstream in self._upstreams.candidates(self._map.shards[shard.name]):
            if not upstream.ready and upstream.last_failure is not None:
                return upstream.last_failure._replace(sent=False)
        return NO_UPSTREAM

    def _hedge(self, shard: PendingShard) -> None:
        """Move or hedge a late shard if the policy allows it; else schedule another check."""
        target = self._choose(shard, untried_only=True)
        if target is None:
            return
        hedging = self._policies.hedging
        if not any(job.sent for job in shard.jobs) and hedging.allows_move(target):
            reason = shard.jobs[0].reason
            self._cancel(shard)
            self._submit(shard, target, reason)
        elif not self._isolated(shard) and hedging.allow(self._rank, target):
            log_message(message_type="sub_query_hedged", shard=shard.name, peer=target.address)
            self._submit(shard, target, "hedge")
        else:
            shard.hedge_wait *= 2
            self._pending.schedule(shard, DueAction.HEDGE, self._now() + shard.hedge_wait)

    def _isolated(self, shard: PendingShard) -> bool:
        return self._policies.quarantine.isolates(self._query_run(shard.name), self._now())

    def _process(self, result: JobResult) -> None:
        shard = self._pending.get(result.job.sub_query.shard)
        if shard is None or result.job not in shard.jobs:
            return
        shard.jobs.remove(result.job)
        if result.answer is not None:
            self._accept(shard, result.job, result.answer)
        elif result.failure is not None:
            self._failed(shard, result.failure)

    def _accept(self, shard: PendingShard, job: Job, answer: ShardAnswer) -> None:
        self._record_latency(job)
        self._answers[shard.name] = answer
        self._cancel(shard)
        self._pending.remove(shard)

    def _failed(self, shard: PendingShard, failure: Failure) -> None:
        self._failures[shard.name] = failure
        log_message(
            message_type="sub_query_failed",
            shard=shard.name,
            step=failure.step.value,
            peer=failure.peer,
            reason=failure.reason,
        )
        if shard.jobs:
            return
        if failure.code is FailureCode.LOST and self._sending_canaries and self._untested(shard):
            del self._failures[shard.name]
            self._pending.remove(shard)
            self._lost_canaries.append(shard)
            return
        self._retry(shard, failure)

    def _untested(self, shard: PendingShard) -> bool:
        return self._policies.quarantine.untested(self._query_run(shard.name), self._now())

    def _retry(self, shard: PendingShard, failure: Failure) -> None:
        now = self._now()
        usable = self._usable(shard.name, now)
        untried = any(upstream.address not in shard.tried for upstream in usable)
        availability = ReplicaAvailability(untried, self._all_unavailable(shard))
        plan = self._policies.retrying.plan(
            shard.attempts, failure, availability, now, self._request.deadline
        )
        if plan is None:
            self._give_up(shard, failure)
            return
        shard.untried_only = plan.untried_only
        self._pending.schedule(shard, DueAction.RETRY, now + plan.delay)

    def _all_unavailable(self, shard: PendingShard) -> bool:
        """Return whether no upstream of a shard is expected to take work soon."""
        candidates = self._upstreams.candidates(self._map.shards[shard.name])
        return all(upstream.unavailable for upstream in candidates)

    def _give_up(self, shard: PendingShard, failure: Failure) -> None:
        self._failures[shard.name] = failure
        self._pending.remove(shard)

    def _cancel(self, shard: PendingShard) -> None:
        for job in shard.jobs:
            self._record_latency(job)
            upstream = self._upstreams.get(job.address)
            if upstream is not None:
                upstream.cancel(job)
        shard.jobs.clear()

    def _cancel_pending(self) -> None:
        for shard in self._pending:
            self._cancel(shard)

    def _record_latency(self, job: Job) -> None:
        upstream = self._upstreams.get(job.address)
        if upstream is not None:
            seconds = self._now() - job.queued_at
            self._policies.hedging.record_latency(self._rank, upstream, seconds)

    def _query_run(self, name: str) -> QueryRun:
        return QueryRun(self._digest, self._map.snapshot, name)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _hits_of(self, name: str) -> tuple:
        answer = self._answers.get(name)
        return answer.hits if answer else ()
