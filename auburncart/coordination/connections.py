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

__all__ = ["ConnectionPool", "Errand", "Errands"]

NEW_SECONDS = 0.1
WATCH_SECONDS = 1.0

Errand = Callable[[UpstreamConnection], Awaitable[UpstreamConnection | None]]


class Errands(ABC):
    """What the connections of one upstream have to do."""

    @property
    @abstractmethod
    def pending(self) -> bool:
        """Whether a connection would find something to do now."""

    @abstractmethod
    def next(self) -> Errand:
        """Take the next errand.

        It is called with a connection, and returns the connection if it can be used again.
        """

    @abstractmethod
    def strand(self, failure: Failure) -> None:
        """Take in that no connection can take up what waits."""

    @abstractmethod
    def note(self, failure: Failure) -> None:
        """Take in that a dial failed."""


class ConnectionPool:
    """Opens connections for errands, up to this VM's share, and closes them above it.

    A task first opens its connection and only then takes an errand, so that no errand depends on
    one dial.

    :param replica: the upstream.
    :param dialer: opens connections.
    :param share: returns the most connections that this VM may hold now.
    :param redialing: spaces the dials after a refused one.
    :param errands: what there is to do.
    :param observer: told of the number of connections.
    """

    def __init__(
        self,
        replica: Replica,
        dialer: UpstreamDialer,
        share: Callable[[], int],
        redialing: Redialing,
        errands: Errands,
        observer: Observer,
    ) -> None:
        self._replica = replica
        self._dialer = dialer
        self._share = share
        self._redialing = redialing
        self._errands = errands
        self._observer = observer
        self._idle: deque[asyncio.Future[None]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._serving = 0
        self._used_at: dict[UpstreamConnection, float] = {}
        self._unused: set[UpstreamConnection | None] = set()
        self._dial_after = 0.0
        self._recovering = False
        self._closing = False
        self._watching = False
        self._refusal = ""
        self._refused_since: float | None = None

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
        """Whether an errand can be taken up now."""
        return not (self._closing or self._recovering or self._share() == 0)

    @property
    def refused_since(self) -> float | None:
        """Loop time in seconds of the first refused dial since the last good one, or None."""
        return self._refused_since

    def unready(self) -> Failure:
        """Return the failure of an errand that can't be taken up."""
        reason = "closed" if self._closing else "this VM may hold no connection to it"
        if self._recovering:
            reason = f"left alone for a moment after: {self._refusal}"
        return Failure(Step.CONNECT, self._replica.address, reason, FailureCode.UNREACHABLE, False)

    def engage(self) -> None:
        """See that a connection takes up what is pending, if one may."""
        if not self._errands.pending or self._wake():
            return
        now = asyncio.get_running_loop().time()
        may_open = self.ready and self.connections < self._share()
        if may_open and now >= self._dial_after:
            self._open(self._serve())

    def trim(self) -> None:
        """Close idle connections above this VM's share, after the share has changed."""
        for _ in range(self._serving - self._share()):
            self._wake()
        if self._share() == 0:
            self._errands.strand(self.unready())
        self.engage()

    def watch_end(self, leaving: Callable[[], bool]) -> None:
        """Dial now and then while an upstream leaves; a refused dial tells that it has ended.

        :param leaving: returns whether it still leaves, as far as is known.
        """
        if not (self._watching or self._closing):
            self._watching = True
            self._open(self._watch_end(leaving))
            while self._wake():
                pass

    async def close(self) -> None:
        """End all tasks; errands at work fail, and those pending are stranded."""
        self._closing = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._errands.strand(self.unready())

    async def dial(self) -> UpstreamConnection:
        """Open a connection in place of the one that an errand was given.

        :raises UpstreamError: the upstream could not be reached.
        """
        connection = await self._dialer.connect(self._replica)
        self._mark_used(connection)
        self._unused.add(connection)
        self._refused_since = None
        return connection

    def is_new(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection was opened just now and has carried nothing yet."""
        return connection in self._unused and self.idle_seconds(connection) < NEW_SECONDS

    def idle_seconds(self, connection: UpstreamConnection) -> float:
        """Return the time since a connection was opened or last used."""
        now = asyncio.get_running_loop().time()
        return now - self._used_at.get(connection, now)

    async def drop(self, connection: UpstreamConnection) -> None:
        """Close a connection."""
        self._used_at.pop(connection, None)
        self._unused.discard(connection)
        await connection.close()

    def _wake(self) -> bool:
        while self._idle:
            idle = self._idle.popleft()
            if not idle.done():
                idle.set_result(None)
                return True
        return False

    def _open(self, work: Coroutine[None, None, None]) -> None:
        self._serving += 1
        task = asyncio.create_task(work, name=f"upstream {self._replica.address}")
        self._tasks.add(task)
        task.add_done_callback(self._closed)
        self._observer.connections_changed(self._replica.address, self.connections)

    def _closed(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._observer.connections_changed(self._replica.address, self.connections)
        if self._closing:
            return
        if self._share() == 0:
            self._errands.strand(self.unready())
        self.engage()

    async def _serve(self) -> None:
        """Serve the queue over one connection until it is above this VM's share."""
        connection: UpstreamConnection | None = None
        try:
            if self._recovering:
                connection = await self._redial()
            while self._serving <= self._share():
                if self._errands.pending and connection is None:
                    connection = await self.dial()
                elif not self._errands.pending and self._watching:
                    break
                elif not self._errands.pending:
                    await self._wait()
                elif connection is not None:
                    connection = await self._errands.next()(connection)
                    self._mark_used(connection)
                    self._unused.discard(connection)
        except UpstreamError as error:
            self._refused(failure_of(error))
        except Exception as error:
            write_traceback()
            self._refused(self._unexpected(error))
        finally:
            self._serving -= 1
            if connection is not None:
                await self.drop(connection)

    def _mark_used(self, connection: UpstreamConnection | None) -> None:
        if connection is not None:
            self._used_at[connection] = asyncio.get_running_loop().time()

    async def _watch_end(self, leaving: Callable[[], bool]) -> None:
        try:
            while leaving():
                await asyncio.sleep(WATCH_SECONDS)
                if self.connections <= self._share():
                    await self.drop(await self.dial())
        except UpstreamError as error:
            self._refused(failure_of(error))
        finally:
            self._serving -= 1
            self._watching = False

    async def _wait(self) -> None:
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._idle.append(wake)
        try:
            await wake
        finally:
            if wake in self._idle:
                self._idle.remove(wake)

    async def _redial(self) -> UpstreamConnection | None:
        """Dial with growing delays; None if the upstream did not come back."""
        try:
            for delay in self._redialing.delays():
                await asyncio.sleep(delay)
                try:
                    return await self.dial()
                except UpstreamError as error:
                    self._errands.note(failure_of(error))
        finally:
            self._recovering = False
        return None

    def _unexpected(self, error: Exception) -> Failure:
        reason = f"unexpected {type(error).__name__}: {error}"
        return Failure(Step.CONNECT, self._replica.address, reason, FailureCode.UNREACHABLE, False)

    def _refused(self, failure: Failure) -> None:
        """Leave the upstream alone after a failed dial; connections that stand go on."""
        self._refusal = failure.reason
        self._refused_since = self._refused_since or asyncio.get_running_loop().time()
        self._errands.note(failure)
        now = asyncio.get_running_loop().time()
        if self._used_at:
            self._dial_after = now + next(self._redialing.delays(), 0.0)
            return
        self._errands.strand(failure)
        if next(self._redialing.delays(), None) is not None and not self._recovering:
            self._recovering = True
            self._open(self._serve())
