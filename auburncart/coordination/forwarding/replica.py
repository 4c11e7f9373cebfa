"""One replica as this VM sees it: its queue, its connections and its health."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

from auburncart.coordination.forwarding.interfaces import ReplicaConnection, ReplicaDialer
from auburncart.exception import UpstreamError
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.forward import ForwardRequest, Reply
from auburncart.state.registration import Registration

__all__ = ["Job", "JobResult", "ReplicaPool"]

LATENCY_WEIGHT = 0.15  # of the newest sample: about the last ten requests count
FRESH_IDLE_SECONDS = 0.5  # well below one second, the least that a replica keeps an idle connection
IDLE_SECONDS = 10.0  # after which an idle connection is given back, for others may need it
IDLE_MARGIN_SECONDS = 0.5  # before the replica's own limit: half the least unit that it states
FIRST_EJECTION_SECONDS = 0.5  # a restart takes a replica some seconds
MOST_EJECTION_SECONDS = 4.0  # a replica that is back is found within the settling time of a fault
FAILURES_TO_EJECT = 2  # a single failure may be the connection's
_sequence = itertools.count()


class JobResult(NamedTuple):
    """How one try at one replica ended.

    :param reply: the reply, None if there is none.
    :param failure: why there is none.
    """

    job: "Job"
    reply: Reply | None
    failure: Failure | None


class Job:
    """One try of a request at one replica.

    :param request: the request.
    :param priority: rank by which it waits, 0 first.
    :param fresh: whether it needs a connection on which a loss is certain not to be an idle close.
    :param settle: told once how the try ended.
    """

    def __init__(
        self,
        request: ForwardRequest,
        priority: int,
        fresh: bool,
        settle: Callable[[JobResult], None],
    ) -> None:
        self.request = request
        self.priority = priority
        self.fresh = fresh
        self.queued_at = 0.0
        self.sent_at = 0.0
        self.reason = "first"
        self.pool: ReplicaPool | None = None
        self.connection: ReplicaConnection | None = None
        self.settled = False
        self._settle = settle

    @property
    def sent(self) -> bool:
        """Whether any byte may have reached the replica."""
        return self.sent_at > 0.0

    def finish(self, reply: Reply) -> None:
        """Hand the reply over, unless the try was given up."""
        self._end(JobResult(self, reply, None))

    def fail(self, failure: Failure) -> None:
        """Say why there is no reply, unless the try was given up."""
        self._end(JobResult(self, None, failure))

    def abandon(self) -> None:
        """Give the try up: the replica is told by the end of its connection."""
        if self.settled:
            return
        self.settled = True
        if self.pool is not None:
            self.pool.forget(self)

    def _end(self, result: JobResult) -> None:
        if not self.settled:
            self.settled = True
            self._settle(result)


class ReplicaPool:
    """The connections to one replica, each with a task that carries one request at a time.

    :param registration: what the replica says of itself.
    :param distance: 0 in this data centre, 1 in its region, 2 elsewhere.
    :param dialer: opens connections.
    :param share: returns the connections that this VM may hold.
    """

    def __init__(
        self,
        registration: Registration,
        distance: int,
        dialer: ReplicaDialer,
        share: Callable[[], int],
    ) -> None:
        self.registration = registration
        self.distance = distance
        self._dialer = dialer
        self._share = share
        self._queue: list[tuple[int, int, Job]] = []
        self._idle: list[_Slot] = []
        self._slots: set[_Slot] = set()
        self._retired = False
        self._latency = 0.0
        self._failures = 0
        self._ejected_until = 0.0
        self._ejection = FIRST_EJECTION_SECONDS
        self._at_work = 0

    @property
    def outstanding(self) -> int:
        """Number of requests in the queue or at work."""
        return len(self._queue) + self._at_work

    @property
    def connections(self) -> int:
        """Number of connections held or being opened."""
        return len(self._slots)

    @property
    def latency(self) -> float:
        """Moving average of a request's time in seconds, 0 before the first."""
        return self._latency

    @property
    def failures(self) -> int:
        """Number of requests that failed since the last success."""
        return self._failures

    @property
    def usable(self) -> bool:
        """Whether it may be given new requests now."""
        return not self._retired and not self.registration.draining

    @property
    def ejected(self) -> bool:
        """Whether it failed lately and is left alone for a moment."""
        return _now() < self._ejected_until

    def submit(self, job: Job) -> None:
        """Put a try into the queue and see that a connection takes it."""
        job.pool = self
        job.queued_at = _now()
        heapq.heappush(self._queue, (job.priority, next(_sequence), job))
        self._engage()

    def forget(self, job: Job) -> None:
        """Take a try that was given up out of the queue, or end its connection."""
        if job.connection is not None:
            self.record_latency(_now() - job.queued_at)
            job.connection.close()
            return
        self._queue = [entry for entry in self._queue if entry[2] is not job]
        heapq.heapify(self._queue)

    async def answers(self) -> bool:
        """Return whether the replica accepts a connection now."""
        try:
            connection = await self._dialer.connect(self.registration)
        except UpstreamError:
            return False
        connection.close()
        return True

    def retire(self) -> None:
        """Take no more requests; those at work are finished, those that wait go elsewhere."""
        self._retired = True
        failure = Failure(
            Step.QUEUE, self.registration.address, "it is leaving", FailureCode.DRAINING, False
        )
        queue, self._queue = self._queue, []
        for _, _, job in queue:
            job.fail(failure)
        for slot in list(self._idle):
            slot.end()

    def trim(self) -> None:
        """Close connections that have been idle for too long."""
        now = _now()
        for slot in list(self._idle):
            if slot.broken or now - slot.idle_since > slot.idle_limit:
                slot.end()

    def close_idle(self) -> None:
        """Close all idle connections, after a time in which their other side may have gone."""
        for slot in list(self._idle):
            slot.end()

    def close(self) -> None:
        """End all connections."""
        self.retire()
        for slot in list(self._slots):
            slot.cancel()

    def record_latency(self, seconds: float) -> None:
        """Take in the time of a request, or how long one was waited for in vain."""
        if self._latency:
            self._latency += LATENCY_WEIGHT * (seconds - self._latency)
        else:
            self._latency = seconds

    def record_success(self) -> None:
        """Take in a reply that shows the replica works."""
        self._failures = 0
        self._ejection = FIRST_EJECTION_SECONDS
        self._ejected_until = 0.0

    def record_failure(self, *, at_once: bool = False) -> None:
        """Take in a failed request or dial; after some the replica is left alone for a while.

        :param at_once: whether a single failure suffices.
        """
        self._failures += 1
        if at_once or self._failures >= FAILURES_TO_EJECT:
            self._ejected_until = _now() + self._ejection
            self._ejection = min(MOST_EJECTION_SECONDS, 2.0 * self._ejection)

    def _engage(self) -> None:
        job = self._queue[0][2]
        for slot in reversed(self._idle):
            if slot.fits(job):
                slot.wake()
                return
        if self._idle and len(self._slots) >= self._share():
            self._idle[0].end()
        if len(self._slots) < self._share():
            self._slots.add(_Slot(self, self._dialer))

    def take(self, slot: "_Slot") -> Job | None:
        """Return the next try for a connection, None if there is none that it may carry."""
        if not self._queue or not slot.fits(self._queue[0][2]):
            return None
        job = heapq.heappop(self._queue)[2]
        self._at_work += 1
        job.connection = slot.connection
        job.sent_at = _now()
        return job

    def done(self, job: Job) -> None:
        """Take in that a try has left its connection."""
        self._at_work -= 1
        job.connection = None

    def rest(self, slot: "_Slot") -> bool:
        """Take a connection back that has nothing to do; False if it must end."""
        if self._retired or len(self._slots) > self._share():
            return False
        self._idle.append(slot)
        return True

    def stir(self, slot: "_Slot") -> None:
        """Take in that a connection is no longer idle."""
        if slot in self._idle:
            self._idle.remove(slot)

    def leave(self, slot: "_Slot", failure: Failure | None) -> None:
        """Take in that a connection has ended.

        :param failure: why it could not be opened, None otherwise; tries that wait go elsewhere.
        """
        self.stir(slot)
        self._slots.discard(slot)
        if failure is not None:
            self.record_failure(at_once=True)
            if not self._slots:
                queue, self._queue = self._queue, []
                for _, _, job in queue:
                    job.fail(failure)
        elif self._queue and not self._retired:
            self._engage()


class _Slot:
    """One connection and the task that serves it."""

    def __init__(self, pool: ReplicaPool, dialer: ReplicaDialer) -> None:
        self._pool = pool
        self._dialer = dialer
        self.connection: ReplicaConnection | None = None
        self.idle_since = 0.0
        self._wake = asyncio.Event()
        self._ending = False
        self._task = asyncio.create_task(
            self._serve(), name=f"replica {pool.registration.instance}"
        )

    @property
    def idle_limit(self) -> float:
        """Seconds after which it is closed while idle."""
        if self.connection is None:
            return IDLE_SECONDS
        return min(IDLE_SECONDS, self.connection.idle_limit - IDLE_MARGIN_SECONDS)

    @property
    def broken(self) -> bool:
        """Whether its connection was closed by the other side."""
        return self.connection is not None and not self.connection.usable

    def fits(self, job: Job) -> bool:
        """Whether it may carry a try now."""
        if self.connection is None or not self.connection.usable:
            return False
        idle = _now() - self.idle_since
        return idle <= (FRESH_IDLE_SECONDS if job.fresh else self.idle_limit)

    def wake(self) -> None:
        """Let it take a try."""
        self._pool.stir(self)
        self._wake.set()

    def end(self) -> None:
        """End it while it is idle."""
        self._ending = True
        self.wake()

    def cancel(self) -> None:
        """End it whatever it does."""
        self._task.cancel()

    async def _serve(self) -> None:
        """Open the connection and carry one try after the other."""
        failure = None
        try:
            try:
                self.connection = await self._dialer.connect(self._pool.registration)
            except UpstreamError as error:
                failure = Failure(
                    Step.CONNECT, error.peer, error.reason, FailureCode.UNREACHABLE, False
                )
                return
            self.idle_since = _now()
            while not self._ending and self.connection.usable:
                job = self._pool.take(self)
                if job is not None:
                    await self._carry(job)
                    continue
                if not self._pool.rest(self):
                    return
                await self._wake.wait()
                self._wake.clear()
        finally:
            if self.connection is not None:
                self.connection.close()
            self._pool.leave(self, failure)

    async def _carry(self, job: Job) -> None:
        assert self.connection is not None
        try:
            reply = await self.connection.exchange(job.request, self._pool.registration.instance)
        except UpstreamError as error:
            if not job.settled:
                self._pool.record_failure()
            code = FailureCode.LOST if error.sent else FailureCode.UNREACHABLE
            job.fail(Failure(Step.REPLY, error.peer, error.reason, code, error.sent))
        else:
            self._pool.record_latency(_now() - job.queued_at)
            job.finish(reply)
        finally:
            self._pool.done(job)
            self.idle_since = _now()


def _now() -> float:
    return asyncio.get_running_loop().time()
