"""Stand-in for a replica that implements its published protocol, with injectable faults."""

import asyncio
import random
from typing import NamedTuple

from auburncart.daemon.tests.soak.history import Announced, Arrival, History
from auburncart.daemon.tests.soak.tcp_proxy import TcpProxy
from auburncart.daemon.tests.soak.wire import (
    Message,
    encode_reply,
    read_message,
    records,
    reply_stamp,
)
from auburncart.transport.client import split_address

__all__ = ["Replica", "ReplicaFaults"]

SLOTS = 2
QUEUE = 12
WORK_SECONDS = 0.008
POISON = "poison"  # a path that contains it crashes the replica
CRASH_SECONDS = 1.5
ENDLESS_INTERVAL_SECONDS = 0.001
# Beginnings of replies, each with the bytes that follow until the connection is closed.
ENDLESS_REPLIES = (
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
    (b"HTTP/1.1 200 ", b"x" * 16_384),
    (b"HTTP/1.1 200 -\r\n", (b"X-Filler: " + b"x" * 1000 + b"\r\n") * 16),
    (b"HTTP/1.1 200 -\r\nX-Filler: ", b"x" * 16_384),
    (b"HTTP/1.1 200 -\r\n\r\n", b"x" * 16_384),
    (b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 2700),
    (b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Filler: x\r\n" * 1250),
)


class ReplicaFaults(NamedTuple):
    """Faults of a replica.

    :param slowdown: factor on the duration of its work.
    :param lost_share: share of the replies that are lost after the work.
    :param corrupt_share: share of the replies that are truncated or sent twice.
    :param shed_share: share of the requests that are shed.
    :param error_share: share of the requests that fail after the work.
    :param cut_share: share of the replies that break off at any byte.
    :param endless_share: share of the replies that do not end.
    :param request_limit: requests per second that it says it accepts, 0 to say nothing.
    :param pause: seconds for which it wants no requests from a VM whose request it sheds.
    :param leaving: whether it says that it leaves.
    """

    slowdown: float = 1.0
    lost_share: float = 0.0
    corrupt_share: float = 0.0
    shed_share: float = 0.0
    error_share: float = 0.0
    cut_share: float = 0.0
    endless_share: float = 0.0
    request_limit: float = 0.0
    pause: float = 0.0
    leaving: bool = False


class Replica:
    """One replica behind a proxy.

    :param instance: its identifier.
    :param address: ``"IP:port"`` at which it listens.
    :param proxy: proxy through which VMs reach it; reusing another replica's reuses its address.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        history: History,
        rng: random.Random,
        address: str,
        proxy: TcpProxy,
    ) -> None:
        self.service = service
        self.instance = instance
        self.faults = ReplicaFaults()
        self.born = 1
        self._history = history
        self._rng = rng
        self._address = address
        self.proxy = proxy
        self.proxy.target = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._limited = False
        self._starting = asyncio.Lock()
        self._ended = False

    async def start(self) -> None:
        """Listen, unless another fault has already started the replica again."""
        async with self._starting:
            serving = self._server is not None and self._server.is_serving()
            if not serving and not self._ended:
                address = split_address(self._address)
                self._server = await asyncio.start_server(self._serve, *address)
                await self.proxy.listen()

    def stop(self) -> None:
        """Stop immediately, as in a crash; connections are refused until the next start."""
        if self._server is not None:
            self._server.close()
        if self.proxy.target == self._address:
            self.proxy.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()

    def end(self) -> None:
        """Stop for good; a start that a crash has scheduled does nothing."""
        self._ended = True
        self.stop()

    def entry(self, data_centre: str, state: str = "ready") -> dict[str, object]:
        """Return its entry for the store."""
        return {
            "service": self.service, "address": self.proxy.address, "zone": data_centre,
            "configVersion": "v1", "slots": SLOTS, "state": state, "coldLeftMs": 0,
            "sequence": 1, "born": self.born,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self._handle(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # the VM has closed the connection, or the run has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        chance = self._rng.random
        read_at = asyncio.get_running_loop().time()
        not_run = {
            "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
            "X-Not-Executed": "1",
            "X-Instance-Id": self.instance,
        }
        if request.headers.get("x-target-instance") != self.instance:
            self._note(request, read_at, ran=False)
            writer.write(encode_reply(421, headers=not_run))
            return True
        if self._waiting >= QUEUE or chance() < self.faults.shed_share:
            self._note(request, read_at, ran=False)
            writer.write(encode_reply(503, headers=not_run | self._announce(request, shed=True)))
            return True
        self._waiting += 1
        try:
            async with self._slots:
                # A request whose connection was closed while it waited is dropped.
                self._note(request, read_at, ran=not reader.at_eof())
                if reader.at_eof():
                    return False
                if POISON in request.start_line[1]:
                    self._crash(request)
                    return False
                if not await self._work(reader):
                    return False
        finally:
            self._waiting -= 1
        if self.faults.endless_share and self._rng.random() < self.faults.endless_share:
            await self._send_endless(writer)
            return False
        return self._answer(request, writer)

    async def _send_endless(self, writer: asyncio.StreamWriter) -> None:
        """Send a reply that does not end until the connection is closed."""
        beginning, rest = self._rng.choice(ENDLESS_REPLIES)
        writer.write(beginning)
        while not writer.is_closing():
            writer.write(rest)
            await writer.drain()
            await asyncio.sleep(ENDLESS_INTERVAL_SECONDS)

    def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = request.headers["x-attempt-id"]
        status = 500 if self._rng.random() < self.faults.error_share else 200
        headers = {
            "X-Attempt-Id": request_id,
            "X-Server-Stamp": reply_stamp(self.service, request_id, status),
            **self._announce(request),
        }
        encoded = encode_reply(status, records(self.service, request_id), headers)
        if self._rng.random() < self.faults.lost_share:
            return False
        if self.faults.cut_share and self._rng.random() < self.faults.cut_share:
            writer.write(encoded[: self._rng.randrange(len(encoded))])
            return False
        if self._rng.random() < self.faults.corrupt_share:
            whole = self._rng.random() < 0.5
            writer.write(encoded + encoded if whole else encoded[:-3])
            return whole
        writer.write(encoded)
        return True

    def _announce(self, request: Message, *, shed: bool = False) -> dict[str, str]:
        """Return the headers by which it says something about itself, and record them."""
        faults = self.faults
        pause = faults.pause if shed else 0.0
        headers = {}
        if faults.request_limit:
            headers["Server-Limit"] = str(faults.request_limit)
        if faults.leaving:
            headers["Server-Leaving"] = "1"
        if pause:
            headers["Retry-After"] = str(pause)
        # A reply without a limit ends the one that was named before.
        if headers or self._limited:
            self._limited = bool(faults.request_limit)
            self._history.announced.append(
                Announced(
                    asyncio.get_running_loop().time(),
                    request.headers.get("x-attempt-id", ""),
                    self.instance,
                    faults.request_limit,
                    pause,
                    faults.leaving,
                )
            )
        return headers

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        """Simulate the work; return whether the connection stayed open."""
        work = WORK_SECONDS * self._rng.uniform(0.5, 2.0) * self.faults.slowdown
        closed = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait((closed,), timeout=work)
        closed.cancel()
        # A cancelled read ends only after the loop has delivered the cancellation.
        await asyncio.wait((closed,))
        return not done

    def _note(self, request: Message, read_at: float, *, ran: bool) -> None:
        self._history.arrivals.append(
            Arrival(
                read_at,
                request.headers.get("x-attempt-id", ""),
                self.service,
                self.instance,
                request.start_line[1],
                request.body,
                ran,
                int(request.headers.get("x-deadline-remaining", "999999")) / 1000.0,
            )
        )

    def _crash(self, request: Message) -> None:
        loop = asyncio.get_running_loop()
        self._history.crashes.setdefault(request.start_line[1], []).append(loop.time())
        self.stop()
        loop.call_later(CRASH_SECONDS, lambda: loop.create_task(self.start()))
