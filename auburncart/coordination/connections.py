"""The connections to one upstream, each served by one task."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine

from eliot import write_traceback

from auburncart.coordination.health import failure_of
from auburncart.coordination.interfaces import UpstreamConnection, UpstreamDialer
from auburncart.coordination.observer import Observer
from auburncart.coordination.redial import Redialing
from auburncart.exception import UpstreamError
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.shards import Replica

__all__ = ["ConnectionPool", "Operation", "OperationSource"]

NEW_CONNECTION_SECONDS = 0.1
PROBE_INTERVAL_SECONDS = 1.0

Operation = Callable[[UpstreamConnection], Awaitable[UpstreamConnection | None]]


class OperationSource(ABC):
    """Supplies the operations that the connections of one upstream carry out."""

    @property
    @abstractmethod
    def has_pending(self) -> bool:
        """Whether an operation can start now."""

    @abstractmethod
    def next_operation(self) -> Operation:
        """Remove and return the next operation.

        It is called with a connection, and returns the connection if it can be used again.
        """

    @abstractmethod
    def fail_pending(self, failure: Failure) -> None:
        """Fail what is queued, since no connection can serve it."""

    @abstractmethod
    def record_dial_failure(self, failure: Failure) -> None:
        """Record that a dial failed."""


class ConnectionPool:
    """Opens connections for pending operations, up to this VM's share, and closes those above it.

    A task first opens its connection and only then takes an operation, so that no operation
    depends on a single dial.

    :param replica: the upstream.
    :param dialer: opens connections.
    :param share: returns the most connections that this VM may hold now.
    :param redialing: spaces the dials after a failed one.
    :param operations: supplies the operations.
    :param observer: told of the number of connections.
    """

    def __init__(
        self,
        replica: Replica,
        dialer: UpstreamDialer,
        share: Callable[[], int],
        redialing: Redialing,
        operations: OperationSource,
        observer: Observer,
    ) -> None:
        self._replica = replica
        self._dialer = dialer
        self._share = share
        self._redialing = redialing
        self._operations = operations
        self._observer = observer
        self._idle: deque[asyncio.Future[None]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._serving = 0
        self._used_at: dict[UpstreamConnection, float] = {}
        self._unused: set[UpstreamConnection | None] = set()
        self._dial_after = 0.0
        self._recovering = False
        self._closing = False
        self._probing = False
        self._failure_reason = ""
        self._unreachable_since: float | None = None

    @property
    def address(self) -> str:
        """``"IP:port"`` of the upstream."""
        return self._replica.address

    @property
    def connections(self) -> int:
        """Number of connections held or being opened."""
        return len(self._tasks)

    @property
    def ready(self) -> bool:
        """Whether a new operation can be served."""
        return not (self._closing or self._recovering or self._share() == 0)

    @property
    def unreachable_since(self) -> float | None:
        """Loop time in seconds of the first failed dial since the last successful one, or None."""
        return self._unreachable_since

    def not_ready_failure(self) -> Failure:
        """Return the failure of an operation that can't be served."""
        reason = "closed" if self._closing else "this VM's share of its connections is 0"
        if self._recovering:
            reason = f"waiting to dial again after: {self._failure_reason}"
        return Failure(Step.CONNECT, self._replica.address, reason, FailureCode.UNREACHABLE, False)

    def serve_pending(self) -> None:
        """Wake or open a connection for pending operations, if the share allows it."""
        if not self._operations.has_pending or self._wake_idle():
            return
        now = asyncio.get_running_loop().time()
        may_open = self.ready and self.connections < self._share()
        if may_open and now >= self._dial_after:
            self._start_task(self._serve())

    def trim(self) -> None:
        """Close idle connections above this VM's share, after the share has changed."""
        for _ in range(self._serving - self._share()):
            self._wake_idle()
        if self._share() == 0:
            self._operations.fail_pending(self.not_ready_failure())
        self.serve_pending()

    def probe_while_draining(self, draining: Callable[[], bool]) -> None:
        """Dial at intervals while an upstream drains; a refused dial tells that it has ended.

        :param draining: returns whether it still drains, as far as is known.
        """
        if not (self._probing or self._closing):
            self._probing = True
            self._start_task(self._probe(draining))
            while self._wake_idle():
                pass

    async def close(self) -> None:
        """End all tasks; operations that are running or pending fail."""
        self._closing = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._operations.fail_pending(self.not_ready_failure())

    async def dial(self) -> UpstreamConnection:
        """Open a connection, in place of one that an operation has dropped.

        :raises UpstreamError: the upstream could not be reached.
        """
        connection = await self._dialer.connect(self._replica)
        self._mark_used(connection)
        self._unused.add(connection)
        self._unreachable_since = None
        return connection

    def is_new(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection was opened just now and has not been used yet."""
        return connection in self._unused and self.idle_seconds(connection) < NEW_CONNECTION_SECONDS

    def idle_seconds(self, connection: UpstreamConnection) -> float:
        """Return the time since a connection was opened or last used."""
        now = asyncio.get_running_loop().time()
        return now - self._used_at.get(connection, now)

    async def drop(self, connection: UpstreamConnection) -> None:
        """Close a connection."""
        self._used_at.pop(connection, None)
        self._unused.discard(connection)
        await connection.close()

    def _wake_idle(self) -> bool:
        while self._idle:
            idle = self._idle.popleft()
            if not idle.done():
                idle.set_result(None)
                return True
        return False

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        self._serving += 1
        task = asyncio.create_task(work, name=f"upstream {self._replica.address}")
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        self._observer.connections_changed(self._replica.address, self.connections)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._observer.connections_changed(self._replica.address, self.connections)
        if self._closing:
            return
        if self._share() == 0:
            self._operations.fail_pending(self.not_ready_failure())
        self.serve_pending()

    async def _serve(self) -> None:
        """Carry out operations over one connection while it is within this VM's share."""
        connection: UpstreamConnection | None = None
        try:
            if self._recovering:
                connection = await self._redial()
            while self._serving <= self._share():
                if self._operations.has_pending and connection is None:
                    connection = await self.dial()
                elif not self._operations.has_pending and self._probing:
                    break
                elif not self._operations.has_pending:
                    await self._wait_idle()
                elif connection is not None:
                    connection = await self._operations.next_operation()(connection)
                    self._mark_used(connection)
                    self._unused.discard(connection)
        except UpstreamError as error:
            self._dial_failed(failure_of(error))
        except Exception as error:
            write_traceback()
            self._dial_failed(self._unexpected_failure(error))
        finally:
            self._serving -= 1
            if connection is not None:
                await self.drop(connection)

    def _mark_used(self, connection: UpstreamConnection | None) -> None:
        if connection is not None:
            self._used_at[connection] = asyncio.get_running_loop().time()

    async def _probe(self, draining: Callable[[], bool]) -> None:
        try:
            while draining():
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
                if self.connections <= self._share():
                    await self.drop(await self.dial())
        except UpstreamError as error:
            self._dial_failed(failure_of(error))
        finally:
            self._serving -= 1
            self._probing = False

    async def _wait_idle(self) -> None:
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._idle.append(wake)
        try:
            await wake
        finally:
            if wake in self._idle:
                self._idle.remove(wake)

    async def _redial(self) -> UpstreamConnection | None:
        """Dial with growing delays; return None if the upstream could not be reached in time."""
        try:
            for delay in self._redialing.delays():
                await asyncio.sleep(delay)
                try:
                    return await self.dial()
                except UpstreamError as error:
                    self._operations.record_dial_failure(failure_of(error))
        finally:
            self._recovering = False
        return None

    def _unexpected_failure(self, error: Exception) -> Failure:
        reason = f"unexpected {type(error).__name__}: {error}"
        return Failure(Step.CONNECT, self._replica.address, reason, FailureCode.UNREACHABLE, False)

    def _dial_failed(self, failure: Failure) -> None:
        """Delay further dials; connections that are open stay in use."""
        self._failure_reason = failure.reason
        self._unreachable_since = self._unreachable_since or asyncio.get_running_loop().time()
        self._operations.record_dial_failure(failure)
        now = asyncio.get_running_loop().time()
        if self._used_at:
            self._dial_after = now + next(self._redialing.delays(), 0.0)
            return
        self._operations.fail_pending(failure)
        if next(self._redialing.delays(), None) is not None and not self._recovering:
            self._recovering = True
            self._start_task(self._serve())
