"""Websockets between VMs, over which one asks shards for another."""

import asyncio
import contextlib
import itertools
import random
from collections import deque
from collections.abc import AsyncIterator, Callable

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.delegation import MergeLink
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.merging import MergeServer
from auburncart.exception import LinkError, LinkTimeoutError, ProtocolError
from auburncart.protocol.merge import (
    decode_answer,
    decode_question,
    encode_answer,
    encode_cancellation,
    encode_question,
)
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import DependencyLost, DependencyRegained
from auburncart.state.merge import Declined, MergeAnswer, MergeQuestion
from auburncart.transport.websocket import WebSocketListener

__all__ = ["MergeListener", "WebSocketMergeLink"]

CONNECT_SECONDS = 1.0  # some round trips between regions; no search waits for it
PONG_SECONDS = 0.1  # four times the way between regions and back
FIRST_BACKOFF_SECONDS = 0.2
MOST_BACKOFF_SECONDS = 2.0  # a VM that is back is found within the settling time of a fault
MOST_BYTES = 1_000_000  # of a question with the longest body, or of an answer


class _Answers:
    """Answers to one question that nobody has taken yet."""

    def __init__(self) -> None:
        self._queue: deque[MergeAnswer | LinkError] = deque()
        self._stirred = asyncio.Event()

    def put(self, answer: MergeAnswer | LinkError) -> None:
        """Add an answer, or why there will be none."""
        self._queue.append(answer)
        self.wake()

    def wake(self) -> None:
        """End a wait."""
        self._stirred.set()

    async def wait(self, seconds: float) -> bool:
        """Return whether an answer or a sign of life comes within a time."""
        try:
            async with asyncio.timeout(seconds):
                await self._stirred.wait()
        except TimeoutError:
            return False
        return True

    async def next(self) -> MergeAnswer:
        """Wait for the next answer.

        :raises LinkError: there will be none.
        """
        while not self._queue:
            self._stirred.clear()
            await self._stirred.wait()
        answer = self._queue.popleft()
        if isinstance(answer, LinkError):
            raise answer
        return answer


class WebSocketMergeLink(MergeLink):
    """One websocket to one VM, with a task that keeps it open and takes the answers in.

    :param vm: the VM.
    :param journal: told when the VM is lost and regained.
    """

    def __init__(self, vm: EntryVm, journal: Journal) -> None:
        self._vm = vm
        self._journal = journal
        self._socket: ClientConnection | None = None
        self._round_trip = 0.0
        self._waiting: dict[int, _Answers] = {}
        self._numbers = itertools.count(1)
        self._task = asyncio.create_task(self._run(), name=f"merge link to {vm.name}")
        self._withdrawals: set[asyncio.Task[None]] = set()

    @property
    def usable(self) -> bool:
        """Whether the VM can be asked now."""
        return self._socket is not None

    @property
    def round_trip(self) -> float:
        """Seconds of the way to the VM and back, as measured when the link was opened."""
        return self._round_trip

    @property
    def outstanding(self) -> int:
        """Number of questions at work there."""
        return len(self._waiting)

    async def ask(self, question: MergeQuestion, ping_after: float) -> AsyncIterator[MergeAnswer]:
        """Ask for some shards; closing the iterator withdraws the question."""
        socket = self._socket
        if socket is None:
            raise LinkError("not connected", step="connect", peer=self._vm.merge_address)
        number = next(self._numbers)
        answers = self._waiting[number] = _Answers()
        left = set(question.shards)
        try:
            await socket.send(encode_question(number, question))
            if not await answers.wait(ping_after):
                await self._prove_alive(socket, answers)
            while left:
                answer = await answers.next()
                if isinstance(answer, Declined):
                    left.clear()
                else:
                    left.difference_update(answer.shards, answer.failures)
                yield answer
        except ConnectionClosed as error:
            left.clear()
            raise self._lost(error) from error
        finally:
            self._waiting.pop(number, None)
            if left:
                self._withdraw(socket, number)

    def close(self) -> None:
        """End the link."""
        self._task.cancel()
        if self._socket is not None:
            self._socket.transport.abort()

    async def _run(self) -> None:
        """Keep the websocket open and take answers in; runs until cancelled."""
        backoff = Backoff(random.Random(), FIRST_BACKOFF_SECONDS, MOST_BACKOFF_SECONDS)
        lost_at: float | None = None
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with connect(
                    f"ws://{self._vm.merge_address}/",
                    open_timeout=CONNECT_SECONDS,
                    ping_interval=None,
                    compression=None,
                    max_size=MOST_BYTES,
                    proxy=None,
                    close_timeout=PONG_SECONDS,
                ) as socket:
                    if lost_at is not None:
                        gone = loop.time() - lost_at
                        self._journal.record(DependencyRegained(self._dependency, gone))
                        lost_at = None
                    backoff.reset()
                    self._round_trip = await self._measure(socket)
                    self._socket = socket
                    reason = await self._receive(socket)
            except (OSError, TimeoutError, WebSocketException) as error:
                reason = f"{type(error).__name__}: {error}"
            finally:
                self._socket = None
                self._end_waiting()
            if lost_at is None:
                lost_at = loop.time()
                self._journal.record(DependencyLost(self._dependency, reason))
            await asyncio.sleep(backoff.next_delay())

    async def _measure(self, socket: ClientConnection) -> float:
        """Return the time of the way to the VM and back."""
        async with asyncio.timeout(CONNECT_SECONDS):
            return await (await socket.ping())

    async def _receive(self, socket: ClientConnection) -> str:
        """Hand answers to those who wait for them; return why there are no more."""
        try:
            async for data in socket:
                number, answer = decode_answer(data if isinstance(data, bytes) else b"")
                answers = self._waiting.get(number)
                # A question that was withdrawn may be answered all the same.
                if answers is not None:
                    answers.put(answer)
        except ProtocolError as error:
            return error.reason
        return "closed by the other side"

    async def _prove_alive(self, socket: ClientConnection, answers: _Answers) -> None:
        """Wait for a pong or an answer, and end the link if neither comes.

        :raises LinkTimeoutError: the VM stands still.
        """
        pong = asyncio.ensure_future(await socket.ping())
        pong.add_done_callback(lambda done: answers.wake())
        if await answers.wait(PONG_SECONDS):
            return
        self._socket = None
        socket.transport.abort()
        reason = f"no sign of life for {PONG_SECONDS} s"
        raise LinkTimeoutError(reason, step="reply", peer=self._vm.merge_address)

    def _withdraw(self, socket: ClientConnection, number: int) -> None:
        async def send() -> None:
            with contextlib.suppress(ConnectionClosed):  # its end withdraws the question as well
                await socket.send(encode_cancellation(number))

        task = asyncio.create_task(send(), name="withdraw a question")
        self._withdrawals.add(task)
        task.add_done_callback(self._withdrawals.discard)

    def _end_waiting(self) -> None:
        for answers in self._waiting.values():
            answers.put(self._lost("the link has ended"))

    def _lost(self, reason: object) -> LinkError:
        return LinkError(str(reason), step="reply", peer=self._vm.merge_address)

    @property
    def _dependency(self) -> str:
        return f"merging VM {self._vm.name}"


class MergeListener(WebSocketListener):
    """Answers other VMs, with one task for each websocket and each question on it.

    :param address: ``"IP:port"`` to listen on.
    :param server: asks the shards.
    """

    def __init__(self, address: str, server: MergeServer) -> None:
        super().__init__(address, MOST_BYTES)
        self._server = server

    async def _serve(self, socket: ServerConnection) -> None:
        """Begin each question, and end those that are withdrawn."""
        asker = "{}:{}".format(*socket.remote_address[:2])
        questions: dict[int, asyncio.Task[None]] = {}
        try:
            async for data in socket:
                number, question = decode_question(data if isinstance(data, bytes) else b"")
                if question is None:
                    withdrawn = questions.get(number)
                    if withdrawn is not None:
                        withdrawn.cancel()
                    continue
                task = asyncio.create_task(self._answer(socket, number, question, asker))
                questions[number] = task
                task.add_done_callback(_forget(questions, number))
        except (ConnectionClosed, ProtocolError):
            pass  # the other VM has ended, or speaks another version: its link ends
        finally:
            for task in questions.values():
                task.cancel()

    async def _answer(
        self, socket: ServerConnection, number: int, question: MergeQuestion, asker: str
    ) -> None:
        async with contextlib.aclosing(self._server.answer(question, asker)) as answers:  # type: ignore[type-var]
            async for answer in answers:
                try:
                    await socket.send(encode_answer(number, answer))
                except ConnectionClosed:
                    return  # nobody waits for the answer any more


def _forget(
    questions: dict[int, asyncio.Task[None]], number: int
) -> Callable[[asyncio.Task[None]], None]:
    def forget(task: asyncio.Task[None]) -> None:
        questions.pop(number, None)

    return forget
