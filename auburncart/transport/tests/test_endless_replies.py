"""A server that sends bytes without end neither fills the memory nor holds the request."""

import asyncio
import contextlib
import itertools
import time
import tracemalloc
import unittest
from collections.abc import Iterator

from auburncart.coordination.forwarding.reply_memory import ReplyMemory
from auburncart.exception import ProtocolError
from auburncart.transport.client import ClientConnection
from auburncart.transport.store_client import StoreCall, StoreClient

MAX_BODY_BYTES = 1_000_000
MAX_KEPT_BYTES = 2_000_000
DEADLINE_SECONDS = 2.0
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

    async def test_a_call_to_the_store_is_bounded(self) -> None:
        for name in ("header lines", "header value", "interim replies", "trailers"):
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
                self.assertLess(peak, MAX_KEPT_BYTES)
