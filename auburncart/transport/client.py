"""An asyncio HTTP/1.1 client connection that carries one request at a time."""

import asyncio
import contextlib
import select
import socket
from asyncio.trsock import TransportSocket
from typing import NamedTuple

import httptools

from auburncart.coordination.forwarding.reply_memory import UNRESERVED_BYTES, ReplyMemory
from auburncart.exception import LinkError, ProtocolError

__all__ = ["ClientConnection", "RawReply", "enable_keepalive", "has_input", "split_address"]

KEEPALIVE_IDLE_SECONDS = 1  # finds a dead peer in three seconds, one before settling time ends
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 3000  # equals the time that the keepalive probes take
CHECK_INTERVAL_BYTES = 4096  # a reply's sizes are checked at each multiple, however it is split
MAX_HEAD_BYTES = 8 * CHECK_INTERVAL_BYTES  # status line and headers, with all interim replies
MAX_HEADERS = 128
MAX_INTERIM_REPLIES = 16
# Head, chunk headers and trailers may have as many bytes as the body, and this many more.
MAX_OVERHEAD_BYTES = 2 * MAX_HEAD_BYTES


class RawReply(NamedTuple):
    """A complete reply.

    :param headers: all headers, names in lower case.
    :param keep_alive: whether the server keeps the connection open.
    """

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep_alive: bool

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or ``b""`` if it is absent."""
        return next((value for key, value in self.headers if key.lower() == name), b"")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``"IP:port"``.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class ClientConnection(asyncio.Protocol):
    """A persistent connection to a server.

    Bytes that arrive while no reply is expected close the connection, and so does a reply with a
    part that is too long.

    :param address: ``"IP:port"`` of the server.
    :param max_bytes: maximum size of a reply body.
    :param memory: shared by the bodies that are received at the same time; None for no bound.
    """

    _received: int  # bytes of the current reply
    _head_complete: bool  # whether the status line and headers of the final reply are complete
    _complete: bool  # whether the current reply is complete
    _ends_with_connection: bool  # whether closing the connection ends the reply body

    def __init__(self, address: str, max_bytes: int, memory: ReplyMemory | None = None) -> None:
        self._address = address
        self._max_bytes = max_bytes
        self._memory = memory
        self._reserved = 0
        self._transport: asyncio.Transport | None = None
        self._reply_future: asyncio.Future[RawReply] | None = None
        self._closed = False
        self._reset()

    @classmethod
    async def open(
        cls, address: str, seconds: float, max_bytes: int, memory: ReplyMemory | None = None
    ) -> "ClientConnection":
        """Open a connection.

        :param seconds: timeout.
        :raises LinkError: the server could not be reached.
        """
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(seconds):
                _, connection = await loop.create_connection(
                    lambda: cls(address, max_bytes, memory), host, port
                )
        except TimeoutError as error:
            raise LinkError("connect timed out", step="connect", peer=address) from error
        except (OSError, ValueError, OverflowError) as error:
            raise LinkError(str(error), step="connect", peer=address) from error
        return connection

    @property
    def usable(self) -> bool:
        """Whether it is open and idle."""
        return not self._closed and self._reply_future is None

    @property
    def reusable(self) -> bool:
        """Whether it is usable and the socket has no unread data and no EOF."""
        if not self.usable or self._transport is None:
            return False
        return not has_input(self._transport.get_extra_info("socket"))

    @property
    def address(self) -> str:
        """``"IP:port"`` of the server."""
        return self._address

    async def exchange(
        self, message: bytes, *, bodiless: bool = False, max_bytes: int | None = None
    ) -> RawReply:
        """Send one request and wait for its complete reply; cancellation closes the connection.

        :param message: the encoded request.
        :param bodiless: whether the reply has no body regardless of its headers.
        :param max_bytes: maximum size of this reply's body, None for that of the connection.
        :raises LinkError: no complete reply arrived; nothing was sent if its step is ``connect``.
        :raises ProtocolError: the reply is malformed or too long.
        """
        if not self.usable or self._transport is None:
            raise LinkError("closed by the server", step="connect", peer=self._address)
        self._reply_future = asyncio.get_running_loop().create_future()
        self._bodiless = bodiless
        self._max_reply_bytes = self._max_bytes if max_bytes is None else max_bytes
        self._transport.write(message)
        try:
            reply = await self._reply_future
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._reply_future = None
            self._release_memory()
        # After an early reply, the unsent rest of the request must not precede the next one.
        if not reply.keep_alive or self._transport.get_write_buffer_size() > 0:
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection immediately; a request in flight fails."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()
        self._fail_request(LinkError("the connection was closed", step="reply", peer=self._address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable keepalive probes."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._reply_future is None or self._reply_future.done():
            self._abort()
            return
        offset = 0
        while offset < len(data) and self._reply_pending:
            size = CHECK_INTERVAL_BYTES - self._received % CHECK_INTERVAL_BYTES
            piece = data[offset : offset + size]
            offset += len(piece)
            self._received += len(piece)
            self._parse(piece)
            if self._received % CHECK_INTERVAL_BYTES == 0 and self._reply_pending:
                self._check_sizes()
        if offset < len(data):
            self._abort()

    def eof_received(self) -> bool:
        """Complete a reply that has no length; any other reply is truncated."""
        if self._ends_with_connection and self._reply_pending:
            self._keep_alive = False
            self._finish_reply()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        self._closed = True
        reason = str(exc) if exc else "closed by the server before the reply was complete"
        self._fail_request(LinkError(reason, step="reply", peer=self._address))

    def on_message_begin(self) -> None:
        """Note whether this message begins after a complete reply."""
        self._has_excess = self._complete

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        if not self._complete:
            self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored."""
        if self._head_complete:
            return
        self._headers.append((name, value))
        if len(self._headers) > MAX_HEADERS:
            self._reject(f"the reply has more than {MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Determine from the headers how the body ends."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        self._head_complete = self._status >= 200
        self._keep_alive = self._parser.should_keep_alive()
        values_by_name = {name.lower(): value for name, value in self._headers}
        has_length = b"content-length" in values_by_name or b"transfer-encoding" in values_by_name
        self._ends_with_connection = (
            not has_length and self._status >= 200 and self._status not in (204, 304)
        )
        if self._bodiless and self._status >= 200:
            self._complete = True
        elif int(values_by_name.get(b"content-length", b"0")) > self._max_reply_bytes:
            self._reject(f"the reply is longer than {self._max_reply_bytes} bytes")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; fail if it grows too long."""
        if self._complete or not self._reply_pending:
            return
        size = len(self._body) + len(body)
        if size > self._max_reply_bytes:
            self._reject(f"the reply is longer than {self._max_reply_bytes} bytes")
            return
        if not self._reserve_memory(size):
            self._reject(f"no memory is left for a reply of more than {len(self._body)} bytes")
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Complete the reply; after an interim (1xx) reply, expect another."""
        if self._complete:
            return
        if self._status < 200:
            self._headers.clear()
            self._reason = b""
            self._interim_replies += 1
            if self._interim_replies > MAX_INTERIM_REPLIES:
                self._reject(f"more than {MAX_INTERIM_REPLIES} interim replies")
            return
        self._complete = True

    @property
    def _reply_pending(self) -> bool:
        return self._reply_future is not None and not self._reply_future.done()

    def _parse(self, data: bytes) -> None:
        """Parse a part of the reply, and finish the reply if it is complete."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._complete:
                self._reject(f"the reply is not valid HTTP: {error}")
                return
            self._has_excess = True
        if not self._complete:
            return
        has_excess = self._has_excess
        if has_excess:
            self._closed = True
        self._finish_reply()
        if has_excess:
            self._abort()

    def _check_sizes(self) -> None:
        """Reject a reply whose head, or whose framing of the body, is too long."""
        if not self._head_complete and self._received >= MAX_HEAD_BYTES:
            self._reject(f"the head of the reply is longer than {MAX_HEAD_BYTES} bytes")
        elif self._received > MAX_OVERHEAD_BYTES + 2 * len(self._body):
            self._reject(f"{self._received} bytes for a body of {len(self._body)}")

    def _reserve_memory(self, size: int) -> bool:
        """Reserve the memory for a body of this size; return False if there is not enough."""
        needed = size - UNRESERVED_BYTES - self._reserved
        if self._memory is None or needed <= 0:
            return True
        if not self._memory.reserve(needed):
            return False
        self._reserved += needed
        return True

    def _release_memory(self) -> None:
        if self._memory is not None:
            self._memory.release(self._reserved)
        self._reserved = 0

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._received = 0
        self._interim_replies = 0
        self._head_complete = False
        self._status = 0
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._max_reply_bytes = self._max_bytes
        self._keep_alive = True
        self._complete = False
        self._has_excess = False
        self._ends_with_connection = False
        self._bodiless = False

    def _finish_reply(self) -> None:
        reply = RawReply(
            self._status, self._reason, tuple(self._headers), bytes(self._body), self._keep_alive
        )
        keep_alive = self._keep_alive and not self._closed
        self._reset()
        if self._reply_future is not None and self._reply_pending:
            self._reply_future.set_result(reply._replace(keep_alive=keep_alive))

    def _abort(self) -> None:
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, reason: str) -> None:
        """Fail the request because of its reply, and close the connection."""
        self._fail_request(ProtocolError(reason, step="reply", peer=self._address))
        self._headers.clear()
        self._body.clear()
        self.close()

    def _fail_request(self, error: Exception) -> None:
        if self._reply_future is not None and self._reply_pending:
            self._reply_future.set_exception(error)


def has_input(sock: socket.socket | TransportSocket) -> bool:
    """Return whether a socket has unread data, an EOF, an error or a connection to accept."""
    poll = select.poll()  # unlike select(), for descriptors of any number
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def enable_keepalive(transport: asyncio.Transport) -> None:
    """Enable TCP keepalive and timeouts, so that the kernel closes connections to dead peers."""
    sock = transport.get_extra_info("socket")
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    )
    for level, name, value in options:
        with contextlib.suppress(OSError):  # platforms without the option use longer timeouts
            sock.setsockopt(level, name, value)
