"""Stand-in for the platform's store with its published protocol and injectable faults."""

import asyncio
import json
import random
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from auburncart.daemon.tests.soak.wire import Message, encode_reply, read_message
from auburncart.transport.client import split_address

__all__ = ["Store"]

FIRST_REVISION = 10
PAGE_ITEMS = 5  # small, so that lists have several pages
LATE_WRITE_SECONDS = 2.0  # after which a write without a reply may still be applied


class _Change(NamedTuple):
    revision: int
    kind: str
    stored: dict[str, Any]
    deleted: bool


class Store:
    """Objects by kind and name, with their change history.

    :param address: ``"IP:port"`` at which it listens.
    :param rng: random source for the faults.
    """

    def __init__(self, address: str, rng: random.Random) -> None:
        self.address = address
        self._rng = rng
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[_Change] = []
        self._revision = FIRST_REVISION
        self._oldest = FIRST_REVISION
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.delay = 0.0
        self.error_status = 0  # status of every reply, 0 for none
        self.closing = False
        self.lost_share = 0.0
        self.silent = False  # whether replies are lost while the connections stay open

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *split_address(self.address))

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def clear_faults(self) -> None:
        self.delay, self.error_status, self.closing, self.lost_share = 0.0, 0, False, 0.0

    def drop_history(self) -> None:
        """Drop the change history; older watches get 410."""
        self._history.clear()
        self._oldest = self._revision

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator or a replica does."""
        self._revision += 1
        stored = {"meta": {"name": name, "rev": self._revision}, "spec": spec}
        self._objects[kind, name] = stored
        self._append_change(_Change(self._revision, kind, stored, False))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it is there."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self._revision += 1
            self._append_change(_Change(self._revision, kind, stored, True))

    def _append_change(self, change: _Change) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                call = await read_message(reader)
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.closing:
                    return
                if self.error_status:
                    writer.write(encode_reply(self.error_status))
                    continue
                lost = call.start_line[0] != "GET" and self._rng.random() < self.lost_share
                if lost and self._rng.random() < 0.5:
                    await asyncio.sleep(LATE_WRITE_SECONDS)
                status, body = await self._answer(call)
                if lost:
                    return
                if self.silent:
                    await reader.read()  # nothing follows until the client closes the connection
                    return
                writer.write(encode_reply(status, json.dumps(body).encode()))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # the client has disconnected, or the run has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, call: Message) -> tuple[int, Any]:
        parts = urlsplit(call.start_line[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = parts.path.split("/")
        if call.start_line[0] == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000.0)
        if call.start_line[0] == "GET":
            return 200, self._page(kind, query.get("after", ""))
        return self._change(call, kind, unquote(rest[0]) if rest else "")

    def _change(self, call: Message, kind: str, name: str) -> tuple[int, Any]:
        if call.start_line[0] == "DELETE":
            found = (kind, name) in self._objects
            self.remove(kind, name)
            return (200 if found else 404), {}
        body = json.loads(call.body)
        name = name or body["meta"]["name"]
        if call.start_line[0] == "POST" and (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        self.write(kind, name, body["spec"])
        return 200, self._objects[kind, name]

    def _page(self, kind: str, after: str) -> dict[str, Any]:
        names = sorted(name for stored, name in self._objects if stored == kind and name > after)
        items = [self._objects[kind, name] for name in names[:PAGE_ITEMS]]
        return {"items": items, "hasMore": len(names) > PAGE_ITEMS, "atRev": self._revision}

    async def _watch(self, kind: str, revision: int, wait: float) -> tuple[int, Any]:
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            if revision < self._oldest:
                return 410, {}
            events = [
                {"object": change.stored, "deleted": change.deleted}
                for change in self._history
                if change.revision > revision and change.kind == kind
            ]
            if events:
                return 200, {"events": events, "atRev": self._revision}
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                return 200, {"events": [], "atRev": self._revision}
