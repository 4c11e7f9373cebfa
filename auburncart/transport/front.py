"""Server side of HTTP/1.1 on the event loop for requests that are passed on."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import httptools

from auburncart.coordination.forwarding.interfaces import Forwarder
from auburncart.coordination.shutdown import FrontEnd
from auburncart.exception import InputError
from auburncart.protocol.forward import CallerDialect, RequestHead, WireReply
from auburncart.state.configuration import CallerLimits
from auburncart.state.forward import Header
from auburncart.transport.client import probe_peer, split_address

__all__ = ["ForwardServer", "ReadinessServer"]

MOST_PIPELINED = 4  # requests read ahead of their turn on one connection
BACKLOG = 1024  # a burst of new connections must not drop opening packets, sent again after 1 s
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class _Received(NamedTuple):
    """A whole request, or why it was not taken.

    :param refused: status of the refusal, 0 if the request was taken.
    :param keep: whether the caller keeps the connection open.
    """

    head: RequestHead
    body: bytes
    began: float
    refused: int
    keep: bool


class ForwardServer(FrontEnd):
    """Takes callers' connections, each with a task of its own.

    :param address: ``"IP:port"`` to listen on.
    :param forwarder: answers the requests.
    :param dialect: what callers send and read.
    :param limits: returns what callers may send now.
    """

    def __init__(
        self,
        address: str,
        forwarder: Forwarder,
        dialect: CallerDialect,
        limits: Callable[[], CallerLimits],
    ) -> None:
        self._address = address
        self.forwarder = forwarder
        self.dialect = dialect
        self.limits = limits
        self._server: asyncio.Server | None = None
        self.connections: set[_CallerConnection] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _CallerConnection(self), host, port, backlog=BACKLOG
        )

    def close_after_reply(self) -> None:
        """Do nothing: each connection sees by its next reply that the VM is leaving."""

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.end()


class _CallerConnection(asyncio.Protocol):
    """One caller's connection: requests are answered one after the other, in their order."""

    _began: float  # loop time in seconds at which the request at work began, 0 if there is none

    def __init__(self, server: ForwardServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._received: deque[_Received] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._failed = False
        self._opened = True
        self._peer = ""
        self._timer: asyncio.TimerHandle | None = None
        self._reset()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the caller."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._peer = "{}:{}".format(*transport.get_extra_info("peername")[:2])
        self._server.connections.add(self)
        probe_peer(transport)
        self._limit(self._server.limits().idle_timeout_seconds)
        self._task = asyncio.create_task(self._serve(), name=f"caller {self._peer}")

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._failed:
            return
        if not self._head_complete:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)
        limits = self._server.limits()
        if not self._head_complete and self._head_size > limits.max_header_bytes:
            self._refuse(431)
        if len(self._received) >= MOST_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Take in that the caller has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End all work for a caller that has left."""
        self._server.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def end(self) -> None:
        """Close the connection once what was written to it has been sent."""
        if self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        """Begin a request."""
        if not self._began:
            self._began = asyncio.get_running_loop().time()
            self._limit(self._server.limits().header_timeout_seconds)

    def on_url(self, url: bytes) -> None:
        """Take in a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Take in the end of the head."""
        self._head_complete = True
        now = asyncio.get_running_loop().time()
        self._began = now
        limits = self._server.limits()
        size = len(self._target) + sum(len(name) + len(value) + 4 for name, value in self._fields)
        if size > limits.max_header_bytes:
            self._refuse(431)
            return
        for name, value in self._fields:
            lower = name.lower()
            if lower == b"expect" and value.lower() == b"100-continue" and self._transport:
                self._transport.write(CONTINUE)
            elif lower == b"content-length" and int(value) > limits.max_body_bytes:
                self._refuse(413)

    def on_body(self, body: bytes) -> None:
        """Take in a piece of the body."""
        self._size += len(body)
        if self._size > self._server.limits().max_body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Take in the end of a request."""
        if self._failed:
            return
        self._add(0, self._parser.should_keep_alive())
        self._reset()
        self._limit(0.0)

    async def _serve(self) -> None:
        """Answer one request after the other."""
        assert self._transport is not None
        try:
            while True:
                received = await self._next()
                if received.refused:
                    self._write(WireReply(received.refused, b"", (), b""), keep=False)
                    break
                keep = await self._answer(received)
                if not keep:
                    break
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        self._transport.close()

    async def _next(self) -> _Received:
        while not self._received:
            self._waiter = asyncio.get_running_loop().create_future()
            if not self._began:
                self._limit(self._server.limits().idle_timeout_seconds)
            await self._waiter
        received = self._received.popleft()
        if len(self._received) < MOST_PIPELINED and self._transport is not None:
            self._transport.resume_reading()
        return received

    async def _answer(self, received: _Received) -> bool:
        """Answer one request; return whether the connection goes on."""
        dialect = self._server.dialect
        try:
            request = dialect.request(received.head, received.body, received.began, self._peer)
        except InputError as error:
            self._write(WireReply(400, b"", (), str(error).encode()), keep=False)
            return False
        opened, self._opened = self._opened, False
        answer = await self._server.forwarder.answer(request._replace(new_connection=opened))
        keep = received.keep and not self._server.forwarder.leaving
        self._write(dialect.reply(answer), keep=keep, bodiless=received.head.method == "HEAD")
        return keep

    def _write(self, reply: WireReply, *, keep: bool, bodiless: bool = False) -> None:
        assert self._transport is not None
        reason = reply.reason or REASONS.get(reply.status, b"")
        lines = [b"HTTP/1.1 %d %b\r\n" % (reply.status, reason)]
        lines += [b"%b: %b\r\n" % field for field in reply.headers]
        if reply.status not in (204, 304):
            lines.append(b"Content-Length: %d\r\n" % len(reply.body))
        if not keep:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        if not bodiless:
            lines.append(reply.body)
        self._transport.write(b"".join(lines))

    def _refuse(self, status: int) -> None:
        """Answer a request that cannot be read, after those before it, and read no further."""
        if not self._failed:
            self._failed = True
            self._add(status, False)

    def _add(self, refused: int, keep: bool) -> None:
        method = self._parser.get_method().decode("ascii") if self._head_complete else ""
        head = RequestHead(method, self._target, tuple(self._fields))
        self._received.append(_Received(head, b"".join(self._body), self._began, refused, keep))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _limit(self, seconds: float) -> None:
        """Bound the time until the next request's head is complete, or lift the bound by 0."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds > 0.0:
            self._timer = asyncio.get_running_loop().call_later(seconds, self._expire)

    def _expire(self) -> None:
        self._timer = None
        if self._began and not self._failed:
            self._refuse(408)
        elif not self._began:
            self.end()

    def _reset(self) -> None:
        self._target = b""
        self._fields: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0
        self._head_size = 0
        self._head_complete = False
        self._began = 0.0


class ReadinessServer:
    """Answers the platform's question whether this VM takes new callers.

    :param address: ``"IP:port"`` to listen on.
    :param ready: returns whether it does.
    :param pages: returns the body of each other path, such as the metrics'.
    """

    def __init__(
        self, address: str, ready: Callable[[], bool], pages: dict[str, Callable[[], bytes]]
    ) -> None:
        self._address = address
        self._ready = ready
        self._pages = pages
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port, backlog=BACKLOG)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one question after the other on one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode("latin-1").partition("?")[0]
                page = self._pages.get(path)
                body = page() if page else b""
                status = 200 if page or self._ready() else 503
                writer.write(
                    b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; version=0.0.4\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, REASONS[status], len(body)) + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, IndexError):
            pass  # the questioner has left, or sent no question
        except asyncio.CancelledError:
            pass  # the process ends; asyncio's streams would report the task's end as an error
        finally:
            writer.close()
