"""Stand-in for a replica, by its published protocol, with failures on command."""

import asyncio
import random
from typing import NamedTuple

from auburncart.daemon.tests.soak.ledger import Arrival, Ledger
from auburncart.daemon.tests.soak.link import Link
from auburncart.daemon.tests.soak.wire import Message, proof, read_message, records, reply
from auburncart.transport.client import split_address

__all__ = ["Replica", "Troubles"]

SLOTS = 2
QUEUE = 12
WORK_SECONDS = 0.008
POISON = "poison"  # a path that has it crashes the replica
CRASH_SECONDS = 1.5


class Troubles(NamedTuple):
    """What a replica does wrong.

    :param slow: factor on the time of its work.
    :param lose: share of the answers that it loses after its work.
    :param spoil: share that it cuts short, or doubles.
    :param shed: share of the requests that it turns away.
    :param fail: share of the requests that fail after its work.
    """

    slow: float = 1.0
    lose: float = 0.0
    spoil: float = 0.0
    shed: float = 0.0
    fail: float = 0.0


class Replica:
    """One replica behind a link.

    :param instance: its identifier.
    :param address: ``"IP:port"`` at which it listens.
    :param link: how VMs reach it; a link that was another replica's means its address is reused.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        ledger: Ledger,
        rng: random.Random,
        address: str,
        link: Link,
    ) -> None:
        self.service = service
        self.instance = instance
        self.troubles = Troubles()
        self.born = 1
        self._ledger = ledger
        self._rng = rng
        self._address = address
        self.link = link
        self.link.target = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *split_address(self._address))

    def stop(self) -> None:
        """End at once, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, data_centre: str, state: str = "ready") -> dict[str, object]:
        """Return what it writes of itself into the store."""
        return {
            "service": self.service, "address": self.link.address, "zone": data_centre,
            "configVersion": 1, "slots": SLOTS, "state": state, "coldLeftMs": 0,
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
            pass  # the VM has closed the connection, or the run is over
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; False if the connection ends."""
        chance = self._rng.random
        read_at = asyncio.get_running_loop().time()
        not_run = {"X-Not-Executed": "1", "X-Instance-Id": self.instance}
        if request.fields.get("x-target-instance") != self.instance:
            self._note(request, read_at, ran=False)
            writer.write(reply(421, fields=not_run))
            return True
        if self._waiting >= QUEUE or chance() < self.troubles.shed:
            self._note(request, read_at, ran=False)
            writer.write(reply(503, fields=not_run))
            return True
        self._waiting += 1
        try:
            async with self._slots:
                # A request whose connection has ended while it waited is dropped.
                self._note(request, read_at, ran=not reader.at_eof())
                if reader.at_eof():
                    return False
                if POISON in request.start[1]:
                    self._crash(request)
                    return False
                if not await self._work(reader):
                    return False
        finally:
            self._waiting -= 1
        return self._answer(request, writer)

    def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = request.fields["x-attempt-id"]
        status = 500 if self._rng.random() < self.troubles.fail else 200
        fields = {
            "X-Attempt-Id": request_id,
            "X-Server-Stamp": proof(self.service, request_id, status),
        }
        encoded = reply(status, records(self.service, request_id), fields)
        if self._rng.random() < self.troubles.lose:
            return False
        if self._rng.random() < self.troubles.spoil:
            whole = self._rng.random() < 0.5
            writer.write(encoded + encoded if whole else encoded[:-3])
            return whole
        writer.write(encoded)
        return True

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        """Work on a request; False if its connection ends meanwhile."""
        work = WORK_SECONDS * self._rng.uniform(0.5, 2.0) * self.troubles.slow
        closed = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait((closed,), timeout=work)
        closed.cancel()
        # A cancelled read still waits until the loop has told it so.
        await asyncio.wait((closed,))
        return not done

    def _note(self, request: Message, read_at: float, *, ran: bool) -> None:
        self._ledger.arrivals.append(
            Arrival(
                read_at,
                request.fields.get("x-attempt-id", ""),
                self.service,
                self.instance,
                request.start[1],
                request.body,
                ran,
                int(request.fields.get("x-deadline-remaining", "999999")) / 1000.0,
            )
        )

    def _crash(self, request: Message) -> None:
        loop = asyncio.get_running_loop()
        self._ledger.crashes.setdefault(request.start[1], []).append(loop.time())
        self.stop()
        loop.call_later(CRASH_SECONDS, lambda: loop.create_task(self.start()))
