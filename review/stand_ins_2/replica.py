"""Stand-in for a replica by the published protocol, which may crash, shed and name limits."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from typing import NamedTuple

from auburncart.daemon.tests.soak.wire import (
    Message,
    encode_reply,
    read_message,
    records,
    reply_stamp,
)
from review.stand_ins_2.store import Store

BEAT_SECONDS = 1.2  # `beatIntervalMs`
SILENT_BEATS = 3  # after which the store removes the entry
QUEUE = 12
POISON = "poison"  # a path that contains it crashes the replica that runs it
_births = itertools.count(1_772_390_000_000)


class Arrival(NamedTuple):
    """A request that a replica read.

    :param at: loop time at which it was read.
    :param ran: whether the replica began to run it.
    """

    at: float
    request_id: str
    service: str
    instance: str
    target: str
    ran: bool


class Replica:
    """One replica, which listens directly, and its entry in the store.

    :param store: the store in which it registers.
    :param arrivals: receives what it reads.
    :param slots: number of requests that it runs at a time.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        address: str,
        store: Store,
        arrivals: list[Arrival],
        slots: int = 2,
    ) -> None:
        self.service = service
        self.instance = instance
        self.address = address
        self.work_seconds = 0.01
        self.crash_after = 0.0  # seconds for which it runs a request that crashes it
        self.down_seconds = 2.5  # after a crash
        self.pause = 0.0  # seconds of the Retry-After with which it sheds all requests, 0 for none
        self.shed_seconds = 0.0  # for which a request waits before it is shed
        self.limit = 0.0  # requests per second that it names, 0 for none
        self.crashes: list[tuple[float, str]] = []
        self.answered: dict[str, float] = {}  # loop times by request id
        self.on_crash: Callable[[str], None] = lambda target: None
        self._store = store
        self._arrivals = arrivals
        self._born = next(_births)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._runs: set[asyncio.Task[None]] = set()
        self._slot_count = slots
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._ended = False

    @property
    def running(self) -> int:
        """Number of requests that it runs or lets wait."""
        return self._waiting

    @property
    def serving(self) -> bool:
        """Whether its process runs."""
        return self._server is not None

    async def start(self) -> None:
        """Listen and register."""
        host, port = self.address.rsplit(":", 1)
        self._slots, self._waiting = asyncio.Semaphore(self._slot_count), 0
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.register()

    def register(self) -> None:
        """Write the entry in the store."""
        self._store.write(
            "servers",
            self.instance,
            {
                "service": self.service, "address": self.address, "zone": "dc1",
                "configVersion": "v1", "slots": self._slot_count, "state": "ready", "coldLeftMs": 0,
                "sequence": 1, "born": self._born,
            },
        )  # fmt: skip

    def expire(self) -> None:
        """Remove the entry, as the store does after some silent intervals."""
        self._store.remove("servers", self.instance)

    def end(self) -> None:
        """Stop for good."""
        self._ended = True
        self._stop()

    def crash(self, target: str) -> None:
        """Stop at once, and start again after some seconds as a new process."""
        loop = asyncio.get_running_loop()
        self.crashes.append((loop.time(), target))
        self._stop()
        self.on_crash(target)
        loop.call_later(self.down_seconds, lambda: loop.create_task(self._restart()))

    async def _restart(self) -> None:
        if not self._ended and self._server is None:
            self._born = next(_births)
            await self.start()

    def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._runs):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._handle(request))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # the VM has closed the connection, or the replica has stopped
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message) -> bytes:
        """Return the answer to one request."""
        read_at, born = asyncio.get_running_loop().time(), self._born
        request_id = request.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": request_id}
        if self.limit:
            headers["Server-Limit"] = f"{self.limit:g}"
        if request.headers.get("x-target-instance") != self.instance:
            self._note(request, read_at, ran=False)
            return encode_reply(421, headers=headers | {"X-Instance-Id": self.instance})
        if self.pause or self._waiting >= self._slot_count + QUEUE:
            self._note(request, read_at, ran=False)
            await asyncio.sleep(self.shed_seconds)
            headers |= {"X-Not-Executed": "1"}
            if self.pause:
                headers["Retry-After"] = f"{self.pause:g}"
            return encode_reply(503, headers=headers)
        self._waiting += 1
        try:
            async with self._slots:
                if not self.serving or born != self._born:
                    raise asyncio.CancelledError  # the process that read it has crashed
                self._note(request, read_at, ran=True)
                if POISON in request.start_line[1]:
                    # Runs on when the connection closes, as not all replicas drop a request then.
                    task = asyncio.create_task(self._run_poison(request.start_line[1]))
                    self._runs.add(task)
                    task.add_done_callback(self._runs.discard)
                    with contextlib.suppress(asyncio.CancelledError):
                        await asyncio.shield(task)
                    raise asyncio.CancelledError
                await asyncio.sleep(self.work_seconds)
        finally:
            if born == self._born:
                self._waiting -= 1
        headers["X-Server-Stamp"] = reply_stamp(self.service, request_id)
        self.answered[request_id] = asyncio.get_running_loop().time()
        return encode_reply(200, records(self.service, request_id), headers)

    async def _run_poison(self, target: str) -> None:
        await asyncio.sleep(self.crash_after)
        asyncio.get_running_loop().call_soon(self.crash, target)

    def _note(self, request: Message, read_at: float, *, ran: bool) -> None:
        self._arrivals.append(
            Arrival(
                read_at,
                request.headers.get("x-attempt-id", ""),
                self.service,
                self.instance,
                request.start_line[1],
                ran,
            )
        )
