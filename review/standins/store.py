"""Stand-in for the platform's metadata store, with its published protocol."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from review.standins.wire import Message, encode_reply, read_message

__all__ = ["HISTORY_SECONDS", "VALUE_BYTES", "RawValue", "Store", "size_of"]

FIRST_REVISION = 10
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576
HISTORY_SECONDS = 20.0


class RawValue(NamedTuple):
    """A value as JSON, which Python's own encoder could not write since it nests too deeply."""

    text: str


class _Change(NamedTuple):
    at: float
    revision: int
    kind: str
    stored: dict[str, Any]
    deleted: bool


class Store:
    """Objects by kind and name, with their history of changes.

    :param host: IP address on which it listens, at any free port.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self.address = ""
        self.silent_for: set[str] = set()
        self.history_seconds = HISTORY_SECONDS
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[_Change] = []
        self._revision = FIRST_REVISION
        self._oldest = FIRST_REVISION
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._watching: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen for all machines."""
        self.address = await self.listen("")

    async def listen(self, machine: str) -> str:
        """Listen for one machine at an address of its own, and return the address.

        While the machine's name is in ``silent_for``, it gets no answers; a connection on which an
        answer is lost returns nothing further.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, self._host, 0)
        self._servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator or a replica does; the same object is no change."""
        old = self._objects.get((kind, name))
        if old is not None and _encode(old["spec"]) == _encode(spec):
            return
        self._revision += 1
        meta = {"name": name, "rev": self._revision, "created": 1, "finalizers": []}
        stored = {"meta": {**meta, "deleting": False}, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._append(kind, stored, deleted=False)

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it was there."""
        stored = self._objects.pop((kind, name), None)
        if stored is None:
            return False
        self._revision += 1
        meta = {**stored["meta"], "rev": self._revision}
        self._append(kind, {**stored, "meta": meta}, deleted=True)
        return True

    def cut_watches(self) -> None:
        """Reset the connections on which a watch is waiting."""
        for writer in list(self._watching):
            writer.transport.abort()

    def _append(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        self._history.append(_Change(time.monotonic(), self._revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    def _prune(self) -> None:
        """Discard the history that is older than it is kept."""
        oldest = time.monotonic() - self.history_seconds
        while self._history and self._history[0].at < oldest:
            self._oldest = self._history.pop(0).revision

    async def _serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lost = False
        try:
            while True:
                call = await read_message(reader)
                if machine in self.silent_for:
                    lost = True
                if lost:
                    continue
                status, body = await self._answer(call, writer)
                if machine in self.silent_for:
                    lost = True
                    continue
                writer.write(encode_reply(status, _encode(body)))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # the client has disconnected
        finally:
            writer.close()

    async def _answer(self, call: Message, writer: asyncio.StreamWriter) -> tuple[int, Any]:
        parts = urlsplit(call.start_line[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = parts.path.split("/")
        if call.start_line[0] == "GET" and "watch" in query:
            self._watching.add(writer)
            try:
                seconds = int(query["waitMs"]) / 1000.0
                return await self._watch(kind, int(query["watch"]), seconds)
            finally:
                self._watching.discard(writer)
        if call.start_line[0] == "GET":
            return 200, self._page(kind, query.get("after", ""))
        return self._change(call, kind, unquote(rest[0]) if rest else "")

    def _change(self, call: Message, kind: str, name: str) -> tuple[int, Any]:
        if call.start_line[0] == "DELETE":
            return (200 if self.remove(kind, name) else 404), {}
        body = json.loads(call.body)
        name = name or body["meta"]["name"]
        if call.start_line[0] == "POST" and (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        self.write(kind, name, body["spec"])
        return 200, self._objects[kind, name]

    def _page(self, kind: str, after: str) -> dict[str, Any]:
        names = sorted(name for stored, name in self._objects if stored == kind and name > after)
        items: list[dict[str, Any]] = []
        size = 0
        for name in names[:PAGE_ITEMS]:
            if size >= PAGE_BYTES:
                break
            items.append(self._objects[kind, name])
            size += len(_encode(items[-1]))
        return {"items": items, "hasMore": len(names) > len(items), "atRev": self._revision}

    async def _watch(self, kind: str, revision: int, seconds: float) -> tuple[int, Any]:
        deadline = time.monotonic() + seconds
        self._prune()
        if revision < self._oldest:
            return 410, {}
        while True:
            events = [
                {"object": change.stored, "deleted": change.deleted}
                for change in self._history
                if change.revision > revision and change.kind == kind
            ]
            left = deadline - time.monotonic()
            if events or left <= 0.0:
                return 200, {"events": events, "atRev": self._revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue


def size_of(spec: Any) -> int:
    """Return the size of what an object holds, in bytes."""
    return len(_encode(spec))


def _encode(body: Any) -> bytes:
    """Return JSON in ASCII, in which raw values are inserted as they are."""
    raw: list[str] = []

    def insert(value: Any) -> str:
        raw.append(value)
        return f"raw value {len(raw)}"

    text = json.dumps(_replace_raw(body, insert))
    for number, value in enumerate(raw, 1):
        text = text.replace(f'"raw value {number}"', value, 1)
    return text.encode()


def _replace_raw(value: Any, insert: Callable[[str], str]) -> Any:
    """Return a value in which placeholders stand for raw values."""
    if isinstance(value, RawValue):
        return insert(value.text)
    if isinstance(value, dict):
        return {key: _replace_raw(item, insert) for key, item in value.items()}
    if isinstance(value, list):
        return [_replace_raw(item, insert) for item in value]
    return value
