"""The HTTP store client against slow servers and servers that close idle connections."""

import asyncio
import contextlib
import itertools
import unittest

from auburncart.coordination.table import TABLE
from auburncart.exception import StoreUnavailableError
from auburncart.standins.site import DEMO_TABLE
from auburncart.transport.store import HttpStore

LONG_SECONDS = 5.0
REPLY = b'HTTP/1.1 200 OK\r\nETag: "1"\r\nContent-Length: 0\r\n\r\n'


class SlowServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ended = asyncio.Event()
        self.server = await asyncio.start_server(self.dribble, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.store = HttpStore(f"{host}:{port}", call_timeout_seconds=0.2)

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.server.close()
        await self.server.wait_closed()

    async def dribble(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            for byte in itertools.cycle(b"HTTP/1.1 200 OK\r\nX: "):
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0.02)
        self.ended.set()

    async def test_reply_that_never_ends_times_out(self) -> None:
        async with asyncio.timeout(LONG_SECONDS):
            with self.assertRaises(StoreUnavailableError):
                await self.store.read(TABLE)
            await self.ended.wait()


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.closed = asyncio.Event()
        self.requests = 0
        self.server = await asyncio.start_server(self.answer_once, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.store = HttpStore(f"{host}:{port}")

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.server.close()
        await self.server.wait_closed()

    async def answer_once(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        self.requests += 1
        writer.write(REPLY)
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        self.closed.set()

    async def test_write_after_the_server_closed_the_idle_connection_opens_another(self) -> None:
        for _ in range(3):
            self.closed.clear()
            self.assertEqual(await self.store.write(TABLE, DEMO_TABLE, '"0"'), '"1"')
            await self.closed.wait()
        self.assertEqual(self.requests, 3)
