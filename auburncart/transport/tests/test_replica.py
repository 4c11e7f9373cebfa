"""Replies on a connection to a replica that was used before."""

import asyncio
import contextlib
import unittest

from auburncart.coordination.forwarding.interfaces import ReplicaConnection
from auburncart.coordination.forwarding.reply_memory import ReplyMemory
from auburncart.exception import UpstreamMismatchError
from auburncart.platform.messages import PlatformReplicaCodec
from auburncart.state.forward import MAX_PART_BYTES, ForwardRequest
from auburncart.state.registration import Registration
from auburncart.transport.replica import HttpReplicaDialer

SECONDS = 2.0


def encode_reply(body: bytes, headers: bytes = b"", status: int = 200) -> bytes:
    head = b"HTTP/1.1 %d OK\r\nX-Server-Stamp: p\r\n%bContent-Length: %d\r\n\r\n"
    return head % (status, headers, len(body)) + body


def named(request_id: bytes, status: int = 200) -> bytes:
    return encode_reply(request_id, b"X-Attempt-Id: %b\r\n" % request_id, status)


class ReusedConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.replies: list[bytes] = []
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.host, self.port = self.server.sockets[0].getsockname()

    async def asyncTearDown(self) -> None:
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                # Two packets, so that the reply is split in the middle of its head.
                reply = self.replies.pop(0)
                writer.write(reply[:9])
                await asyncio.sleep(0.001)
                writer.write(reply[9:])
        writer.close()

    async def connect(self) -> ReplicaConnection:
        registration = Registration("i-1", "s", f"{self.host}:{self.port}", "dc1", 2, False)
        dialer = HttpReplicaDialer(PlatformReplicaCodec(), ReplyMemory(1_000_000))
        return await dialer.connect(registration)

    def request(self, request_id: str, max_bytes: int = 1000) -> ForwardRequest:
        deadline = asyncio.get_running_loop().time() + SECONDS
        return ForwardRequest(
            request_id, "GET", "h", "/a", b"/a", (), b"", 0.0, deadline, max_reply_bytes=max_bytes
        )

    async def test_a_late_copy_before_the_reply_is_no_answer(self) -> None:
        copies = (
            named(b"a"),
            named(b"a", 503),
            encode_reply(b"a"),  # a copy that lost its id
            encode_reply(b"a", b"X-Not-Executed: 1\r\n", 503),
            encode_reply(b"a", b"X-Attempt-Id: b\r\nX-Attempt-Id: a\r\n"),
        )
        for copy in copies:
            connection = await self.connect()
            self.replies = [named(b"a"), copy + named(b"b")]
            first = await connection.exchange(self.request("a"), "i-1")
            self.assertEqual(first.body, b"a")
            with self.assertRaises(UpstreamMismatchError, msg=copy) as caught:
                await connection.exchange(self.request("b"), "i-1")
            self.assertTrue(caught.exception.sent)
            self.assertFalse(connection.usable)

    async def test_a_replica_that_never_names_requests_is_understood(self) -> None:
        connection = await self.connect()
        self.replies = [encode_reply(b"a"), encode_reply(b"b")]
        for request_id in ("a", "b"):
            reply = await connection.exchange(self.request(request_id), "i-1")
            self.assertEqual(reply.body, request_id.encode())
        connection.close()

    async def test_a_part_is_shorter_than_other_replies_may_be(self) -> None:
        connection = await self.connect()
        self.replies = [named(b"x" * (MAX_PART_BYTES + 1))]
        with self.assertRaises(UpstreamMismatchError):
            await connection.exchange(self.request("a", MAX_PART_BYTES), "i-1")
