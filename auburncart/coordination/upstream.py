"""One upstream as this VM sees it: its queue and its connections."""

import asyncio
import functools
import itertools
from collections import deque
from collections.abc import Callable

from eliot import write_traceback

from auburncart.coordination.batching import Batching
from auburncart.coordination.completion import RequestCompletion, fail_all
from auburncart.coordination.connections import ConnectionPool, Errand, Errands
from auburncart.coordination.exchange import send_batch, send_order
from auburncart.coordination.health import UpstreamHealth, failure_of
from auburncart.coordination.in_flight import InFlightLimit, UnlimitedInFlight
from auburncart.coordination.interfaces import UpstreamConnection, UpstreamDialer
from auburncart.coordination.job import Job, OrderJob
from auburncart.coordination.jobqueue import JobQueue
from auburncart.coordination.limits import ConnectionLimit
from auburncart.coordination.observer import Observer
from auburncart.coordination.quarantine import Quarantine
from auburncart.coordination.redial import ImmediateRedialing, Redialing
from auburncart.exception import (
    UpstreamError,
)
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
LONG_PAUSE_SECONDS = 0.1  # an upstream left alone for longer fails its jobs at once
RESUME_SLACK_SECONDS = 0.001
_request_numbers = itertools.count(1)


class Upstream(Errands):
    """The queue of one upstream, served by one task for each connection.

    Cancellations and orders travel over the same connections as searches.

    :param replica: what the shard map says of it.
    :param local: whether it is in this VM's data centre.
    :param name: name of this VM, with which its request identifiers begin.
    :param dialer: opens connections.
    :param batching: sizes the batches.
    :param limit: this VM's share of the upstream's connections.
    :param quarantine: tells which jobs must travel alone.
    :param observer: told of connections and sub-queries.
    :param in_flight_limit: bounds the requests at work.
    :param redialing: spaces the dials after a refused one.
    :param on_draining: called when the upstream begins to report that it leaves.
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
        self._cancels: deque[str] = deque()
        self._running: dict[str, tuple[Job, ...]] = {}
        self._timer: asyncio.TimerHandle | None = None
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
        """Number of sub-queries and orders in the queue or at work."""
        running = sum(len(jobs) for jobs in self._running.values())
        return self.waiting + running + self._open_orders

    @property
    def at_work(self) -> int:
        """Number of requests at work."""
        return len(self._running)

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
        """Number of requests that failed since the last success."""
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
    def refused_leaving_at(self) -> float | None:
        """Loop time in seconds at which it last refused work because it leaves, or None."""
        return self._health.refused_leaving_at

    @property
    def ready(self) -> bool:
        """Whether a job given to it now can be taken up: it is not being waited for to recover."""
        return self._pool.ready

    @property
    def hopeless(self) -> bool:
        """Whether it has refused connections for a while, or sheds and is left alone for long."""
        now = asyncio.get_running_loop().time()
        since = self._pool.refused_since
        refusing = since is not None and now - since > OUTAGE_SECONDS
        return refusing or self._left_alone_for_long()

    @property
    def free(self) -> bool:
        """Whether a job given to it now starts without waiting for another."""
        now = asyncio.get_running_loop().time()
        room = min(self._share(), self._in_flight_limit.requests(now))
        return self.ready and not self._queue and len(self._running) < room

    @property
    def paused(self) -> bool:
        """Whether it is left alone for a moment because it shed."""
        return asyncio.get_running_loop().time() < self._in_flight_limit.resumes_at()

    def submit(self, job: Job) -> None:
        """Put a job into the queue and see that a connection takes it."""
        job.queued_at = asyncio.get_running_loop().time()
        if not self.ready:
            job.fail(self._pool.unready())
            return
        if self._left_alone_for_long():
            job.fail(self._shed())
            return
        self._queue.add(job)
        self._pool.engage()

    def cancel(self, job: Job) -> None:
        """Forget a job; if nobody waits for its request any more, tell the upstream.

        The word travels over a connection that is free or becomes free while the request is at
        work; no connection is opened beyond this VM's share for it.
        """
        job.cancelled = True
        if self._queue.discard(job):
            return
        jobs = self._running.get(job.request_id, ())
        if jobs and all(other.cancelled for other in jobs):
            self._cancels.append(job.request_id)
            self._pool.engage()

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Send an order once, over a new connection within this VM's share.

        :raises UpstreamError: no matching reply before the deadline; ``sent`` tells whether the
            order may have arrived.
        """
        if not self.ready:
            failure = self._pool.unready()
            raise UpstreamError(failure.reason, step="connect", peer=self.address, sent=False)
        job = OrderJob(order)
        self._orders.append(job)
        self._pool.engage()
        self._open_orders += 1
        try:
            return await job.reply()
        finally:
            self._open_orders -= 1

    def withdraw(self, failure: Failure) -> None:
        """Fail all jobs in the queue, so that their searches ask another replica."""
        self._queue.fail_all(failure)

    def watch_end(self) -> None:
        """Dial now and then without work, until the process that leaves has ended."""
        self._pool.watch_end(lambda: self.condition is UpstreamCondition.DRAINING)

    def trim_connections(self) -> None:
        """Close idle connections above this VM's share, after the share has changed."""
        self._pool.trim()

    async def close(self) -> None:
        """End all connections; jobs in the queue or at work fail."""
        if self._timer is not None:
            self._timer.cancel()
        await self._pool.close()

    def _share(self) -> int:
        return self._limit.connections(self._replica)

    def strand(self, failure: Failure) -> None:
        """Fail all jobs in the queue and all orders that wait; none was sent."""
        self._queue.fail_all(failure)
        while self._orders:
            error = UpstreamError(failure.reason, step="connect", peer=self.address, sent=False)
            self._orders.popleft().fail(error)

    def note(self, failure: Failure) -> None:
        """Take in that a dial failed."""
        self._health.record_failure(failure, asyncio.get_running_loop().time())

    @property
    def pending(self) -> bool:
        """Whether a connection would find something to do now."""
        return bool(self._cancels or self._orders or self._may_start())

    def _may_start(self) -> bool:
        if not self._queue:
            return False
        now = asyncio.get_running_loop().time()
        if len(self._running) < self._in_flight_limit.requests(now):
            return self._queue.startable(self._isolated_at_work(), now)
        self._resume_later(now)
        return False

    def _resume_later(self, now: float) -> None:
        at = self._in_flight_limit.resumes_at()
        if self._timer is None and at > now:
            # A timer may fire up to the clock's resolution early.
            at += RESUME_SLACK_SECONDS
            self._timer = asyncio.get_running_loop().call_at(at, self._resume)

    def _resume(self) -> None:
        self._timer = None
        self._pool.engage()

    def _isolated_at_work(self) -> bool:
        return any(jobs[0].isolated for jobs in self._running.values())

    def next(self) -> Errand:
        """Take the next errand: a cancellation, an order, then the jobs of one request."""
        if self._cancels:
            return functools.partial(self._tell, self._cancels.popleft())
        if self._orders:
            return functools.partial(send_order, self._pool, self._orders.popleft())
        now = asyncio.get_running_loop().time()
        return functools.partial(self._search, self._queue.take(self._isolated_at_work(), now))

    async def _tell(
        self, request_id: str, connection: UpstreamConnection
    ) -> UpstreamConnection | None:
        """Tell the upstream that nobody waits for a request, if it is still at work."""
        if request_id not in self._running:
            return connection
        try:
            await connection.cancel(request_id)
        except UpstreamError:
            await self._pool.drop(connection)
            return None
        return connection

    async def _search(
        self, jobs: tuple[Job, ...], connection: UpstreamConnection
    ) -> UpstreamConnection | None:
        if not jobs:
            return connection
        batch = self._batch(jobs)
        self._running[batch.request_id] = jobs
        try:
            reply, connection = await send_batch(self._pool, batch, connection)
            self._settle(jobs, reply)
            return connection
        except UpstreamError as error:
            self._lose(jobs, failure_of(error))
        except asyncio.CancelledError:
            fail_all(jobs, Failure(Step.REPLY, self.address, "the connection was closed"))
            raise
        except Exception as error:
            write_traceback()
            reason = f"unexpected {type(error).__name__}: {error}"
            self._lose(jobs, Failure(Step.REPLY, self.address, reason, FailureCode.MISMATCH))
        finally:
            del self._running[batch.request_id]
        await self._pool.drop(connection)
        return None

    def _batch(self, jobs: tuple[Job, ...]) -> Batch:
        request_id = f"{self._name}-{next(_request_numbers)}"
        now = asyncio.get_running_loop().time()
        for job in jobs:
            job.request_id = request_id
            job.sent_at = now
            self._observer.sub_queries_sent(1, job.reason)
        deadline = max(job.sub.deadline for job in jobs)
        return Batch(request_id, jobs[0].sub.snapshot, deadline, tuple(job.sub for job in jobs))

    def _lose(self, jobs: tuple[Job, ...], failure: Failure) -> None:
        self._completion.fail(jobs, failure, len(self._running))
        self._move_if_shed()

    def _settle(self, jobs: tuple[Job, ...], reply: BatchReply) -> None:
        leaving = self._completion.complete(jobs, reply, len(self._running))
        self._move_if_shed()
        if leaving and self._on_draining is not None:
            self._on_draining(self)

    def _move_if_shed(self) -> None:
        if self._left_alone_for_long():
            self.withdraw(self._shed())

    def _left_alone_for_long(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self._in_flight_limit.resumes_at() - now > LONG_PAUSE_SECONDS

    def _shed(self) -> Failure:
        reason = "left alone for a moment after it shed work"
        return Failure(Step.QUEUE, self.address, reason, FailureCode.SHED, False)
