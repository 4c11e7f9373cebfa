import asyncio
import contextlib
import fcntl
import socket
import struct
import unittest
from typing import ClassVar

from auburncart.exception import LinkError, ProtocolError
from auburncart.transport.client import ClientConnection, has_input

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
SECONDS = 2.0


class ScriptedServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.replies: list[bytes | None] = []
        self.keeps_alive = False
        self.resets = False
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

    async def test_input_is_noticed_on_descriptors_of_any_number(self) -> None:
        """A VM with a thousand connections has descriptors beyond those that select() takes."""
        near, far = socket.socketpair()
        with near, far, socket.socket(fileno=fcntl.fcntl(near, fcntl.F_DUPFD, 1100)) as high:
            self.assertFalse(has_input(high))
            far.send(b"x")
            self.assertTrue(has_input(high))

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

    async def test_an_address_that_cannot_be_connected_to_is_a_link_error(self) -> None:
        for address in ("127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:port", "", "127.0.0.1"):
            with self.subTest(address), self.assertRaises(LinkError):
                await ClientConnection.open(address, SECONDS, 1000)

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


class CutOffReplyTest(ScriptedServer):
    """A reply that ends early, wherever it is cut, never looks complete."""

    REPLIES: ClassVar = {
        "length": b"HTTP/1.1 200 OK\r\nX-Server-Stamp: p\r\nContent-Length: 15\r\n\r\n" + b"b" * 15,
        "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5;x=y\r\nshort\r\na\r\n0123456789\r\n0\r\nX-Trailer: t\r\n\r\n",
        "interim": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
        "no body": b"HTTP/1.1 204 No Content\r\nX-Server-Stamp: p\r\n\r\n",
    }  # fmt: skip
    UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: p\r\n\r\nbody until the close"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the next reply, then close by FIN or RST."""
        await reader.readuntil(b"\r\n\r\n")
        reply = self.replies.pop(0)
        assert reply is not None
        writer.write(reply)
        if self.resets:
            await asyncio.sleep(0.002)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        writer.close()

    async def check_cut(self, reply: bytes) -> None:
        self.connection = await ClientConnection.open(self.address, SECONDS, 1000)
        with self.assertRaises((LinkError, ProtocolError)):
            await self.get_reply(reply)
        self.assertFalse(self.connection.usable)

    async def test_a_cut_at_every_byte_is_an_error(self) -> None:
        for self.resets in (False, True):
            for name, reply in self.REPLIES.items():
                for size in range(1, len(reply)):
                    with self.subTest(name, size=size, resets=self.resets):
                        await self.check_cut(reply[:size])

    async def test_a_reply_without_length_needs_its_whole_head_and_a_close(self) -> None:
        head = self.UNTIL_CLOSE.index(b"\r\n\r\n") + 4
        self.resets = False
        for size in range(1, head):
            with self.subTest(size=size):
                await self.check_cut(self.UNTIL_CLOSE[:size])
        self.resets = True
        for size in range(head, len(self.UNTIL_CLOSE) + 1):
            with self.subTest(size=size, resets=True):
                await self.check_cut(self.UNTIL_CLOSE[:size])

    async def test_trailers_are_no_headers(self) -> None:
        self.resets = False
        reply = await self.get_reply(self.REPLIES["chunks"])
        self.assertEqual(reply.body, b"short0123456789")
        self.assertEqual(reply.header(b"x-trailer"), b"")
