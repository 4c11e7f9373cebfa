"""Stand-in for a replica, with its published protocol."""

import asyncio
from typing import Any

from review.standins.wire import Message, Record, body_of, encode_reply, read_message, stamp_of

__all__ = ["Replica"]


class Replica:
    """One replica, which serves requests until it is stopped.

    :param service: name of its service.
    :param instance: its ``instanceId``.
    :param zone: its zone.
    :param host: IP address on which it listens, at any free port.
    :param record: record of the run.
    :param work_seconds: duration of the work on one request.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        zone: str,
        host: str,
        record: Record,
        work_seconds: float = 0.01,
    ) -> None:
        self.service = service
        self.instance = instance
        self.runs: list[tuple[str, str]] = []
        self.address = ""
        self._zone = zone
        self._host = host
        self._record = record
        self._work_seconds = work_seconds
        self._slots = asyncio.Semaphore(6)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._sequence = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        """Exit: stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state: str = "ready", cold_ms: int = 0) -> dict[str, Any]:
        """Return its entry in the store."""
        self._sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": self._zone,
            "configVersion": "v1", "slots": 6, "state": state, "coldLeftMs": cold_ms,
            "sequence": self._sequence, "born": 1_772_390_912_000,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._reply(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # the VM has closed the connection
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _reply(self, request: Message) -> bytes:
        request_id = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-target-instance", self.instance)
        echo = {"X-Attempt-Id": request_id, "X-Instance-Id": self.instance}
        if expected != self.instance:
            self._note(f"421 for {request_id}, which expects {expected}")
            return encode_reply(421, headers={**echo, "X-Not-Executed": "1"})
        async with self._slots:
            path = request.start_line[1]
            self.runs.append((request_id, path))
            self._note(f"runs {request_id} {path}")
            await asyncio.sleep(self._work_seconds)
        stamp = stamp_of(self.service, request_id)
        headers = {"X-Attempt-Id": request_id, "X-Server-Stamp": stamp}
        return encode_reply(200, body_of(self.service, request_id), headers)

    def _note(self, text: str) -> None:
        self._record.write(f"replica {self.instance} of {self.service}", text)
