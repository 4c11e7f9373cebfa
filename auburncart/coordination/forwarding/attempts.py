"""The attempts of one request at the replicas of one service: first, hedged and retried."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from auburncart.coordination.forwarding.budget import RetryBudget
from auburncart.coordination.forwarding.choice import ReplicaSelection
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.quarantine import RequestQuarantine
from auburncart.coordination.forwarding.replica import Attempt, AttemptResult, ReplicaConnectionPool
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.mailbox import Mailbox
from auburncart.state.event import Hedged, Retried, TryFailed
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.forward import ForwardRequest, Reply

__all__ = [
    "HEDGE_DELAY_SHARE",
    "LIMITED",
    "NO_REPLICA",
    "QUARANTINED",
    "AttemptPolicy",
    "Attempts",
    "ForwardingContext",
    "Outcome",
]

HEDGE_DELAY_SHARE = 0.45  # of the latency target; leaves the second replica as much time
# A hedge is sent earlier if the other replica would reply too late, but not before the first one
# has taken some times longer than expected, and not from the reserve of the budget.
MIN_HEDGE_LATENCIES = 2.5
MAX_UNSENT_ATTEMPTS = 4  # attempts that reached no replica, after which no more are made
NO_REPLICA = Failure(Step.ROUTE, "", "no replica may be asked", FailureCode.UNREACHABLE, False)
LIMITED = Failure(
    Step.ROUTE, "", "the replicas take no more requests in time", FailureCode.SHED, False
)
QUARANTINED = Failure(
    Step.ROUTE,
    "",
    "replicas crashed each time they ran this request",
    FailureCode.QUARANTINED,
    False,
)
SERVER_ERRORS = range(500, 600)


class AttemptPolicy(NamedTuple):
    """How a request may be sent to replicas.

    :param service: service whose replicas are asked.
    :param priority: rank, 0 the most urgent.
    :param idempotent: whether the request may run more than once.
    :param max_attempts: maximum number of replicas to which it is sent.
    :param hedge_delay: seconds after which a second replica is asked.
    :param until: loop time in seconds at which to give up.
    :param send_by: loop time in seconds until which the first attempt may wait for a replica that
        limits its requests.
    :param reply_by: loop time in seconds until which a reply is of use to a merged answer.
    :param is_part: whether other services run the request as well.
    """

    service: str
    priority: int
    idempotent: bool
    max_attempts: int
    hedge_delay: float
    until: float
    send_by: float = 0.0
    reply_by: float = float("inf")
    is_part: bool = False


class Outcome(NamedTuple):
    """The result of all attempts.

    :param reply: the reply to use, which may be an error of the replica; None if there is none.
    :param failure: why there is no good reply.
    :param may_have_run: whether a replica may have run the request without sending a good reply.
    :param attempts: number of attempts that were sent.
    """

    reply: Reply | None
    failure: Failure | None
    may_have_run: bool
    attempts: int


class ForwardingContext(NamedTuple):
    """What the forwarding code works with: replicas, their selection, retry budget, log."""

    registry: ReplicaRegistry
    selection: ReplicaSelection
    budget: RetryBudget
    quarantine: RequestQuarantine
    journal: Journal


class Attempts:
    """Sends one request to replicas until one has answered; :meth:`run` is called once.

    :param request: the request.
    :param policy: how the request may be sent.
    :param context: the collaborators of the forwarding code.
    """

    def __init__(
        self, request: ForwardRequest, policy: AttemptPolicy, context: ForwardingContext
    ) -> None:
        self._request = request
        self._policy = policy
        self._context = context
        self._mailbox: Mailbox[AttemptResult] = Mailbox()
        self._pending: list[Attempt] = []
        self._tried: list[ReplicaConnectionPool] = []
        self._attempts = 0
        self._unsent = 0
        self._may_have_run = False
        self._last_reply: Reply | None = None
        self._last_failure: Failure = NO_REPLICA
        self._max_attempts = policy.max_attempts
        self._hedge_at = float("inf")
        self._regular_hedge_at = float("inf")

    async def run(self) -> Outcome:
        """Return the first good reply, or why there is none."""
        quarantine = self._context.quarantine
        if quarantine.retry_delay(self._request) > 0.0:
            return Outcome(None, QUARANTINED, False, 0)
        if quarantine.on_trial(self._request):
            self._max_attempts = 1
        pool = self._pick("first")
        if pool is not None:
            self._send(pool, "first")
        try:
            while self._pending:
                until = min(self._policy.until, self._hedge_at)
                for result in await self._mailbox.take(until):
                    reply = self._handle_result(result)
                    if reply is not None:
                        quarantine.record_answer(self._request, is_part=self._policy.is_part)
                        return Outcome(reply, None, False, self._attempts)
                if not self._pending:
                    await self._retry()
                now = asyncio.get_running_loop().time()
                if self._pending and now >= self._policy.until:
                    return self._timed_out()
                if self._pending and now >= self._hedge_at:
                    self._hedge()
            return Outcome(self._last_reply, self._last_failure, self._may_have_run, self._attempts)
        finally:
            for attempt in self._pending:
                attempt.cancel()

    def _pick(self, reason: str) -> ReplicaConnectionPool | None:
        """Return the replica to ask next, None if there is none."""
        registry, priority = self._context.registry, self._policy.priority
        candidates = registry.candidates(self._policy.service)
        now = asyncio.get_running_loop().time()
        # Only the first attempt waits for a limit: an extra one is of use only at once.
        patience = max(0.0, self._policy.send_by - now) if reason == "first" else 0.0
        admitted = [pool for pool in candidates if pool.send_delay(priority) <= patience]
        if candidates and not admitted and reason == "first":
            self._last_failure = LIMITED
        pool = self._context.selection.pick(admitted, self._tried, priority)
        if pool is None and reason != "hedge" and self._unsent:
            pool = self._context.selection.pick(admitted, (), priority)
        return pool

    def _send(self, pool: ReplicaConnectionPool, reason: str) -> None:
        """Queue the request for a replica, and set the time of a hedge."""
        attempt = Attempt(
            self._request,
            self._policy.priority,
            fresh=not self._policy.idempotent,
            resent=pool in self._tried,
            on_finish=self._mailbox.post,
        )
        expected = self._context.selection.expected_reply_time(pool)
        self._tried.append(pool)
        self._attempts += 1
        attempt.reason = reason
        self._pending.append(attempt)
        pool.submit(attempt)
        self._hedge_at = self._regular_hedge_at = float("inf")
        if self._policy.idempotent and self._attempts_left():
            candidates = self._context.registry.candidates(self._policy.service)
            self._schedule_hedge(expected, candidates)

    def _schedule_hedge(self, expected: float, candidates: Sequence[ReplicaConnectionPool]) -> None:
        """Set the time at which to ask another replica.

        :param expected: seconds after which the replica just asked was expected to reply.
        """
        now = asyncio.get_running_loop().time()
        self._hedge_at = self._regular_hedge_at = now + self._policy.hedge_delay
        other = self._context.selection.pick(candidates, self._tried)
        # A VM that asks again for a lost helper must know when that may have hedged, unless there
        # are no more replicas than may be asked.
        if other is not None and len(candidates) <= self._policy.max_attempts:
            last = self._policy.reply_by - self._context.selection.expected_reply_time(other)
            earliest = now + MIN_HEDGE_LATENCIES * expected
            self._hedge_at = min(self._regular_hedge_at, max(last, earliest))

    def _attempts_left(self) -> bool:
        return self._attempts < self._max_attempts

    def _hedge(self) -> None:
        if self._context.quarantine.suspects(self._request):
            self._hedge_at = float("inf")
            return
        budget, service = self._context.budget, self._policy.service
        early = self._hedge_at < self._regular_hedge_at
        if early and budget.remaining(service) < 1.0 + budget.reserve(service):
            self._hedge_at = self._regular_hedge_at
            return
        self._hedge_at = float("inf")
        first = self._pending[0]
        address = first.pool.registration.address if first.pool else ""
        delay = asyncio.get_running_loop().time() - first.queued_at
        pool = self._pick("hedge")
        started = pool is not None and budget.spend(service)
        if pool is not None and started:
            self._send(pool, "hedge")
        remaining = budget.remaining(service)
        self._context.journal.record(
            Hedged(self._request.request_id, service, address, delay, remaining, started)
        )

    def _handle_result(self, result: AttemptResult) -> Reply | None:
        """Record the result of an attempt; return its reply if it is a good one."""
        attempt, reply, failure = result
        self._pending.remove(attempt)
        assert attempt.pool is not None
        if reply is not None:
            if not reply.not_run and reply.status not in SERVER_ERRORS:
                attempt.pool.record_success()
                return reply
            failure = self._record_error(attempt, reply)
        assert failure is not None
        self._last_failure = failure
        self._context.journal.record(
            TryFailed(
                self._request.request_id,
                self._policy.service,
                failure.peer,
                failure.code.value,
                failure.reason,
                failure.sent,
                asyncio.get_running_loop().time() - attempt.queued_at,
            )
        )
        if failure.code is FailureCode.LOST:
            self._context.quarantine.record_loss(self._request, attempt.pool)
        if not failure.sent:
            self._attempts -= 1
            self._unsent += 1
        elif not (reply is not None and reply.not_run):
            self._may_have_run = True
        return None

    def _record_error(self, attempt: Attempt, reply: Reply) -> Failure:
        """Record a reply that is an error or a refusal, and return it as a failure."""
        assert attempt.pool is not None
        address = attempt.pool.registration.address
        if reply.not_run:
            if reply.moved:
                self._context.registry.retire_moved(attempt.pool, reply.instance)
                reason = f"the address now belongs to {reply.instance or 'another replica'}"
                return Failure(Step.REPLY, address, reason, FailureCode.MOVED, True)
            attempt.pool.record_failure()
            reason = f"status {reply.status}, not run"
            return Failure(Step.REPLY, address, reason, FailureCode.SHED, True)
        self._last_reply = reply
        self._context.quarantine.record_error(self._request)
        attempt.pool.record_failure()
        return Failure(Step.REPLY, address, f"status {reply.status}", FailureCode.REFUSED, True)

    async def _retry(self) -> None:
        """Send the request again after the last attempt has failed, if that is allowed."""
        failure = self._last_failure
        may_rerun = self._policy.idempotent or not self._may_have_run
        if not may_rerun or not self._attempts_left() or self._unsent >= MAX_UNSENT_ATTEMPTS:
            return
        if failure.code is FailureCode.LOST:
            await self._context.quarantine.settle(self._request)
            if asyncio.get_running_loop().time() >= self._policy.until:
                return
        # An attempt that reached no replica adds no load, so replacing it needs no budget.
        pool = None
        if self._context.quarantine.retry_delay(self._request) == 0.0:
            pool = self._pick("retry")
        budget = self._context.budget
        started = pool is not None and (not failure.sent or budget.spend(self._policy.service))
        if pool is not None and started:
            self._send(pool, "retry")
        self._context.journal.record(
            Retried(
                self._request.request_id,
                self._policy.service,
                failure.code.value,
                budget.remaining(self._policy.service),
                started,
            )
        )

    def _timed_out(self) -> Outcome:
        waiting = [attempt for attempt in self._pending if attempt.sent]
        peers = " ".join(attempt.pool.registration.address for attempt in waiting if attempt.pool)
        sent = bool(waiting) or self._may_have_run
        for attempt in waiting:
            if attempt.pool is not None and attempt.pool.replied_at < attempt.sent_at:
                self._context.quarantine.record_loss(self._request, attempt.pool, silent=True)
        reason = "no reply in time" if waiting else "not sent to a replica in time"
        failure = Failure(Step.REPLY, peers, reason, FailureCode.TIMED_OUT, sent)
        return Outcome(self._last_reply, failure, sent, self._attempts)
