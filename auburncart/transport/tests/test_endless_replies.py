"""A server that sends bytes without end neither fills the memory nor holds the request."""

import asyncio
import contextlib
import itertools
import time
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable, Iterator

from websockets.utils import accept_key

from auburncart.coordination.forwarding.reply_memory import ReplyMemory
from auburncart.coordination.forwarding.tests.gateway_fixture import ListJournal
from auburncart.exception import LinkError, ProtocolError
from auburncart.state.crash import CrashReport
from auburncart.state.entryvm import EntryVm
from auburncart.transport.client import ClientConnection
from auburncart.transport.merge import MAX_MESSAGE_BYTES as MAX_LINK_BYTES
from auburncart.transport.merge import WebSocketMergeLink
from auburncart.transport.relay import MAX_MESSAGE_BYTES as MAX_RELAY_BYTES
from auburncart.transport.relay import WebSocketRelayClient
from auburncart.transport.store_client import StoreCall, StoreClient

MAX_BODY_BYTES = 1_000_000
MAX_KEPT_BYTES = 2_000_000
DEADLINE_SECONDS = 2.0
LINK_SECONDS = 1.0  # for which a link is watched
PIECE_BYTES = 32_768
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What the server sends once, and what it then repeats until the connection is closed.
ENDLESS = {
    "header lines": (OK, b"X-Filler: value\r\n"),
    "short header lines": (OK, b"a:\r\n"),
    "header value": (OK + b"X-Filler: ", b"x"),
    "header name": (OK, b"x"),
    "reason phrase": (b"HTTP/1.1 200 ", b"x"),
    "empty lines": (b"", b"\r\n"),
    "interim replies": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "interim headers": (b"HTTP/1.1 102 Processing\r\n", b"X-Filler: value\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 40 + b"\r\nx\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "leading zeros": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Filler: value\r\n"),
    "trailer value": (CHUNKED + b"1\r\nx\r\n0\r\nX-Filler: ", b"x"),
    "body without length": (OK + b"\r\n", b"x"),
    "body in chunks": (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "body with length": (OK + b"Content-Length: 99999999999\r\n\r\n", b"x"),
    "no HTTP": (b"", b"\x00"),
}  # fmt: skip
HANDSHAKES = (
    "header lines",
    "header value",
    "interim replies",
    "body without length",
    "body in chunks",
    "no HTTP",
)
ENDLESS_FRAMES = {
    "long frame": (b"\x82\x7f" + (1 << 40).to_bytes(8, "big"), b"x"),
    "fragments": (b"\x02\x01x", b"\x00\x7e\x10\x00" + b"x" * 4096),
    "empty fragments": (b"\x02\x01x", b"\x00\x00"),
    "pings": (b"", b"\x89\x7d" + b"x" * 125),
    "messages": (b"", b"\x82\x7d" + b"x" * 125),
}  # fmt: skip


def endless(start: bytes, repeated: bytes) -> Iterator[bytes]:
    piece = repeated * (PIECE_BYTES // len(repeated))
    return itertools.chain((start,), itertools.repeat(piece))


class EndlessServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.start, self.repeated = b"", b""
        self.closed = asyncio.Event()
        self.handlers: set[asyncio.Task[None] | None] = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def asyncTearDown(self) -> None:
        self.server.close()
        await asyncio.gather(*(handler for handler in self.handlers if handler))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.handlers.add(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            for piece in endless(self.start, self.repeated):
                writer.write(piece)
                await writer.drain()
        self.closed.set()
        writer.close()

    async def open(self, memory: ReplyMemory | None = None) -> ClientConnection:
        return await ClientConnection.open(
            self.address, DEADLINE_SECONDS, MAX_BODY_BYTES, memory or ReplyMemory(MAX_BODY_BYTES)
        )


class EndlessReplyTest(EndlessServer):
    async def test_each_part_of_a_reply_is_bounded(self) -> None:
        for name, (self.start, self.repeated) in ENDLESS.items():
            with self.subTest(name):
                self.closed.clear()
                connection = await self.open()
                tracemalloc.start()
                started_at = time.process_time()
                try:
                    async with asyncio.timeout(DEADLINE_SECONDS):
                        with self.assertRaises(ProtocolError):
                            await connection.exchange(b"GET / HTTP/1.1\r\n\r\n")
                        await self.closed.wait()
                    _, peak = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                    connection.close()
                self.assertFalse(connection.usable)
                self.assertLess(peak, MAX_BODY_BYTES + MAX_KEPT_BYTES)
                self.assertLess(time.process_time() - started_at, DEADLINE_SECONDS / 2)

    async def test_bodies_received_at_once_share_the_memory(self) -> None:
        self.start, self.repeated = ENDLESS["body without length"]
        memory = ReplyMemory(MAX_BODY_BYTES)
        connections = [await self.open(memory) for _ in range(20)]
        tracemalloc.start()
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                results = await asyncio.gather(
                    *(item.exchange(b"GET / HTTP/1.1\r\n\r\n") for item in connections),
                    return_exceptions=True,
                )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual({type(result) for result in results}, {ProtocolError})
        self.assertLess(peak, 20 * MAX_BODY_BYTES / 2)
        self.assertEqual(memory.reserved, 0)

    async def test_bytes_after_a_reply_close_the_connection(self) -> None:
        for self.start, self.repeated in (
            (OK + b"Content-Length: 1\r\n\r\ny", b"x"),
            (CHUNKED + b"1\r\ny\r\n0\r\n\r\n", b"x"),
            (b"", OK + b"Content-Length: 1\r\n\r\ny"),
        ):
            with self.subTest(self.start):
                self.closed.clear()
                connection = await self.open()
                tracemalloc.start()
                try:
                    async with asyncio.timeout(DEADLINE_SECONDS):
                        reply = await connection.exchange(b"GET / HTTP/1.1\r\n\r\n")
                        await self.closed.wait()
                    _, peak = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertEqual((reply.body, reply.keep_alive), (b"y", False))
                self.assertFalse(connection.usable)
                self.assertLess(peak, MAX_KEPT_BYTES)

    async def test_a_call_to_the_store_is_bounded(self) -> None:
        for name in ENDLESS:
            with self.subTest(name):
                self.start, self.repeated = ENDLESS[name]
                client = StoreClient(self.address, MAX_BODY_BYTES)
                tracemalloc.start()
                try:
                    with self.assertRaisesRegex(Exception, "reply"):
                        await client.call(StoreCall("GET", "/"))
                    _, peak = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                    client.close()
                body_bytes = MAX_BODY_BYTES if name.startswith("body") else 0
                self.assertLess(peak, body_bytes + MAX_KEPT_BYTES)


class EndlessVmTest(EndlessServer):
    """Another VM sends bytes without end over a websocket."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.handlers.add(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            if self.accepts:
                writer.write(upgrade_reply(head))
                writer.write(await pong(reader))
            for piece in endless(self.start, self.repeated):
                writer.write(piece)
                await writer.drain()
        self.closed.set()
        writer.close()

    async def assert_bounded(self, run: Callable[[], Awaitable[None]], max_bytes: int) -> None:
        """Check the memory while an operation runs."""
        self.closed.clear()
        tracemalloc.start()
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                await run()
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak, max_bytes + MAX_KEPT_BYTES)

    async def ask_for_a_list(self) -> None:
        client = WebSocketRelayClient({"kind": CrashReport})
        try:
            with self.assertRaises(LinkError):
                await client.list(self.address, "kind")
        finally:
            await client.close()

    async def keep_a_link(self) -> None:
        link = WebSocketMergeLink(EntryVm("vm", "dc", "", self.address), ListJournal())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINK_SECONDS):
                await self.closed.wait()
        link.close()
        await self.closed.wait()

    async def test_each_part_of_an_upgrade_is_bounded(self) -> None:
        self.accepts = False
        for name in HANDSHAKES:
            self.start, self.repeated = ENDLESS[name]
            with self.subTest(name):
                await self.assert_bounded(self.keep_a_link, MAX_LINK_BYTES)

    async def test_frames_are_bounded(self) -> None:
        self.accepts = True
        for name, (self.start, self.repeated) in ENDLESS_FRAMES.items():
            with self.subTest(name):
                await self.assert_bounded(self.keep_a_link, MAX_LINK_BYTES)

    async def test_fragments_of_the_answer_to_a_question_are_bounded(self) -> None:
        self.accepts = True
        for name in ("fragments", "empty fragments"):
            self.start, self.repeated = ENDLESS_FRAMES[name]
            with self.subTest(name):
                await self.assert_bounded(self.ask_for_a_list, MAX_RELAY_BYTES)


def upgrade_reply(head: bytes) -> bytes:
    """Return the reply that accepts a websocket."""
    lines = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
    key = accept_key(lines[b"Sec-WebSocket-Key"].decode()).encode()
    return (
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        b"Sec-WebSocket-Accept: %b\r\n\r\n" % key
    )


async def pong(reader: asyncio.StreamReader) -> bytes:
    """Read one frame; return the pong if it is a ping."""
    first, size = await reader.readexactly(2)
    size &= 127
    masked = await reader.readexactly(4 + size if size < 126 else 0)
    if first != 0x89:
        return b""
    mask, data = masked[:4], masked[4:]
    payload = bytes(byte ^ mask[index % 4] for index, byte in enumerate(data))
    return bytes((0x8A, size)) + payload
