"""One upstream as this VM sees it: its queue and its connections."""

import asyncio
import functools
import itertools
from collections import deque
from collections.abc import Callable

from eliot import write_traceback

from auburncart.coordination.batching import Batching
from auburncart.coordination.completion import RequestCompletion, fail_all
from auburncart.coordination.connection_limit import ConnectionLimit
from auburncart.coordination.connections import ConnectionPool, Operation, OperationSource
from auburncart.coordination.exchange import send_batch, send_order
from auburncart.coordination.health import UpstreamHealth, failure_of
from auburncart.coordination.in_flight import InFlightLimit, UnlimitedInFlight
from auburncart.coordination.interfaces import UpstreamConnection, UpstreamDialer
from auburncart.coordination.job import Job, OrderJob
from auburncart.coordination.jobqueue import JobQueue
from auburncart.coordination.observer import Observer
from auburncart.coordination.quarantine import Quarantine
from auburncart.coordination.redial import ImmediateRedialing, Redialing
from auburncart.exception import UpstreamError
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.shards import Replica
from auburncart.state.upstream import (
    Batch,
    BatchReply,
    OrderReply,
    UpstreamCondition,
    UpstreamOrder,
)

__all__ = ["Upstream"]

OUTAGE_SECONDS = 1.0  # time for which searches wait for an upstream that refuses connections
LONG_PAUSE_SECONDS = 0.1  # an upstream paused for longer fails its jobs at once
RESUME_MARGIN_SECONDS = 0.001
_request_numbers = itertools.count(1)


class Upstream(OperationSource):
    """The queue of one upstream, served by one task for each connection.

    Cancellations and orders use the same connections as searches.

    :param replica: what the shard map says of it.
    :param local: whether it is in this VM's data centre.
    :param name: name of this VM, with which its request identifiers begin.
    :param dialer: opens connections.
    :param batching: chooses the size of a batch.
    :param limit: this VM's share of the upstream's connections.
    :param quarantine: tells which jobs must be sent alone.
    :param observer: told of connections and sub-queries.
    :param in_flight_limit: bounds the requests in flight.
    :param redialing: spaces the dials after a failed one.
    :param on_draining: called when the upstream begins to report that it drains.
    """

    def __init__(
        self,
        replica: Replica,
        *,
        local: bool,
        name: str,
        dialer: UpstreamDialer,
        batching: Batching,
        limit: ConnectionLimit,
        quarantine: Quarantine,
        observer: Observer,
        in_flight_limit: InFlightLimit | None = None,
        redialing: Redialing | None = None,
        on_draining: Callable[["Upstream"], None] | None = None,
    ) -> None:
        self._replica = replica
        self._local = local
        self._name = name
        self._limit = limit
        self._observer = observer
        self._in_flight_limit = in_flight_limit or UnlimitedInFlight(replica)
        self._on_draining = on_draining
        self._health = UpstreamHealth()
        self._completion = RequestCompletion(
            replica.address, self._health, self._in_flight_limit, quarantine
        )
        self._queue = JobQueue(replica, batching, quarantine)
        self._orders: deque[OrderJob] = deque()
        self._open_orders = 0
        self._cancellations: deque[str] = deque()
        self._requests: dict[str, tuple[Job, ...]] = {}
        self._resume_timer: asyncio.TimerHandle | None = None
        self._pool = ConnectionPool(
            replica, dialer, self._share, redialing or ImmediateRedialing(), self, observer
        )

    @property
    def replica(self) -> Replica:
        """What the shard map says of this upstream."""
        return self._replica

    @property
    def address(self) -> str:
        """``"IP:port"`` of this upstream."""
        return self._replica.address

    @property
    def local(self) -> bool:
        """Whether it is in this VM's data centre."""
        return self._local

    @property
    def waiting(self) -> int:
        """Number of sub-queries in the queue."""
        return len(self._queue)

    @property
    def outstanding(self) -> int:
        """Number of sub-queries and orders that are queued or in flight."""
        sent = sum(len(jobs) for jobs in self._requests.values())
        return self.waiting + sent + self._open_orders

    @property
    def in_flight(self) -> int:
        """Number of search requests in flight."""
        return len(self._requests)

    @property
    def connections(self) -> int:
        """Number of connections held or being opened."""
        return self._pool.connections

    @property
    def latency(self) -> float:
        """Moving average of the time of a request in seconds, 0 before the first."""
        return self._health.latency

    @property
    def failures(self) -> int:
        """Number of requests and dials that failed since the last reply."""
        return self._health.failures

    @property
    def last_failure(self) -> Failure | None:
        """How the last failed request or dial failed."""
        return self._health.last_failure

    @property
    def condition(self) -> UpstreamCondition:
        """Condition that the upstream last reported of itself."""
        return self._health.condition

    @property
    def condition_since(self) -> float:
        """Loop time in seconds at which that condition was first reported."""
        return self._health.condition_since

    @property
    def draining_refusal_at(self) -> float | None:
        """Loop time in seconds at which it last refused work because it drains, or None."""
        return self._health.draining_refusal_at

    @property
    def ready(self) -> bool:
        """Whether a job submitted now can be served; not while it is being redialed."""
        return self._pool.ready

    @property
    def unavailable(self) -> bool:
        """Whether it has been unreachable for a while, or is paused for long because it sheds."""
        now = asyncio.get_running_loop().time()
        since = self._pool.unreachable_since
        unreachable = since is not None and now - since > OUTAGE_SECONDS
        return unreachable or self._paused_for_long()

    @property
    def has_capacity(self) -> bool:
        """Whether a job submitted now starts without waiting for another."""
        now = asyncio.get_running_loop().time()
        max_requests = min(self._share(), self._in_flight_limit.requests(now))
        return self.ready and not self._queue and len(self._requests) < max_requests

    @property
    def paused(self) -> bool:
        """Whether it gets no requests for a short time because it shed."""
        return asyncio.get_running_loop().time() < self._in_flight_limit.resumes_at()

    def submit(self, job: Job) -> None:
        """Put a job into the queue, and wake or open a connection for it."""
        job.queued_at = asyncio.get_running_loop().time()
        if not self.ready:
            job.fail(self._pool.not_ready_failure())
            return
        if self._paused_for_long():
            job.fail(self._paused_failure())
            return
        self._queue.add(job)
        self._pool.serve_pending()

    def cancel(self, job: Job) -> None:
        """Cancel a job; if all jobs of its request are cancelled, tell the upstream.

        The cancellation is sent over a connection that is free or becomes free while the request
        is in flight; no connection is opened beyond this VM's share for it.
        """
        job.cancelled = True
        if self._queue.discard(job):
            return
        jobs = self._requests.get(job.request_id, ())
        if jobs and all(other.cancelled for other in jobs):
            self._cancellations.append(job.request_id)
            self._pool.serve_pending()

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Send an order once, over a new connection within this VM's share.

        :raises UpstreamError: no matching reply before the deadline; ``sent`` tells whether the
            order may have arrived.
        """
        if not self.ready:
            failure = self._pool.not_ready_failure()
            raise UpstreamError(failure.reason, step="connect", peer=self.address, sent=False)
        job = OrderJob(order)
        self._orders.append(job)
        self._pool.serve_pending()
        self._open_orders += 1
        try:
            return await job.reply()
        finally:
            self._open_orders -= 1

    def fail_queued(self, failure: Failure) -> None:
        """Fail all jobs in the queue, so that their searches ask another replica."""
        self._queue.fail_all(failure)

    def probe_while_draining(self) -> None:
        """Dial at intervals without work, until the draining process has ended."""
        self._pool.probe_while_draining(lambda: self.condition is UpstreamCondition.DRAINING)

    def trim_connections(self) -> None:
        """Close idle connections above this VM's share, after the share has changed."""
        self._pool.trim()

    async def close(self) -> None:
        """Close all connections; jobs that are queued or in flight fail."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        await self._pool.close()

    def _share(self) -> int:
        return self._limit.max_connections(self._replica)

    def fail_pending(self, failure: Failure) -> None:
        """Fail all jobs and orders in the queue; none was sent."""
        self._queue.fail_all(failure)
        while self._orders:
            error = UpstreamError(failure.reason, step="connect", peer=self.address, sent=False)
            self._orders.popleft().fail(error)

    def record_dial_failure(self, failure: Failure) -> None:
        """Record that a dial failed."""
        self._health.record_failure(failure, asyncio.get_running_loop().time())

    @property
    def has_pending(self) -> bool:
        """Whether a cancellation, an order or a search request can start now."""
        return bool(self._cancellations or self._orders or self._may_start())

    def _may_start(self) -> bool:
        if not self._queue:
            return False
        now = asyncio.get_running_loop().time()
        if len(self._requests) < self._in_flight_limit.requests(now):
            return self._queue.has_startable(self._isolated_in_flight(), now)
        self._resume_later(now)
        return False

    def _resume_later(self, now: float) -> None:
        at = self._in_flight_limit.resumes_at()
        if self._resume_timer is None and at > now:
            # A timer may fire up to the clock's resolution early.
            at += RESUME_MARGIN_SECONDS
            self._resume_timer = asyncio.get_running_loop().call_at(at, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        self._pool.serve_pending()

    def _isolated_in_flight(self) -> bool:
        return any(jobs[0].isolated for jobs in self._requests.values())

    def next_operation(self) -> Operation:
        """Remove and return a cancellation, else an order, else the jobs of one request."""
        if self._cancellations:
            return functools.partial(self._send_cancellation, self._cancellations.popleft())
        if self._orders:
            return functools.partial(send_order, self._pool, self._orders.popleft())
        now = asyncio.get_running_loop().time()
        return functools.partial(self._send_jobs, self._queue.take(self._isolated_in_flight(), now))

    async def _send_cancellation(
        self, request_id: str, connection: UpstreamConnection
    ) -> UpstreamConnection | None:
        """Tell the upstream that a request is cancelled, if it is still in flight."""
        if request_id not in self._requests:
            return connection
        try:
            await connection.cancel(request_id)
        except UpstreamError:
            await self._pool.drop(connection)
            return None
        return connection

    async def _send_jobs(
        self, jobs: tuple[Job, ...], connection: UpstreamConnection
    ) -> UpstreamConnection | None:
        if not jobs:
            return connection
        batch = self._make_batch(jobs)
        self._requests[batch.request_id] = jobs
        try:
            reply, connection = await send_batch(self._pool, batch, connection)
            self._complete(jobs, reply)
            return connection
        except UpstreamError as error:
            self._fail(jobs, failure_of(error))
        except asyncio.CancelledError:
            fail_all(jobs, Failure(Step.REPLY, self.address, "the connection was closed"))
            raise
        except Exception as error:
            write_traceback()
            reason = f"unexpected {type(error).__name__}: {error}"
            self._fail(jobs, Failure(Step.REPLY, self.address, reason, FailureCode.MISMATCH))
        finally:
            del self._requests[batch.request_id]
        await self._pool.drop(connection)
        return None

    def _make_batch(self, jobs: tuple[Job, ...]) -> Batch:
        request_id = f"{self._name}-{next(_request_numbers)}"
        now = asyncio.get_running_loop().time()
        for job in jobs:
            job.request_id = request_id
            job.sent_at = now
            self._observer.sub_queries_sent(1, job.reason)
        deadline = max(job.sub_query.deadline for job in jobs)
        return Batch(
            request_id, jobs[0].sub_query.snapshot, deadline, tuple(job.sub_query for job in jobs)
        )

    def _fail(self, jobs: tuple[Job, ...], failure: Failure) -> None:
        self._completion.fail(jobs, failure, len(self._requests))
        self._fail_queued_if_paused()

    def _complete(self, jobs: tuple[Job, ...], reply: BatchReply) -> None:
        drain_started = self._completion.complete(jobs, reply, len(self._requests))
        self._fail_queued_if_paused()
        if drain_started and self._on_draining is not None:
            self._on_draining(self)

    def _fail_queued_if_paused(self) -> None:
        if self._paused_for_long():
            self.fail_queued(self._paused_failure())

    def _paused_for_long(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self._in_flight_limit.resumes_at() - now > LONG_PAUSE_SECONDS

    def _paused_failure(self) -> Failure:
        reason = "paused after the upstream shed work"
        return Failure(Step.QUEUE, self.address, reason, FailureCode.SHED, False)
