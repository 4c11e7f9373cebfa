"""An asyncio HTTP/1.1 client connection that carries one request at a time."""

import asyncio
import contextlib
import select
import socket
from typing import NamedTuple

import httptools

from auburncart.exception import LinkError, ProtocolError

__all__ = ["ClientConnection", "RawReply", "split_address"]

KEEPALIVE_IDLE_SECONDS = 1  # finds a dead peer in three seconds, one before settling time ends
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 3000  # equals the time that the keepalive probes take


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

    Bytes that arrive while no reply is expected close the connection.

    :param address: ``"IP:port"`` of the server.
    :param max_bytes: maximum size of a reply body.
    """

    _complete: bool  # whether the current reply is complete
    _ends_with_connection: bool  # whether closing the connection ends the reply body

    def __init__(self, address: str, max_bytes: int) -> None:
        self._address = address
        self._max_bytes = max_bytes
        self._transport: asyncio.Transport | None = None
        self._reply_future: asyncio.Future[RawReply] | None = None
        self._closed = False
        self._reset()

    @classmethod
    async def open(cls, address: str, seconds: float, max_bytes: int) -> "ClientConnection":
        """Open a connection.

        :param seconds: timeout.
        :raises LinkError: the server could not be reached.
        """
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds):
                _, connection = await loop.create_connection(
                    lambda: cls(address, max_bytes), host, port
                )
        except TimeoutError as error:
            raise LinkError("connect timed out", step="connect", peer=address) from error
        except OSError as error:
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
        sock = self._transport.get_extra_info("socket")
        readable, _, _ = select.select([sock], [], [], 0)
        return not readable

    @property
    def address(self) -> str:
        """``"IP:port"`` of the server."""
        return self._address

    async def exchange(self, message: bytes, *, bodiless: bool = False) -> RawReply:
        """Send one request and wait for its complete reply; cancellation closes the connection.

        :param message: the encoded request.
        :param bodiless: whether the reply has no body regardless of its headers.
        :raises LinkError: no complete reply arrived; nothing was sent if its step is ``connect``.
        :raises ProtocolError: the reply is malformed or too long.
        """
        if not self.usable or self._transport is None:
            raise LinkError("closed by the server", step="connect", peer=self._address)
        self._reply_future = asyncio.get_running_loop().create_future()
        self._bodiless = bodiless
        self._transport.write(message)
        try:
            reply = await self._reply_future
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._reply_future = None
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
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._complete:
                self._closed = True
                self._finish_reply()
                self._abort()
                return
            reason = f"the reply is not valid HTTP: {error}"
            self._fail_request(ProtocolError(reason, step="reply", peer=self._address))
            self.close()
            return
        if self._complete:
            has_excess = self._has_excess
            if has_excess:
                self._closed = True
            self._finish_reply()
            if has_excess:
                self._abort()

    def eof_received(self) -> bool:
        """Complete a reply that has no length; any other reply is truncated."""
        if (
            self._ends_with_connection
            and self._reply_future is not None
            and not self._reply_future.done()
        ):
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
        """Store a header."""
        if not self._complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine from the headers how the body ends."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        names = {name.lower() for name, _ in self._headers}
        has_length = b"content-length" in names or b"transfer-encoding" in names
        self._ends_with_connection = (
            not has_length and self._status >= 200 and self._status not in (204, 304)
        )
        if self._bodiless and self._status >= 200:
            self._complete = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; fail if it grows too long."""
        if self._complete:
            return
        self._body_size += len(body)
        self._body.append(body)
        if self._body_size > self._max_bytes:
            reason = f"the reply is longer than {self._max_bytes} bytes"
            self._fail_request(ProtocolError(reason, step="reply", peer=self._address))
            self.close()

    def on_message_complete(self) -> None:
        """Complete the reply; after an interim (1xx) reply, expect another."""
        if self._complete:
            return
        if self._status < 200:
            self._headers.clear()
            self._reason = b""
            return
        self._complete = True

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._status = 0
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._keep_alive = True
        self._complete = False
        self._has_excess = False
        self._ends_with_connection = False
        self._bodiless = False

    def _finish_reply(self) -> None:
        reply = RawReply(
            self._status, self._reason, tuple(self._headers), b"".join(self._body), self._keep_alive
        )
        keep_alive = self._keep_alive and not self._closed
        self._reset()
        if self._reply_future is not None and not self._reply_future.done():
            self._reply_future.set_result(reply._replace(keep_alive=keep_alive))

    def _abort(self) -> None:
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _fail_request(self, error: Exception) -> None:
        if self._reply_future is not None and not self._reply_future.done():
            self._reply_future.set_exception(error)


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
