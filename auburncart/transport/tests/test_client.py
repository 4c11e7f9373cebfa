import asyncio
import contextlib
import unittest

from auburncart.exception import LinkError, ProtocolError
from auburncart.transport.client import ClientConnection

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
SECONDS = 2.0


class ScriptedServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.replies: list[bytes | None] = []
        self.keeps_alive = False
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.connection = await ClientConnection.open(self.address, SECONDS, 1000)

    async def asyncTearDown(self) -> None:
        self.connection.close()
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                reply = self.replies.pop(0)
                if reply is None:
                    writer.transport.abort()
                    return
                writer.write(reply)
                await writer.drain()
                if not self.keeps_alive:
                    break
        writer.close()

    async def get_reply(self, *replies: bytes | None):
        self.replies += replies
        async with asyncio.timeout(SECONDS):
            return await self.connection.exchange(b"GET / HTTP/1.1\r\n\r\n")


class ClientTest(ScriptedServer):
    async def test_a_persistent_connection_carries_requests_in_sequence(self) -> None:
        self.keeps_alive = True
        for _ in range(3):
            reply = await self.get_reply(OK)
            self.assertEqual((reply.status, reply.body, reply.keep_alive), (200, b"hi", True))

    async def test_closing_ends_a_reply_without_length(self) -> None:
        reply = await self.get_reply(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        self.assertEqual((reply.body, reply.keep_alive), (b"all of it", False))
        self.assertFalse(self.connection.usable)

    async def test_a_truncated_reply_is_an_error(self) -> None:
        for cut in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
            b"HTTP/1.1 200",
            None,
        ):
            self.connection = await ClientConnection.open(self.address, SECONDS, 1000)
            with self.assertRaises(LinkError) as caught:
                await self.get_reply(cut)
            self.assertEqual(caught.exception.step, "reply")

    async def test_excess_bytes_close_the_connection_and_belong_to_no_request(self) -> None:
        self.keeps_alive = True
        for excess in (b"rubbish", OK, b"\x00\x01"):
            self.connection = await ClientConnection.open(self.address, SECONDS, 1000)
            reply = await self.get_reply(OK + excess)
            self.assertEqual(reply.body, b"hi")
            self.assertFalse(self.connection.usable)
            with self.assertRaises(LinkError) as caught:
                await self.connection.exchange(b"GET / HTTP/1.1\r\n\r\n")
            self.assertEqual(caught.exception.step, "connect")

    async def test_malformed_http_is_an_error(self) -> None:
        for malformed in (
            b"SSH-2.0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ):
            self.connection = await ClientConnection.open(self.address, SECONDS, 1000)
            with self.assertRaises((ProtocolError, LinkError)):
                await self.get_reply(malformed)
            self.assertFalse(self.connection.usable)

    async def test_a_reply_longer_than_the_limit_is_an_error(self) -> None:
        with self.assertRaises(ProtocolError):
            await self.get_reply(b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000)

    async def test_an_interim_reply_is_skipped(self) -> None:
        self.keeps_alive = True
        reply = await self.get_reply(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK)
        self.assertEqual((reply.status, reply.reason, reply.body), (200, b"OK", b"hi"))

    async def test_cancellation_closes_the_connection(self) -> None:
        self.keeps_alive = True
        self.replies.append(OK[:5])
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await self.connection.exchange(b"GET / HTTP/1.1\r\n\r\n")
        self.assertFalse(self.connection.usable)
