"""Client side of HTTP/1.1 on the event loop: one connection, one request at a time."""

import asyncio
import contextlib
import select
import socket
from typing import NamedTuple

import httptools

from auburncart.exception import LinkError, ProtocolError

__all__ = ["ClientConnection", "RawReply", "split_address"]

KEEPALIVE_IDLE_SECONDS = 1  # a silent peer is found within three seconds, a second before calm
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 3000  # as long as the probes take


class RawReply(NamedTuple):
    """A whole reply.

    :param fields: all headers, names in lower case.
    :param keep: whether the server keeps the connection open.
    """

    status: int
    reason: bytes
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep: bool

    def field(self, name: bytes) -> bytes:
        """Return the first value of a header, ``b""`` if it is absent."""
        return next((value for key, value in self.fields if key.lower() == name), b"")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an address.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class ClientConnection(asyncio.Protocol):
    """One kept connection to a server.

    Bytes that arrive while no reply is due belong to no request: they end the connection.

    :param address: ``"IP:port"`` of the server.
    :param most_bytes: longest body taken.
    """

    _complete: bool  # whether the reply at work has arrived as a whole
    _unframed: bool  # whether its body ends with the connection

    def __init__(self, address: str, most_bytes: int) -> None:
        self._address = address
        self._most_bytes = most_bytes
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[RawReply] | None = None
        self._closed = False
        self._begin_reply()

    @classmethod
    async def open(cls, address: str, seconds: float, most_bytes: int) -> "ClientConnection":
        """Open a connection.

        :param seconds: time limit.
        :raises LinkError: the server could not be reached.
        """
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds):
                _, connection = await loop.create_connection(
                    lambda: cls(address, most_bytes), host, port
                )
        except TimeoutError as error:
            raise LinkError("not open in time", step="connect", peer=address) from error
        except OSError as error:
            raise LinkError(str(error), step="connect", peer=address) from error
        return connection

    @property
    def usable(self) -> bool:
        """Whether it is open, idle, and nothing has arrived that no request asked for."""
        return not self._closed and self._waiter is None

    @property
    def quiet(self) -> bool:
        """Whether the other side has not closed it either, as far as the system knows now."""
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
        """Send one request and wait for its whole reply; cancelling closes the connection.

        :param message: the encoded request.
        :param bodiless: whether the reply has no body whatever its headers say.
        :raises LinkError: no whole reply arrived; nothing was sent if its step is ``connect``.
        :raises ProtocolError: the reply is not HTTP, or too long.
        """
        if not self.usable or self._transport is None:
            raise LinkError("closed by the other side", step="connect", peer=self._address)
        self._waiter = asyncio.get_running_loop().create_future()
        self._bodiless = bodiless
        self._transport.write(message)
        try:
            reply = await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._waiter = None
        # The rest of a request that was answered early must not be taken for the next one.
        if not reply.keep or self._transport.get_write_buffer_size() > 0:
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection at once; a request at work on it fails."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()
        self._fail(LinkError("the connection was closed", step="reply", peer=self._address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport in and let the system find a silent peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        probe_peer(transport)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._waiter is None or self._waiter.done():
            self._end_with_surplus()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._complete:
                self._closed = True
                self._deliver()
                self._end_with_surplus()
                return
            reason = f"the reply is not HTTP: {error}"
            self._fail(ProtocolError(reason, step="reply", peer=self._address))
            self.close()
            return
        if self._complete:
            surplus = self._surplus
            if surplus:
                self._closed = True
            self._deliver()
            if surplus:
                self._end_with_surplus()

    def eof_received(self) -> bool:
        """End a reply without a length; any other one has been cut."""
        if self._unframed and self._waiter is not None and not self._waiter.done():
            self._keep = False
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request at work."""
        self._closed = True
        reason = str(exc) if exc else "closed by the other side before a whole reply"
        self._fail(LinkError(reason, step="reply", peer=self._address))

    def on_message_begin(self) -> None:
        """Begin a reply, or see that surplus bytes follow one."""
        self._surplus = self._complete

    def on_status(self, status: bytes) -> None:
        """Take in the reason phrase."""
        if not self._complete:
            self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        if not self._complete:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Take in the end of the headers."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        self._keep = self._parser.should_keep_alive()
        names = {name.lower() for name, _ in self._fields}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._unframed = not framed and self._status >= 200 and self._status not in (204, 304)
        if self._bodiless and self._status >= 200:
            self._complete = True

    def on_body(self, body: bytes) -> None:
        """Take in a piece of the body."""
        if self._complete:
            return
        self._size += len(body)
        self._body.append(body)
        if self._size > self._most_bytes:
            reason = f"the reply is longer than {self._most_bytes} bytes"
            self._fail(ProtocolError(reason, step="reply", peer=self._address))
            self.close()

    def on_message_complete(self) -> None:
        """Take in the end of a reply; an interim one is followed by another."""
        if self._complete:
            return
        if self._status < 200:
            self._fields.clear()
            self._reason = b""
            return
        self._complete = True

    def _begin_reply(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._status = 0
        self._reason = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._keep = True
        self._complete = False
        self._surplus = False
        self._unframed = False
        self._bodiless = False

    def _deliver(self) -> None:
        reply = RawReply(
            self._status, self._reason, tuple(self._fields), b"".join(self._body), self._keep
        )
        keep = self._keep and not self._closed
        self._begin_reply()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(reply._replace(keep=keep))

    def _end_with_surplus(self) -> None:
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, error: Exception) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)


def probe_peer(transport: asyncio.Transport) -> None:
    """Let the system end a connection whose other side has gone silent."""
    sock = transport.get_extra_info("socket")
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
    )
    for level, name, value in options:
        with contextlib.suppress(OSError):  # a platform without the option has longer limits
            sock.setsockopt(level, name, value)
