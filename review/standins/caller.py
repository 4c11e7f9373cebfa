"""Callers, the routes of the operator, and addresses on loopback."""

import asyncio
import itertools
import os
import uuid
from typing import Any, NamedTuple

from review.standins.vm import Vm
from review.standins.wire import Message, Record, read_message

__all__ = ["HOST", "Answer", "Caller", "configuration", "hosts", "route", "search_route"]

HOST = "pupu76.example"


class Answer(NamedTuple):
    """The end of one request; a status of 0 stands for a connection that ended without one."""

    request_id: str
    vm: str
    path: str
    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """Sends requests to one VM in sequence, over a connection that it keeps.

    :param vm: the VM.
    :param record: record of the run.
    """

    def __init__(self, vm: Vm, record: Record) -> None:
        self.answers: list[Answer] = []
        self._vm = vm
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self, paths: tuple[str, ...], pause: float) -> None:
        """Send requests until cancelled."""
        for path in itertools.cycle(paths):
            await self.send("GET", path)
            await asyncio.sleep(pause)

    async def send(
        self, method: str, path: str, body: bytes = b"", seconds: float = 3.0
    ) -> Answer | None:
        """Send one request; return how it ended, None if no connection could be opened."""
        if not await self._connect():
            return None
        assert self._writer is not None
        request_id = uuid.uuid4().hex[:16]
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Deadline-Remaining: {seconds * 1000:.0f}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._note(f"sends {request_id} {method} {path}")
        self._writer.write(head.encode() + body)
        reply = await self._receive(seconds)
        status = int(reply.start_line[1]) if reply else 0
        headers, content = (reply.headers, reply.body) if reply else ({}, b"")
        self._note(f"gets {status or 'no answer'} for {request_id}")
        answer = Answer(request_id, self._vm.name, path, status, headers, content)
        self.answers.append(answer)
        if not status or headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _receive(self, seconds: float) -> Message | None:
        assert self._reader is not None
        try:
            async with asyncio.timeout(seconds + 1.0):
                return await read_message(self._reader)
        except (TimeoutError, asyncio.IncompleteReadError, OSError):
            return None

    async def _connect(self) -> bool:
        if self._writer is not None and self._reader is not None:
            if not self._reader.at_eof():
                return True
            self.close()
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(*self._vm.front)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
            return False
        return True

    def _note(self, text: str) -> None:
        self._record.write(f"caller of {self._vm.name}", text)


def hosts() -> "itertools.count[int] | Any":
    """Yield loopback addresses that no other process uses."""
    high, low = divmod(os.getpid(), 250)
    return (f"127.{1 + high % 250}.{low}.{number}" for number in itertools.count(2))


def route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration to one service."""
    return _route(name, service=service, **fields)


def search_route(name: str, shards: tuple[str, ...]) -> dict[str, Any]:
    """Return a route of the configuration to all shards."""
    return _route(name, gather=list(shards), topK=20, minShare=0.89)


def _route(name: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": "idempotent",
        "timeoutMs": 3000, "sloMs": 300, "priority": 1, "maxAttempts": 2, **fields,
    }  # fmt: skip


def configuration(version: int, routes: list[dict[str, Any]], names: list[str]) -> dict[str, Any]:
    """Return a version of the configuration."""
    services = [
        {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}
        for name in names
    ]
    limits = {
        "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }  # fmt: skip
    return {"configVersion": version, "routes": routes, "services": services, "limits": limits}
