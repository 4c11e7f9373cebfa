"""A reply is parsed the same however its bytes are split into packets."""

import asyncio
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from auburncart.coordination.forwarding.reply_memory import ReplyMemory
from auburncart.exception import AuburncartError
from auburncart.transport.client import (
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_INTERIM_REPLIES,
    ClientConnection,
)

MAX_BODY_BYTES = 100_000
FRAGMENTS = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 204 No Content\r\n",
    b"HTTP/1.1 103 Early Hints\r\n\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 200000\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"X-Attempt-Id: a\r\n",
    b"X: " + b"v" * (MAX_HEAD_BYTES // 2) + b"\r\n",
    b"X: y\r\n" * MAX_HEADERS,
    b"HTTP/1.1 102 Processing\r\n\r\n" * MAX_INTERIM_REPLIES,
    b"\r\n",
    b"hello",
    b"5\r\nhello\r\n",
    b"1\r\nx\r\n" * 10_000,
    b"0\r\n",
    b"0\r\n\r\n",
    b"b" * (MAX_BODY_BYTES // 2),
    b"\x00\xff",
)


class _Socket:
    """A socket without options."""

    def setsockopt(self, *args: Any) -> None:
        pass


class _Transport(asyncio.Transport):
    """A transport to nowhere."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _Socket() if name == "socket" else default

    def write(self, data: Any) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass


async def receive(packets: list[bytes]) -> object:
    """Return the parts of the reply that the packets make up, or the type of the error."""
    memory = ReplyMemory(MAX_BODY_BYTES)
    connection = ClientConnection("127.0.0.1:1", MAX_BODY_BYTES, memory)
    connection.connection_made(_Transport())
    task = asyncio.create_task(connection.exchange(b"GET / HTTP/1.1\r\n\r\n"))
    await asyncio.sleep(0)
    for packet in packets:
        connection.data_received(packet)
    connection.eof_received()
    connection.connection_lost(None)
    try:
        return (await task)._replace(keep_alive=False)
    except AuburncartError as error:
        return type(error)
    finally:
        assert memory.reserved == 0


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    packets = []
    for size in sizes:
        packets.append(data[:size])
        data = data[size:]
    return [packet for packet in (*packets, data) if packet]


class SplitTest(unittest.TestCase):
    @given(
        st.lists(st.one_of(st.sampled_from(FRAGMENTS), st.binary(max_size=20)), max_size=9),
        st.lists(st.integers(1, 5000), max_size=30),
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_split_gives_the_same_result(
        self, fragments: list[bytes], sizes: list[int]
    ) -> None:
        data = b"".join(fragments)
        whole = asyncio.run(receive([data] if data else []))
        self.assertEqual(asyncio.run(receive(split(data, sizes))), whole)
        self.assertEqual(asyncio.run(receive(split(data, [7] * 3000))), whole)
