"""The connections to one replica, with the queue of its requests and its health."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

from auburncart.coordination.forwarding.interfaces import ReplicaConnection, ReplicaDialer
from auburncart.coordination.forwarding.replica_pace import PaceShares, ReplicaPace
from auburncart.exception import UpstreamError
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.forward import ForwardRequest, Reply
from auburncart.state.registration import Registration

__all__ = ["Attempt", "AttemptResult", "ReplicaConnectionPool"]

LATENCY_SAMPLE_WEIGHT = 0.15  # of the newest sample; about the last ten requests count
# Well below one second, the shortest time for which a replica keeps an idle connection.
MAX_FRESH_IDLE_SECONDS = 0.5
MAX_IDLE_SECONDS = 10.0  # then the connection is closed, since other VMs may need it
IDLE_MARGIN_SECONDS = 0.5  # half of the unit in which the replica states its own limit
INITIAL_EJECTION_SECONDS = 0.5  # a restart takes a replica some seconds
MAX_EJECTION_SECONDS = 4.0  # a recovered replica is found within the settling time after a fault
FAILURES_TO_EJECT = 2  # a single failure may be due to the connection
DELAY_CHECK_SECONDS = 1.0  # for requests that wait until the replica takes them
CLOCK_RESOLUTION_SECONDS = 1e-6  # a loop may run a timer early by its clock's resolution
_sequence = itertools.count()


class AttemptResult(NamedTuple):
    """The result of one attempt.

    :param reply: the reply, None if there is none.
    :param failure: why there is no reply.
    """

    attempt: "Attempt"
    reply: Reply | None
    failure: Failure | None


class Attempt:
    """One attempt to get a request answered by a replica.

    :param request: the request.
    :param priority: rank by which it waits, 0 first.
    :param fresh: whether it needs a connection used so recently that the replica cannot close it
        as idle, so that a lost connection has another cause.
    :param resent: whether the replica may have been sent the request before. It then needs a new
        connection, since on another one a second copy of the first reply cannot be told apart.
    :param on_finish: called once with the result.
    """

    def __init__(
        self,
        request: ForwardRequest,
        priority: int,
        fresh: bool,
        resent: bool,
        on_finish: Callable[[AttemptResult], None],
    ) -> None:
        self.request = request
        self.priority = priority
        self.fresh = fresh
        self.resent = resent
        self.queued_at = 0.0
        self.sent_at = 0.0
        self.reason = "first"
        self.pool: ReplicaConnectionPool | None = None
        self.connection: ReplicaConnection | None = None
        self.finished = False
        self._on_finish = on_finish

    @property
    def sent(self) -> bool:
        """Whether the replica may have received any of the request."""
        return self.sent_at > 0.0

    def complete(self, reply: Reply) -> None:
        """Finish with a reply, unless the attempt was cancelled."""
        self._finish(AttemptResult(self, reply, None))

    def fail(self, failure: Failure) -> None:
        """Finish without a reply, unless the attempt was cancelled."""
        self._finish(AttemptResult(self, None, failure))

    def cancel(self) -> None:
        """Cancel the attempt; if it was sent, closing its connection tells the replica."""
        if self.finished:
            return
        self.finished = True
        if self.pool is not None:
            self.pool.discard(self)

    def _finish(self, result: AttemptResult) -> None:
        if not self.finished:
            self.finished = True
            self._on_finish(result)


class ReplicaConnectionPool:
    """The connections to one replica, each with a task that sends one request at a time.

    :param registration: the replica's entry in the store.
    :param distance: 0 in this data centre, 1 in this region, 2 in another region.
    :param dialer: opens connections.
    :param connection_share: returns this VM's share of the connections that the replica accepts.
        Below one, a connection is opened for a request and closed after it, since the replica
        resets the connections beyond its limit.
    :param shares: divides the limits that the replica names among the VMs.
    :param on_leaving: called with this pool when the replica says that it is about to end.
    """

    def __init__(
        self,
        registration: Registration,
        distance: int,
        dialer: ReplicaDialer,
        connection_share: Callable[[], float],
        shares: PaceShares,
        on_leaving: Callable[["ReplicaConnectionPool"], None],
    ) -> None:
        self.registration = registration
        self.distance = distance
        self._dialer = dialer
        self._connection_share = connection_share
        self._on_leaving = on_leaving
        self._pace = ReplicaPace(shares)
        self._leaving = False
        self._timer: asyncio.TimerHandle | None = None
        self._queue: list[tuple[int, int, Attempt]] = []
        self._idle: list[_Worker] = []
        self._workers: set[_Worker] = set()
        self._retired = False
        self._latency = 0.0
        self._latency_at = 0.0
        self._replied_at = 0.0
        self._failures = 0
        self._ejected_until = 0.0
        self._ejection = INITIAL_EJECTION_SECONDS
        self._in_flight: dict[Attempt, None] = {}  # in the order of sending
        self._stalled_until = 0.0

    @property
    def outstanding(self) -> int:
        """Number of requests queued or in flight."""
        return len(self._queue) + len(self._in_flight)

    @property
    def stalled(self) -> float:
        """Seconds for which the replica is expected not to reply, as seen by unanswered requests.

        One that has not replied for some time is expected not to reply for as long again.
        """
        now = _now()
        oldest = next(iter(self._in_flight), None)
        unanswered = now - oldest.sent_at if oldest is not None else 0.0
        return max(unanswered, self._stalled_until - now)

    @property
    def connections(self) -> int:
        """Number of connections open or being opened."""
        return len(self._workers)

    @property
    def max_connections(self) -> int:
        """Number of connections that may be open, at least one."""
        return max(1, int(self._connection_share()))

    @property
    def latency(self) -> float:
        """Moving average of the latency of requests in seconds, 0 before the first."""
        return self._latency

    @property
    def latency_age(self) -> float:
        """Seconds since the latency was last measured."""
        return _now() - self._latency_at

    @property
    def replied_at(self) -> float:
        """Loop time in seconds of the last reply, 0 before the first."""
        return self._replied_at

    @property
    def request_limit(self) -> float:
        """Requests per second that the replica accepts from all VMs, infinity without a limit."""
        return self._pace.request_limit

    @property
    def paced(self) -> bool:
        """Whether the replica may let requests wait."""
        return self._pace.active

    @property
    def leaving(self) -> bool:
        """Whether the replica has said that it is about to end."""
        return self._leaving

    @property
    def failures(self) -> int:
        """Number of failures since the last success."""
        return self._failures

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent to the replica."""
        return not self._retired and not self.registration.draining

    @property
    def ejected(self) -> bool:
        """Whether the replica is avoided for a while because of recent failures."""
        return _now() < self._ejected_until

    def submit(self, attempt: Attempt) -> None:
        """Queue an attempt and make a connection available to it."""
        attempt.pool = self
        attempt.queued_at = _now()
        heapq.heappush(self._queue, (attempt.priority, next(_sequence), attempt))
        self._dispatch()

    def discard(self, attempt: Attempt) -> None:
        """Remove a cancelled attempt from the queue, or close its connection if it was sent."""
        if attempt.connection is not None:
            now = _now()
            self.record_latency(now - attempt.queued_at)
            self._stalled_until = max(self._stalled_until, 2.0 * now - attempt.sent_at)
            attempt.connection.close()
            return
        self._queue = [entry for entry in self._queue if entry[2] is not attempt]
        heapq.heapify(self._queue)

    async def accepts_connections(self) -> bool:
        """Return whether the replica accepts a connection now."""
        try:
            connection = await self._dialer.connect(self.registration)
        except UpstreamError:
            return False
        connection.close()
        return True

    def retire(self) -> None:
        """Accept no more requests; those in flight finish, queued ones fail as not sent."""
        self._retired = True
        failure = Failure(
            Step.QUEUE,
            self.registration.address,
            "replica is draining",
            FailureCode.DRAINING,
            False,
        )
        queue, self._queue = self._queue, []
        for _, _, attempt in queue:
            attempt.fail(failure)
        for worker in list(self._idle):
            worker.stop()

    def close_expired(self) -> None:
        """Close connections that are broken or have been idle for too long."""
        now = _now()
        for worker in list(self._idle):
            if worker.broken or now - worker.idle_since > worker.idle_limit:
                worker.stop()

    def close_idle(self) -> None:
        """Close all idle connections: after a suspension their other side may be gone."""
        for worker in list(self._idle):
            worker.stop()

    def close(self) -> None:
        """Close all connections."""
        self.retire()
        for worker in list(self._workers):
            worker.cancel()

    def record_latency(self, seconds: float) -> None:
        """Add the latency of a request, or the time after which a sent one was cancelled."""
        self._latency_at = _now()
        if self._latency:
            self._latency += LATENCY_SAMPLE_WEIGHT * (seconds - self._latency)
        else:
            self._latency = seconds

    def record_reply(self, seconds: float) -> None:
        """Record a reply of any status and the latency of its request."""
        self._replied_at = _now()
        self.record_latency(seconds)

    def record_announcement(self, reply: Reply) -> None:
        """Record what the replica says about itself in a reply."""
        announced, was_active = reply.announced, self._pace.active
        self._pace.announce(self.registration, announced, _now(), ran=not reply.not_run)
        if announced.leaving and not self._leaving:
            self._leaving = True
            self._on_leaving(self)
        if was_active:
            for _ in range(len(self._queue)):
                self._dispatch()

    def send_delay(self, priority: int) -> float:
        """Return the seconds for which the replica lets a request wait that is queued now.

        :param priority: its rank, 0 the most urgent.
        """
        if not self._pace.active:
            return 0.0
        ahead = sum(queued <= priority for queued, _, _ in self._queue)
        return self._pace.delay(self.registration, priority, ahead, len(self._in_flight), _now())

    def record_success(self) -> None:
        """Record a reply that shows that the replica works, which ends an ejection."""
        self._failures = 0
        self._stalled_until = 0.0
        self._ejection = INITIAL_EJECTION_SECONDS
        self._ejected_until = 0.0

    def record_failure(self, *, immediately: bool = False) -> None:
        """Record a failed request or connect; repeated failures eject the replica.

        :param immediately: whether this failure alone ejects it.
        """
        self._failures += 1
        if immediately or self._failures >= FAILURES_TO_EJECT:
            self._ejected_until = _now() + self._ejection
            self._ejection = min(MAX_EJECTION_SECONDS, 2.0 * self._ejection)

    def _head_delay(self) -> float:
        """Return the seconds until the first queued request may be sent."""
        if not self._pace.active:
            return 0.0
        priority = self._queue[0][0]
        return self._pace.delay(self.registration, priority, 0, len(self._in_flight), _now())

    def _dispatch_after(self, delay: float) -> None:
        """Dispatch the first queued request once it may be sent."""
        if self._timer is not None:
            self._timer.cancel()
        # The replica's limit may change or expire meanwhile.
        delay = min(delay, DELAY_CHECK_SECONDS) + CLOCK_RESOLUTION_SECONDS
        self._timer = asyncio.get_running_loop().call_later(delay, self._dispatch)

    def _dispatch(self) -> None:
        if not self._queue:
            return
        delay = self._head_delay()
        if delay > 0.0:
            self._dispatch_after(delay)
            return
        attempt = self._queue[0][2]
        for worker in reversed(self._idle):
            if worker.can_carry(attempt):
                worker.wake()
                return
        if self._idle and len(self._workers) >= self.max_connections:
            self._idle[0].stop()
        if len(self._workers) < self.max_connections:
            self._workers.add(_Worker(self, self._dialer))

    def next_attempt(self, worker: "_Worker") -> Attempt | None:
        """Return the next attempt for a connection, None if there is none that it may carry."""
        if not self._queue or not worker.can_carry(self._queue[0][2]):
            return None
        if self._head_delay() > 0.0:
            self._dispatch()
            return None
        attempt = heapq.heappop(self._queue)[2]
        self._pace.take(_now())
        attempt.connection = worker.connection
        attempt.sent_at = _now()
        self._in_flight[attempt] = None
        if self._pace.active:
            self._dispatch()
        return attempt

    def release(self, attempt: Attempt) -> None:
        """Record that an attempt no longer uses its connection."""
        self._in_flight.pop(attempt, None)
        attempt.connection = None

    def add_idle(self, worker: "_Worker") -> bool:
        """Keep a connection as idle; False if it must be closed instead."""
        share = self._connection_share()
        if self._retired or share < 1.0 or len(self._workers) > self.max_connections:
            return False
        if self._queue and len(self._workers) >= self.max_connections and not self._head_delay():
            return False  # the next attempt needs another connection
        self._idle.append(worker)
        return True

    def remove_idle(self, worker: "_Worker") -> None:
        """Record that a connection is no longer idle."""
        if worker in self._idle:
            self._idle.remove(worker)

    def remove(self, worker: "_Worker", failure: Failure | None) -> None:
        """Remove a connection that has ended.

        :param failure: why it could not be opened, None otherwise. Without another connection,
            queued attempts fail with it.
        """
        self.remove_idle(worker)
        self._workers.discard(worker)
        if failure is not None:
            self.record_failure(immediately=True)
            if not self._workers:
                queue, self._queue = self._queue, []
                for _, _, attempt in queue:
                    attempt.fail(failure)
        elif self._queue and not self._retired:
            self._dispatch()


class _Worker:
    """One connection and the task that sends requests on it."""

    def __init__(self, pool: ReplicaConnectionPool, dialer: ReplicaDialer) -> None:
        self._pool = pool
        self._dialer = dialer
        self.connection: ReplicaConnection | None = None
        self.idle_since = 0.0
        self._wake = asyncio.Event()
        self._stopping = False
        self._used = False
        self._task = asyncio.create_task(self._run(), name=f"replica {pool.registration.instance}")

    @property
    def idle_limit(self) -> float:
        """Seconds for which the connection may stay idle."""
        if self.connection is None:
            return MAX_IDLE_SECONDS
        return min(MAX_IDLE_SECONDS, self.connection.idle_limit - IDLE_MARGIN_SECONDS)

    @property
    def broken(self) -> bool:
        """Whether the replica closed the connection or sent unexpected data."""
        return self.connection is not None and not self.connection.usable

    def can_carry(self, attempt: Attempt) -> bool:
        """Return whether the connection may carry an attempt now."""
        if self.connection is None or not self.connection.usable:
            return False
        if attempt.resent and self._used:
            return False
        idle = _now() - self.idle_since
        return idle <= (MAX_FRESH_IDLE_SECONDS if attempt.fresh else self.idle_limit)

    def wake(self) -> None:
        """Let the task take the next attempt."""
        self._pool.remove_idle(self)
        self._wake.set()

    def stop(self) -> None:
        """Close the idle connection and end its task."""
        self._stopping = True
        self.wake()

    def cancel(self) -> None:
        """End the task and close the connection, also during a request."""
        self._task.cancel()

    async def _run(self) -> None:
        """Open the connection and send one request after the other."""
        address = self._pool.registration.address
        # Also of an unexpected error, after which the queued attempts must not be dispatched again.
        failure: Failure | None = Failure(
            Step.CONNECT, address, "no connection", FailureCode.UNREACHABLE, False
        )
        try:
            try:
                self.connection = await self._dialer.connect(self._pool.registration)
                failure = None
            except UpstreamError as error:
                failure = Failure(
                    Step.CONNECT, error.peer, error.reason, FailureCode.UNREACHABLE, False
                )
                return
            self.idle_since = _now()
            while not self._stopping and self.connection.usable:
                attempt = self._pool.next_attempt(self)
                if attempt is not None:
                    await self._exchange(attempt)
                    continue
                if not self._pool.add_idle(self):
                    return
                await self._wake.wait()
                self._wake.clear()
        finally:
            if self.connection is not None:
                self.connection.close()
            self._pool.remove(self, failure)

    async def _exchange(self, attempt: Attempt) -> None:
        assert self.connection is not None
        self._used = True
        try:
            reply = await self.connection.exchange(
                attempt.request, self._pool.registration.instance
            )
        except UpstreamError as error:
            if not attempt.finished:
                self._pool.record_failure()
            code = FailureCode.LOST if error.sent else FailureCode.UNREACHABLE
            attempt.fail(Failure(Step.REPLY, error.peer, error.reason, code, error.sent))
        else:
            self._pool.record_reply(_now() - attempt.queued_at)
            if not reply.moved:
                self._pool.record_announcement(reply)
            attempt.complete(reply)
        finally:
            self._pool.release(attempt)
            self.idle_since = _now()


def _now() -> float:
    return asyncio.get_running_loop().time()
