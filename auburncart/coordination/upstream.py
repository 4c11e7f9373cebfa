"""One upstream as this VM sees it: its queue, its connections and what they tell of it."""

import asyncio
import itertools
from collections import deque

from auburncart.coordination.batching import Batching
from auburncart.coordination.interfaces import UpstreamConnection, UpstreamDialer
from auburncart.coordination.job import Job, OrderJob
from auburncart.coordination.limits import ConnectionLimit
from auburncart.coordination.observer import Observer
from auburncart.coordination.quarantine import Quarantine
from auburncart.exception import UpstreamError
from auburncart.state import (
    Batch,
    BatchReply,
    Failure,
    FailureCode,
    OrderReply,
    Rank,
    Replica,
    Step,
    UpstreamCondition,
    UpstreamOrder,
)

__all__ = ["Upstream", "failure_of"]

LATENCY_WEIGHT = 0.1  # share of a new measurement in the moving average
_request_numbers = itertools.count(1)

STEPS = {step.value: step for step in Step}


def failure_of(error: UpstreamError) -> Failure:
    """Return the failure that an exception of an upstream connection stands for."""
    step = STEPS.get(error.step, Step.REPLY)
    code = FailureCode.UNREACHABLE if step is Step.CONNECT else FailureCode.LOST
    return Failure(step, error.peer, error.reason, code, error.sent)


class Upstream:
    """The queue of one upstream, served by one task for each connection.

    :param replica: what the shard map says of it.
    :param local: whether it is in this VM's data centre.
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
    ) -> None:
        self._replica = replica
        self._local = local
        self._name = name
        self._dialer = dialer
        self._batching = batching
        self._limit = limit
        self._quarantine = quarantine
        self._observer = observer
        self._queues: dict[Rank, deque[Job]] = {rank: deque() for rank in Rank}
        self._orders: deque[OrderJob] = deque()
        self._idle: deque[asyncio.Future[None]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._cancels: set[asyncio.Task[None]] = set()
        self._running: dict[str, tuple[Job, ...]] = {}
        self._latency = 0.0
        self._failures = 0
        self._condition = UpstreamCondition.READY
        self._condition_since = 0.0

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
        return sum(len(queue) for queue in self._queues.values())

    @property
    def outstanding(self) -> int:
        """Number of sub-queries in the queue or at work."""
        return self.waiting + sum(len(jobs) for jobs in self._running.values())

    @property
    def connections(self) -> int:
        """Number of connections held or being opened."""
        return len(self._tasks)

    @property
    def latency(self) -> float:
        """Moving average of the time of a request in seconds, 0 before the first."""
        return self._latency

    @property
    def failures(self) -> int:
        """Number of requests that failed since the last success."""
        return self._failures

    @property
    def condition(self) -> UpstreamCondition:
        """Condition that the upstream last reported of itself."""
        return self._condition

    @property
    def reachable(self) -> bool:
        """Whether this VM may hold a connection to it now."""
        return self._limit.connections(self._replica) > 0

    def adjust(self) -> None:
        """Close idle connections above the limit, or open one for waiting work below it."""
        allowed = self._limit.connections(self._replica)
        for _ in range(min(self.connections - allowed, len(self._idle))):
            self._idle.popleft().cancel()
        if self.waiting and self.connections < allowed:
            self._open()

    def submit(self, job: Job) -> None:
        """Put a job into the queue and see that a connection takes it."""
        self._queues[job.rank].append(job)
        self._wake()

    def cancel(self, job: Job) -> None:
        """Forget a job; if nobody waits for its request any more, tell the upstream."""
        job.cancelled = True
        jobs = self._running.get(job.request_id, ())
        if jobs and all(other.cancelled for other in jobs):
            task = asyncio.create_task(self._dialer.cancel(self._replica, job.request_id))
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Send an order once, over one of this VM's connections, before any sub-query.

        :raises UpstreamError: no matching reply before the deadline; ``sent`` tells whether the
            order may have arrived.
        """
        job = OrderJob(order)
        self._orders.append(job)
        self._wake()
        return await job.reply()

    async def close(self) -> None:
        """End all connections; jobs at work fail."""
        tasks = [*self._tasks, *self._cancels]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _wake(self) -> None:
        if self._idle:
            self._idle.popleft().set_result(None)
        elif self.connections < self._limit.connections(self._replica):
            self._open()

    def _open(self) -> None:
        task = asyncio.create_task(self._serve(), name=f"upstream {self.address}")
        self._tasks.add(task)
        task.add_done_callback(self._closed)
        self._observer.connections_changed(self.address, self.connections)

    def _closed(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._observer.connections_changed(self.address, self.connections)

    async def _serve(self) -> None:
        connection: UpstreamConnection | None = None
        try:
            while self.connections <= self._limit.connections(self._replica):
                jobs = await self._next_jobs()
                if isinstance(jobs, OrderJob):
                    connection = await self._carry_out(connection, jobs)
                else:
                    connection = await self._exchange(connection, jobs)
        finally:
            if connection is not None:
                await connection.close()

    async def _next_jobs(self) -> tuple[Job, ...] | OrderJob:
        while True:
            if self._orders:
                return self._orders.popleft()
            jobs = self._take()
            if jobs:
                return jobs
            wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._idle.append(wake)
            try:
                await wake
            finally:
                if wake in self._idle:
                    self._idle.remove(wake)

    def _take(self) -> tuple[Job, ...]:
        now = asyncio.get_running_loop().time()
        for queue in self._queues.values():
            while queue:
                first = queue.popleft()
                if self._expired(first, now):
                    continue
                return (first, *self._companions(first, queue, now))
        return ()

    def _expired(self, job: Job, now: float) -> bool:
        if job.cancelled:
            return True
        if now < job.sub.deadline:
            return False
        failure = Failure(Step.QUEUE, self.address, "deadline passed", FailureCode.TIMED_OUT, False)
        job.fail(failure)
        return True

    def _companions(self, first: Job, queue: deque[Job], now: float) -> list[Job]:
        if self._quarantine.isolates(first.sub.kind, first.sub.query, now):
            return []
        room = self._batching.size(self._replica, self.waiting + 1) - 1
        jobs: list[Job] = []
        while queue and len(jobs) < room and queue[0].sub.snapshot == first.sub.snapshot:
            job = queue.popleft()
            if self._quarantine.isolates(job.sub.kind, job.sub.query, now):
                queue.appendleft(job)
                break
            if not self._expired(job, now):
                jobs.append(job)
        return jobs

    async def _carry_out(
        self, kept: UpstreamConnection | None, job: OrderJob
    ) -> UpstreamConnection | None:
        # A kept connection may have been closed by the other side: its error would say nothing
        # of whether the order arrived.
        if not job.waited_for:
            return kept
        if kept is not None:
            await kept.close()
        connection: UpstreamConnection | None = None
        try:
            connection = await self._dialer.connect(self._replica)
            if job.waited_for and asyncio.get_running_loop().time() < job.order.deadline:
                job.sent = True
                job.answer(await connection.order(job.order))
            return connection
        except UpstreamError as error:
            job.fail(error)
            if connection is not None:
                await connection.close()
            return None
        except asyncio.CancelledError:
            job.fail(UpstreamError("closed", step="send", peer=self.address, sent=job.sent))
            if connection is not None:
                await connection.close()
            raise

    async def _exchange(
        self, connection: UpstreamConnection | None, jobs: tuple[Job, ...]
    ) -> UpstreamConnection | None:
        batch = self._batch(jobs)
        self._running[batch.request_id] = jobs
        try:
            connection = connection or await self._dialer.connect(self._replica)
            reply = await connection.search(batch)
        except UpstreamError as error:
            self._lose(error, jobs)
            if connection is not None:
                await connection.close()
            return None
        finally:
            self._running.pop(batch.request_id, None)
        self._settle(jobs, reply)
        return connection

    def _batch(self, jobs: tuple[Job, ...]) -> Batch:
        now = asyncio.get_running_loop().time()
        request_id = f"{self._name}-{next(_request_numbers)}"
        for job in jobs:
            job.request_id = request_id
            job.sent_at = now
            self._observer.sub_queries_sent(1, job.reason)
        deadline = max(job.sub.deadline for job in jobs)
        return Batch(request_id, jobs[0].sub.snapshot, deadline, tuple(job.sub for job in jobs))

    def _lose(self, error: UpstreamError, jobs: tuple[Job, ...]) -> None:
        self._failures += 1
        failure = failure_of(error)
        if failure.sent:
            now = asyncio.get_running_loop().time()
            queries = tuple((job.sub.kind, job.sub.query) for job in jobs)
            self._quarantine.record_loss(self.address, queries, now)
        for job in jobs:
            job.fail(failure)

    def _settle(self, jobs: tuple[Job, ...], reply: BatchReply) -> None:
        now = asyncio.get_running_loop().time()
        self._failures = 0
        self._condition = reply.condition
        self._condition_since = now
        self._learn(now - jobs[0].sent_at)
        for job in jobs:
            answer = reply.answers.get(job.sub.sub_id)
            if answer is not None:
                self._quarantine.record_answer(job.sub.kind, job.sub.query, now)
                job.answer(answer)
            else:
                job.fail(reply.failures.get(job.sub.sub_id, self._unmatched()))

    def _learn(self, seconds: float) -> None:
        weight = LATENCY_WEIGHT if self._latency else 1.0
        self._latency += weight * (seconds - self._latency)

    def _unmatched(self) -> Failure:
        return Failure(
            Step.MATCH, self.address, "no matching answer in the reply", FailureCode.MISMATCH
        )
