"""The tries of one request at the replicas of one service: first, hedge, retry."""

import asyncio
from typing import NamedTuple

from auburncart.coordination.forwarding.budget import RetryBudget
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.quarantine import RequestQuarantine
from auburncart.coordination.forwarding.replica import Job, JobResult, ReplicaPool
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.selection import ReplicaSelection
from auburncart.coordination.mailbox import Mailbox
from auburncart.state.event import Hedged, Retried, TryFailed
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.forward import ForwardRequest, Reply

__all__ = ["HEDGE_SHARE", "NO_REPLICA", "Attempts", "Outcome", "Plan", "ForwardingContext"]

HEDGE_SHARE = 0.45  # of the latency target: leaves a second replica as much time again
MAX_UNSENT_ATTEMPTS = 4  # tries that no replica saw, after which connecting is given up
NO_REPLICA = Failure(Step.ROUTE, "", "no replica may be asked", FailureCode.UNREACHABLE, False)
ILL = range(500, 600)


class Plan(NamedTuple):
    """How a request may be tried.

    :param service: service whose replicas are asked.
    :param priority: rank, 0 the most urgent.
    :param idempotent: whether it may run more than once.
    :param most_attempts: most replicas to which it is sent.
    :param hedge_delay: seconds after which a second replica is asked.
    :param until: loop time in seconds at which to give up.
    """

    service: str
    priority: int
    idempotent: bool
    most_attempts: int
    hedge_delay: float
    until: float


class Outcome(NamedTuple):
    """How the tries ended.

    :param reply: the reply to use, a replica's failure included; None if there is none.
    :param failure: why there is no reply.
    :param may_have_run: whether any try may have been run without a reply that settles it.
    :param tries: number of tries that were sent.
    """

    reply: Reply | None
    failure: Failure | None
    may_have_run: bool
    tries: int


class ForwardingContext(NamedTuple):
    """What the forwarding code works with: replicas, their selection, retry budget, log."""

    registry: ReplicaRegistry
    selection: ReplicaSelection
    budget: RetryBudget
    quarantine: RequestQuarantine
    journal: Journal


class Attempts:
    """Tries one request until a replica has answered it; :meth:`run` is called once.

    :param request: the request.
    :param plan: how it may be tried.
    :param context: the collaborators of the forwarding code.
    """

    def __init__(self, request: ForwardRequest, plan: Plan, context: ForwardingContext) -> None:
        self._request = request
        self._plan = plan
        self._context = context
        self._mailbox: Mailbox[JobResult] = Mailbox()
        self._open: list[Job] = []
        self._tried: list[ReplicaPool] = []
        self._tries = 0
        self._unsent = 0
        self._may_have_run = False
        self._last_reply: Reply | None = None
        self._last_failure: Failure = NO_REPLICA
        self._hedge_at = float("inf")

    async def run(self) -> Outcome:
        """Return the first good reply, or what is known when there will be none."""
        self._start("first")
        try:
            while self._open:
                until = min(self._plan.until, self._hedge_at)
                for result in await self._mailbox.take(until):
                    reply = self._settle(result)
                    if reply is not None:
                        return Outcome(reply, None, False, self._tries)
                now = asyncio.get_running_loop().time()
                if now >= self._plan.until:
                    return self._timed_out()
                if now >= self._hedge_at:
                    self._hedge()
            return Outcome(self._last_reply, self._last_failure, self._may_have_run, self._tries)
        finally:
            for job in self._open:
                job.abandon()

    def _start(self, reason: str) -> bool:
        """Give the request to a replica; False if there is none."""
        candidates = self._context.registry.candidates(self._plan.service)
        pool = self._context.selection.pick(candidates, self._tried)
        if pool is None and reason != "hedge" and self._unsent:
            pool = self._context.selection.pick(candidates, ())
        if pool is None:
            return False
        self._tried.append(pool)
        self._tries += 1
        job = Job(self._request, self._plan.priority, not self._plan.idempotent, self._mailbox.post)
        job.reason = reason
        self._open.append(job)
        pool.submit(job)
        hedges = self._plan.idempotent and self._may_try_again()
        now = asyncio.get_running_loop().time()
        self._hedge_at = now + self._plan.hedge_delay if hedges else float("inf")
        return True

    def _may_try_again(self) -> bool:
        return self._tries < self._plan.most_attempts

    def _hedge(self) -> None:
        self._hedge_at = float("inf")
        first = self._open[0]
        address = first.pool.registration.address if first.pool else ""
        allowed = self._context.budget.spend(self._plan.service)
        started = allowed and self._start("hedge")
        self._context.journal.record(
            Hedged(
                self._request.request_id,
                self._plan.service,
                address,
                self._plan.hedge_delay,
                self._context.budget.remaining(self._plan.service),
                started,
            )
        )

    def _settle(self, result: JobResult) -> Reply | None:
        """Take in how a try ended; return its reply if it settles the request."""
        job, reply, failure = result
        self._open.remove(job)
        assert job.pool is not None
        if reply is not None:
            if not reply.not_run and reply.status not in ILL:
                job.pool.record_success()
                return reply
            failure = self._record_ill(job, reply)
        assert failure is not None
        self._last_failure = failure
        self._context.journal.record(
            TryFailed(
                self._request.request_id,
                self._plan.service,
                failure.peer,
                failure.code.value,
                failure.reason,
                failure.sent,
                asyncio.get_running_loop().time() - job.queued_at,
            )
        )
        if failure.code is FailureCode.LOST:
            self._context.quarantine.record_loss(self._request, job.pool)
        if not failure.sent:
            self._tries -= 1
            self._unsent += 1
        elif not (reply is not None and reply.not_run):
            self._may_have_run = True
        if not self._open:
            self._retry(failure, reply)
        return None

    def _record_ill(self, job: Job, reply: Reply) -> Failure:
        """Take in a reply that is a replica's failure or refusal."""
        assert job.pool is not None
        address = job.pool.registration.address
        if reply.not_run:
            if reply.moved:
                self._context.registry.disown(job.pool, reply.instance)
                reason = f"the address now belongs to {reply.instance or 'another replica'}"
                return Failure(Step.REPLY, address, reason, FailureCode.MOVED, True)
            job.pool.record_failure()
            reason = f"status {reply.status}, not run"
            return Failure(Step.REPLY, address, reason, FailureCode.SHED, True)
        self._last_reply = reply
        job.pool.record_failure()
        return Failure(Step.REPLY, address, f"status {reply.status}", FailureCode.REFUSED, True)

    def _retry(self, failure: Failure, reply: Reply | None) -> None:
        safe = self._plan.idempotent or not self._may_have_run
        if not safe or not self._may_try_again() or self._unsent >= MAX_UNSENT_ATTEMPTS:
            return
        # A try that no replica saw is not an arrival, so that it needs no budget.
        allowed = not failure.sent or self._context.budget.spend(self._plan.service)
        started = allowed and self._start("retry")
        self._context.journal.record(
            Retried(
                self._request.request_id,
                self._plan.service,
                failure.code.value,
                self._context.budget.remaining(self._plan.service),
                started,
            )
        )

    def _timed_out(self) -> Outcome:
        waiting = [job for job in self._open if job.sent]
        peers = " ".join(job.pool.registration.address for job in waiting if job.pool)
        sent = bool(waiting) or self._may_have_run
        reason = "no reply in time" if waiting else "not taken up in time"
        failure = Failure(Step.REPLY, peers, reason, FailureCode.TIMED_OUT, sent)
        return Outcome(self._last_reply, failure, sent, self._tries)
