"""Stand-in for the platform's store: objects, lists in pages, watches and a bounded history."""

import asyncio
import json
from collections import deque
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from auburncart.daemon.tests.soak.wire import Message, encode_reply, read_message

HISTORY_SECONDS = 20.0  # `historyS`
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576  # `valueBytes`
FIRST_REVISION = 10


class Change(NamedTuple):
    """One change of an object, encoded as an event of a watch."""

    at: float
    revision: int
    kind: str
    event: bytes


class Store:
    """Linearizable objects by kind and name; all calls are acknowledged at once.

    :param address: ``"IP:port"`` at which it listens.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.calls: list[str] = []
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: deque[Change] = deque()
        self._revision = FIRST_REVISION
        self._oldest = FIRST_REVISION
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return the number of bytes of its value."""
        encoded = json.dumps(spec)
        if len(encoded) > VALUE_BYTES:
            raise ValueError(f"{kind}/{name} has {len(encoded)} bytes")
        self._revision += 1
        stored = self._objects[kind, name] = {
            "meta": {"name": name, "rev": self._revision, "finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self._note(kind, stored, deleted=False)
        return len(encoded)

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it was there."""
        stored = self._objects.pop((kind, name), None)
        if stored is None:
            return False
        self._revision += 1
        self._note(kind, stored, deleted=True)
        return True

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind."""
        return sorted(name for stored, name in self._objects if stored == kind)

    def _note(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        now = asyncio.get_running_loop().time()
        event = json.dumps({"object": stored, "deleted": deleted}).encode()
        self._history.append(Change(now, self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _forget(self) -> None:
        """Discard the history that is older than its bound."""
        before = asyncio.get_running_loop().time() - HISTORY_SECONDS
        while self._history and self._history[0].at < before:
            self._oldest = self._history.popleft().revision

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                call = await read_message(reader)
                status, body = await self._answer(call)
                writer.write(encode_reply(status, body, {"Content-Type": "application/json"}))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # the client has disconnected, or the run has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, call: Message) -> tuple[int, bytes]:
        method, target = call.start_line[0], call.start_line[1]
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = parts.path.split("/")
        name = unquote(rest[0]) if rest else ""
        if method == "GET" and "watch" in query:
            wait = min(30_000, int(query.get("waitMs", "0"))) / 1000.0
            return await self._watch(kind, int(query["watch"]), wait)
        if method == "GET" and name:
            stored = self._objects.get((kind, name))
            return (200, json.dumps(stored).encode()) if stored else (404, b"{}")
        if method == "GET":
            return 200, self._page(kind, query.get("after", ""))
        return self._change(method, call, kind, name, query)

    def _change(
        self, method: str, call: Message, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        body = json.loads(call.body) if call.body else {}
        name = name or body["meta"]["name"]
        stored = self._objects.get((kind, name))
        self.calls.append(f"{method} {kind}/{name}")
        if method == "POST" and stored is not None:
            return 409, json.dumps(stored).encode()
        if method != "POST" and stored is None:
            return 404, b"{}"
        wanted = query.get("rev") or body.get("meta", {}).get("rev")
        if stored is not None and wanted is not None and int(wanted) != stored["meta"]["rev"]:
            return 409, json.dumps(stored).encode()
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        if stored is None or stored["spec"] != body["spec"]:
            self.write(kind, name, body["spec"])
        return 200, json.dumps(self._objects[kind, name]).encode()

    def _page(self, kind: str, after: str) -> bytes:
        items: list[bytes] = []
        size, more = 0, False
        for name in self.names(kind):
            if name <= after:
                continue
            if len(items) >= PAGE_ITEMS or size >= PAGE_BYTES:
                more = True
                break
            items.append(json.dumps(self._objects[kind, name]).encode())
            size += len(items[-1])
        return b'{"items":[%b],"hasMore":%b,"atRev":%d}' % (
            b",".join(items),
            b"true" if more else b"false",
            self._revision,
        )

    async def _watch(self, kind: str, revision: int, wait: float) -> tuple[int, bytes]:
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            self._forget()
            if revision < self._oldest:
                return 410, b"{}"
            events = [
                change.event
                for change in self._history
                if change.revision > revision and change.kind == kind
            ]
            if events:
                return 200, b'{"events":[%b],"atRev":%d}' % (b",".join(events), self._revision)
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                return 200, b'{"events":[],"atRev":%d}' % self._revision
