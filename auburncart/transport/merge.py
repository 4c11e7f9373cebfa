"""Websockets between VMs over which one VM queries shards for another."""

import asyncio
import contextlib
import itertools
import random
from collections import deque
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection, broadcast
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.typing import Subprotocol

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.helper_links import MergeLink
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.merging import MergeServer
from auburncart.exception import LinkError, LinkTimeoutError, ProtocolError
from auburncart.protocol.merge import (
    ALL_QUESTIONS,
    decode_answer,
    decode_question,
    encode_answer,
    encode_cancellation,
    encode_question,
)
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import DependencyLost, DependencyRegained
from auburncart.state.merge import Accepted, Declined, MergeAnswer, MergeMessage, MergeQuestion
from auburncart.transport.clock import received_at
from auburncart.transport.websocket import BoundedClientConnection, WebSocketListener

__all__ = ["MergeListener", "WebSocketMergeLink"]

CONNECT_TIMEOUT_SECONDS = 1.0  # some round trips between regions; no search waits for it
PONG_TIMEOUT_SECONDS = 0.1  # four round trips between regions
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0  # finds a recovered VM within the settling time of a fault
MAX_MESSAGE_BYTES = 1_000_000  # a question with the longest body, or an answer
# Messages with scopes and acceptance; VMs of earlier versions do not offer it.
SCOPED_MERGE = Subprotocol("merge.2")
# Beyond two round trips, for other work of both event loops.
ACCEPTANCE_MARGIN_SECONDS = 0.02
MAX_TIMER_LAG_SECONDS = 0.01  # of an event loop that is not busy
SLOW_PONG_TIMEOUT_SECONDS = 1.0  # a VM that is only slow keeps its link
ROUND_TRIP_SAMPLE_WEIGHT = 0.1  # of a sample that is longer than the estimate


class _AnswerQueue:
    """Received answers to one question, not yet consumed."""

    def __init__(self) -> None:
        self._queue: deque[MergeAnswer | LinkError] = deque()
        self._changed = asyncio.Event()
        self.accepted = asyncio.Event()

    def put(self, answer: MergeAnswer | LinkError) -> None:
        """Add an answer, or the error that ends the question."""
        self._queue.append(answer)
        self.accepted.set()
        self.wake()

    def wake(self) -> None:
        """Wake a waiting task."""
        self._changed.set()

    async def wait(self, seconds: float) -> bool:
        """Return whether an answer or a pong arrives within a timeout."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def next(self) -> MergeAnswer:
        """Wait for the next answer.

        :raises LinkError: the link is lost.
        """
        while not self._queue:
            self._changed.clear()
            await self._changed.wait()
        answer = self._queue.popleft()
        if isinstance(answer, LinkError):
            raise answer
        return answer


class WebSocketMergeLink(MergeLink):
    """One websocket to one VM, with a task that keeps it open and receives answers.

    :param vm: the VM.
    :param journal: log of the losses and recoveries of the link.
    """

    def __init__(self, vm: EntryVm, journal: Journal) -> None:
        self._vm = vm
        self._journal = journal
        self._socket: ClientConnection | None = None
        self._silent = False
        self._declining = False
        self._lost_at: float | None = None
        self._round_trip = 0.0
        self._pending: dict[int, _AnswerQueue] = {}
        self._question_ids = itertools.count(1)
        self._task = asyncio.create_task(self._run(), name=f"merge link to {vm.name}")
        self._background_tasks: set[asyncio.Task[None]] = set()

    @property
    def usable(self) -> bool:
        """Whether the link is open and the VM has not fallen silent."""
        return self._socket is not None and not self._silent

    @property
    def declining(self) -> bool:
        """Whether the VM has said on this websocket that it declines all questions for now."""
        return self._declining

    @property
    def round_trip(self) -> float:
        """Round-trip time in seconds."""
        return self._round_trip

    @property
    def outstanding(self) -> int:
        """Number of questions in flight."""
        return len(self._pending)

    async def ask(
        self, question: MergeQuestion, ping_after: float, may_give_up: Callable[[], bool]
    ) -> AsyncIterator[MergeAnswer]:
        """Ask for some shards; closing the iterator cancels the question."""
        socket = self._socket
        if socket is None or self._silent:
            raise LinkError("not connected", step="connect", peer=self._vm.merge_address)
        question_id = next(self._question_ids)
        answers = self._pending[question_id] = _AnswerQueue()
        remaining = set(question.shards)
        try:
            scoped = socket.subprotocol == SCOPED_MERGE
            await socket.send(encode_question(question_id, question, scoped=scoped))
            if scoped:
                await self._wait_for_acceptance(socket, answers, may_give_up)
            if not await answers.wait(ping_after):
                await self._check_alive(socket, answers, may_give_up)
            while remaining:
                answer = await answers.next()
                if isinstance(answer, Declined):
                    remaining.clear()
                else:
                    remaining.difference_update(answer.shards, answer.failures)
                yield answer
        except ConnectionClosed as error:
            remaining.clear()
            raise self._link_error(error) from error
        finally:
            self._pending.pop(question_id, None)
            if remaining:
                self._cancel_question(socket, question_id)

    def close(self) -> None:
        """Close the link."""
        self._task.cancel()
        if self._socket is not None:
            self._socket.transport.abort()

    async def _run(self) -> None:
        """Keep the websocket open and receive answers; runs until cancelled."""
        backoff = Backoff(random.Random(), INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        while True:
            try:
                async with connect(
                    f"ws://{self._vm.merge_address}/",
                    open_timeout=CONNECT_TIMEOUT_SECONDS,
                    ping_interval=None,
                    compression=None,
                    max_size=MAX_MESSAGE_BYTES,
                    subprotocols=[SCOPED_MERGE],
                    proxy=None,
                    close_timeout=PONG_TIMEOUT_SECONDS,
                    create_connection=BoundedClientConnection,
                ) as socket:
                    self._record_regained()
                    self._declining = False
                    backoff.reset()
                    self._round_trip = await self._measure_round_trip(socket)
                    self._socket, self._silent = socket, False
                    reason = await self._receive(socket)
            except (OSError, TimeoutError, WebSocketException) as error:
                reason = f"{type(error).__name__}: {error}"
            finally:
                self._socket = None
                self._fail_pending()
            self._record_lost(reason)
            await asyncio.sleep(backoff.next_delay())

    async def _measure_round_trip(self, socket: ClientConnection) -> float:
        """Return the round-trip time in seconds."""
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            return await (await socket.ping())

    async def _receive(self, socket: ClientConnection) -> str:
        """Pass answers to the waiting questions; return why the websocket closed."""
        try:
            async for data in socket:
                question_id, answer = decode_answer(data if isinstance(data, bytes) else b"")
                if question_id == ALL_QUESTIONS:
                    self._set_declining(answer)
                    continue
                answers = self._pending.get(question_id)
                # A cancelled question may still be answered.
                if answers is None:
                    continue
                if isinstance(answer, Accepted):
                    answers.accepted.set()
                else:
                    answers.put(answer)
        except ProtocolError as error:
            return error.reason
        return "closed by the other side"

    def _set_declining(self, answer: MergeMessage) -> None:
        """Record whether the VM declines or accepts questions from now on."""
        self._declining = isinstance(answer, Declined)
        if isinstance(answer, Declined):
            self._record_lost(answer.reason)
        else:
            self._record_regained()

    async def _wait_for_acceptance(
        self, socket: ClientConnection, answers: _AnswerQueue, may_give_up: Callable[[], bool]
    ) -> None:
        """Wait until the VM works on a question, and measure the round trip.

        :raises LinkTimeoutError: the VM is slow or does not respond, and may be given up.
        """
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        timeout = 2.0 * self._round_trip + ACCEPTANCE_MARGIN_SECONDS
        if not await self._accepted_within(timeout, answers):
            reason = f"not accepted within {timeout:.3f} s"
            self._check_silent(socket, reason)
            if may_give_up():
                raise LinkTimeoutError(reason, step="accept", peer=self._vm.merge_address)
            await answers.accepted.wait()
        sample = loop.time() - sent_at
        weight = ROUND_TRIP_SAMPLE_WEIGHT if sample > self._round_trip else 1.0
        self._round_trip += weight * (min(sample, timeout) - self._round_trip)

    async def _accepted_within(self, timeout: float, answers: _AnswerQueue) -> bool:
        """Return whether the VM accepts a question within a timeout.

        If this VM is so busy that the timeout itself ends late, the acceptance may have come in
        unread: it is waited for once more.
        """
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + timeout
            try:
                async with asyncio.timeout_at(due):
                    await answers.accepted.wait()
            except TimeoutError:
                if loop.time() < due + MAX_TIMER_LAG_SECONDS:
                    return False
            else:
                return True

    def _check_silent(self, socket: ClientConnection, reason: str) -> None:
        """Use the link no more until the VM responds to a ping."""
        if not self._silent:
            self._silent = True
            self._record_lost(reason)
            self._start_task(self._close_if_silent(socket), "check a link")

    async def _close_if_silent(self, socket: ClientConnection) -> None:
        """Close the link unless the VM responds; one that is only slow keeps it."""
        try:
            async with asyncio.timeout(SLOW_PONG_TIMEOUT_SECONDS):
                await (await socket.ping())
        except (TimeoutError, ConnectionClosed):
            socket.transport.abort()
        else:
            self._silent = False
            self._record_regained()

    async def _check_alive(
        self, socket: ClientConnection, answers: _AnswerQueue, may_give_up: Callable[[], bool]
    ) -> None:
        """Wait for a pong or an answer.

        :raises LinkTimeoutError: neither arrives, and the VM may be given up.
        """
        pong = asyncio.ensure_future(await socket.ping())
        pong.add_done_callback(lambda done: answers.wake())
        if await answers.wait(PONG_TIMEOUT_SECONDS):
            return
        reason = f"no pong or answer for {PONG_TIMEOUT_SECONDS} s"
        self._check_silent(socket, reason)
        if may_give_up():
            raise LinkTimeoutError(reason, step="reply", peer=self._vm.merge_address)

    def _cancel_question(self, socket: ClientConnection, question_id: int) -> None:
        async def send() -> None:
            with contextlib.suppress(ConnectionClosed):  # closing also cancels the question
                await socket.send(encode_cancellation(question_id))

        self._start_task(send(), "cancel a question")

    def _start_task(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        task = asyncio.create_task(coroutine, name=name)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _fail_pending(self) -> None:
        for answers in self._pending.values():
            answers.put(self._link_error("the link was closed"))

    def _record_lost(self, reason: str) -> None:
        if self._lost_at is None:
            self._lost_at = asyncio.get_running_loop().time()
            self._journal.record(DependencyLost(self._dependency, reason))

    def _record_regained(self) -> None:
        if self._lost_at is not None:
            downtime = asyncio.get_running_loop().time() - self._lost_at
            self._lost_at = None
            self._journal.record(DependencyRegained(self._dependency, downtime))

    def _link_error(self, reason: object) -> LinkError:
        return LinkError(str(reason), step="reply", peer=self._vm.merge_address)

    @property
    def _dependency(self) -> str:
        return f"merging VM {self._vm.name}"


class MergeListener(WebSocketListener):
    """Answers other VMs' questions, with one task per websocket and per question.

    :param address: ``"IP:port"`` to listen on.
    :param server: queries the shards.
    """

    def __init__(self, address: str, server: MergeServer) -> None:
        super().__init__(address, MAX_MESSAGE_BYTES, [SCOPED_MERGE])
        self._server = server
        self._declining = False

    def announce(self) -> None:
        """Tell the other VMs if this one has begun or ceased to decline questions."""
        declining = bool(self._server.decline_reason)
        if declining != self._declining:
            self._declining = declining
            broadcast(self.sockets, self._availability())

    async def _serve(self, socket: ServerConnection) -> None:
        """Start a task for each question, and cancel it when the question is cancelled."""
        asker = "{}:{}".format(*socket.remote_address[:2])
        questions: dict[int, asyncio.Task[None]] = {}
        try:
            if self._declining:
                await socket.send(self._availability())
            async for data in socket:
                question_id, question = decode_question(data if isinstance(data, bytes) else b"")
                if question is None:
                    cancelled = questions.get(question_id)
                    if cancelled is not None:
                        cancelled.cancel()
                    continue
                task = asyncio.create_task(
                    self._answer(socket, question_id, question, asker, received_at())
                )
                questions[question_id] = task
                task.add_done_callback(_remover(questions, question_id))
                if socket.subprotocol == SCOPED_MERGE:
                    await socket.send(encode_answer(question_id, Accepted()))
        except (ConnectionClosed, ProtocolError):
            pass  # the other VM has stopped or speaks another version; the link is closed
        finally:
            for task in questions.values():
                task.cancel()

    def _availability(self) -> bytes:
        """Return the message that says whether this VM declines all questions."""
        reason = self._server.decline_reason
        return encode_answer(ALL_QUESTIONS, Declined(reason) if reason else Accepted())

    async def _answer(
        self,
        socket: ServerConnection,
        question_id: int,
        question: MergeQuestion,
        asker: str,
        received_at: float,
    ) -> None:
        async with contextlib.aclosing(
            self._server.answer(question, asker, received_at)
        ) as answers:  # type: ignore[type-var]
            async for answer in answers:
                try:
                    await socket.send(encode_answer(question_id, answer))
                except ConnectionClosed:
                    return  # the asking VM has gone


def _remover(
    questions: dict[int, asyncio.Task[None]], question_id: int
) -> Callable[[asyncio.Task[None]], None]:
    def remove(task: asyncio.Task[None]) -> None:
        questions.pop(question_id, None)

    return remove
