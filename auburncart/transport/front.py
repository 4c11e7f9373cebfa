"""HTTP/1.1 server on the event loop for requests that are forwarded."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import httptools

from auburncart.coordination.forwarding.interfaces import Forwarder
from auburncart.coordination.shutdown import FrontEnd
from auburncart.exception import InputError
from auburncart.protocol.forward import CallerCodec, RequestHead, WireReply
from auburncart.state.configuration import CallerLimits
from auburncart.state.forward import Header
from auburncart.transport.client import enable_keepalive, has_input, split_address
from auburncart.transport.clock import received_at

__all__ = ["ForwardServer", "ReadinessServer"]

MAX_PIPELINED_REQUESTS = 4  # read ahead on one connection
# Chunk headers and trailers may have as many bytes as the body, and this many more.
MAX_FRAMING_BYTES = 65_536
LISTEN_BACKLOG = 1024  # a SYN dropped in a burst of connections is retransmitted only after 1 s
# Iterations of the event loop without a connection to accept, after which connection_made() has
# been called for all others; and in total, for when no descriptor is left to accept one.
QUIET_ITERATIONS = 4
MAX_ACCEPT_ITERATIONS = 100
CONNECT = b"CONNECT"
UPGRADE = b"upgrade"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES = {
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


class _ReceivedRequest(NamedTuple):
    """A received request, complete or refused.

    :param refusal_status: HTTP status of the refusal, 0 if the request was accepted.
    :param keep_alive: whether the caller keeps the connection open.
    """

    head: RequestHead
    body: bytes
    started_at: float
    refusal_status: int
    keep_alive: bool


class ForwardServer(FrontEnd):
    """Accepts callers' connections and serves each in its own task.

    :param address: ``"IP:port"`` to listen on.
    :param forwarder: answers the requests.
    :param codec: decodes requests and encodes replies.
    :param limits: returns the current limits for callers.
    """

    def __init__(
        self,
        address: str,
        forwarder: Forwarder,
        codec: CallerCodec,
        limits: Callable[[], CallerLimits],
    ) -> None:
        self._address = address
        self.forwarder = forwarder
        self.codec = codec
        self.limits = limits
        self._server: asyncio.Server | None = None
        self.connections: set[_CallerConnection] = set()
        self._connection_closed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _CallerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )

    def close_after_reply(self) -> None:
        """Do nothing: each connection checks after its reply whether the VM is leaving."""

    async def finish(self) -> None:
        """Stop listening, close idle connections and wait for the others to be answered."""
        if self._server is not None:
            await self._accept_waiting(self._server)
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()
        while self.connections:
            self._connection_closed.clear()
            await self._connection_closed.wait()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def discard(self, connection: "_CallerConnection") -> None:
        """Record that a connection has been closed."""
        self.connections.discard(connection)
        self._connection_closed.set()

    async def _accept_waiting(self, server: asyncio.Server) -> None:
        """Accept the connections that callers have opened; closing the socket would reset them."""
        quiet_iterations = 0
        for _ in range(MAX_ACCEPT_ITERATIONS):
            waiting = any(map(has_input, server.sockets))
            quiet_iterations = 0 if waiting else quiet_iterations + 1
            if quiet_iterations == QUIET_ITERATIONS:
                return
            await asyncio.sleep(0.0)


class _CallerConnection(asyncio.Protocol):
    """One caller's connection; requests are answered in order."""

    _started_at: float  # loop time in seconds at which the current request began, 0 if none did

    def __init__(self, server: ForwardServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._received: deque[_ReceivedRequest] = deque()
        self._request_waiter: asyncio.Future[None] | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._refused = False
        self._answering = False
        self._is_new = True
        self._caller_address = ""
        self._timer: asyncio.TimerHandle | None = None
        self._reset_request()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the caller."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._caller_address = "{}:{}".format(*transport.get_extra_info("peername")[:2])
        self._server.connections.add(self)
        enable_keepalive(transport)
        self._set_timer(self._server.limits().idle_timeout_seconds)
        self._task = asyncio.create_task(self._serve(), name=f"caller {self._caller_address}")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._refused:
            return
        if self._head_complete:
            self._framing_size += len(data)
        else:
            self._head_size += len(data)
        self._parse(data)
        limits = self._server.limits()
        if not self._head_complete and self._head_size > limits.max_header_bytes:
            self._refuse(431)
        if self._framing_size > MAX_FRAMING_BYTES + 2 * self._body_size:
            self._refuse(400)
        if len(self._received) >= MAX_PIPELINED_REQUESTS and self._transport is not None:
            self._transport.pause_reading()

    def _parse(self, data: bytes) -> None:
        while not self._refused:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                self._ignore_upgrade()
                continue
            except httptools.HttpParserError:
                self._refuse(400)
            return

    def _ignore_upgrade(self) -> None:
        """Parse a head again without its offer of an upgrade (RFC 9110, section 7.8).

        The parser takes all that follows such a head for another protocol, also a body.
        """
        method, version = self._parser.get_method(), self._parser.get_http_version().encode()
        if method == CONNECT:
            self._refuse(400)
            return
        lines = [b"%b %b HTTP/%b" % (method, self._target, version)]
        lines += [b"%b: %b" % header for header in self._headers if header[0].lower() != UPGRADE]
        self._reset_head()
        self._parser = httptools.HttpRequestParser(self)
        self._parse(b"\r\n".join((*lines, b"", b"")))

    def eof_received(self) -> bool:
        """Let the transport close when the caller closes its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work for a caller that has disconnected."""
        self._server.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close the connection after sending the written data."""
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is arriving or being answered."""
        assert self._transport is not None
        has_request = self._answering or self._received or self._started_at
        if not has_request and not has_input(self._transport.get_extra_info("socket")):
            self.close()

    def on_message_begin(self) -> None:
        """Start the header timeout of a request."""
        if not self._started_at:
            self._started_at = asyncio.get_running_loop().time()
            self._set_timer(self._server.limits().header_timeout_seconds)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored."""
        if self._head_complete:
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size limits at the end of the headers."""
        self._head_complete = True
        if self._parser.should_upgrade():
            return
        self._started_at = received_at()
        limits = self._server.limits()
        size = len(self._target) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > limits.max_header_bytes:
            self._refuse(431)
            return
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"expect" and value.lower() == b"100-continue" and self._transport:
                self._transport.write(CONTINUE)
            elif lower == b"content-length" and int(value) > limits.max_body_bytes:
                self._refuse(413)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; refuse the request if it grows too long."""
        self._body_size += len(body)
        if self._body_size > self._server.limits().max_body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._refused or self._parser.should_upgrade():
            return
        self._enqueue(0, self._parser.should_keep_alive())
        self._reset_request()
        self._set_timer(0.0)

    async def _serve(self) -> None:
        """Answer queued requests in order."""
        assert self._transport is not None
        try:
            while True:
                received = await self._next_request()
                if received.refusal_status:
                    self._write(WireReply(received.refusal_status, b"", (), b""), keep_alive=False)
                    break
                self._answering = True
                keep_alive = await self._answer(received)
                self._answering = False
                if not keep_alive:
                    break
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        self._transport.close()

    async def _next_request(self) -> _ReceivedRequest:
        while not self._received:
            self._request_waiter = asyncio.get_running_loop().create_future()
            if not self._started_at:
                self._set_timer(self._server.limits().idle_timeout_seconds)
            await self._request_waiter
        received = self._received.popleft()
        if len(self._received) < MAX_PIPELINED_REQUESTS and self._transport is not None:
            self._transport.resume_reading()
        return received

    async def _answer(self, received: _ReceivedRequest) -> bool:
        """Answer one request; return whether the connection stays open."""
        codec = self._server.codec
        try:
            request = codec.decode_request(
                received.head, received.body, received.started_at, self._caller_address
            )
        except InputError as error:
            self._write(WireReply(400, b"", (), str(error).encode()), keep_alive=False)
            return False
        is_new, self._is_new = self._is_new, False
        answer = await self._server.forwarder.answer(request._replace(new_connection=is_new))
        # Requests that have been read must be answered before the connection is closed.
        leaves = self._server.forwarder.leaving and not self._received and not self._started_at
        keep_alive = received.keep_alive and not leaves
        self._write(
            codec.encode_reply(answer),
            keep_alive=keep_alive,
            bodiless=received.head.method == "HEAD",
        )
        return keep_alive

    def _write(self, reply: WireReply, *, keep_alive: bool, bodiless: bool = False) -> None:
        assert self._transport is not None
        reason = reply.reason or REASON_PHRASES.get(reply.status, b"")
        lines = [b"HTTP/1.1 %d %b\r\n" % (reply.status, reason)]
        lines += [b"%b: %b\r\n" % header for header in reply.headers]
        if reply.status not in (204, 304):
            lines.append(b"Content-Length: %d\r\n" % len(reply.body))
        if not keep_alive:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        if not bodiless:
            lines.append(reply.body)
        self._transport.write(b"".join(lines))

    def _refuse(self, status: int) -> None:
        """Queue a refusal behind the earlier requests and read no further."""
        if not self._refused:
            self._refused = True
            self._enqueue(status, False)

    def _enqueue(self, refusal_status: int, keep_alive: bool) -> None:
        method = self._parser.get_method().decode("ascii") if self._head_complete else ""
        head = RequestHead(method, self._target, tuple(self._headers))
        self._received.append(
            _ReceivedRequest(
                head, b"".join(self._body), self._started_at, refusal_status, keep_alive
            )
        )
        if self._request_waiter is not None and not self._request_waiter.done():
            self._request_waiter.set_result(None)

    def _set_timer(self, seconds: float) -> None:
        """Set the timeout until the next request's headers are complete; 0 cancels it."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds > 0.0:
            self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer = None
        if self._started_at and not self._refused:
            self._refuse(408)
        elif not self._started_at:
            self.close()

    def _reset_head(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._head_complete = False

    def _reset_request(self) -> None:
        self._reset_head()
        self._body: list[bytes] = []
        self._body_size = 0
        self._head_size = 0
        self._framing_size = 0
        self._started_at = 0.0


class ReadinessServer:
    """Answers the platform's readiness probes, and serves pages such as metrics.

    :param address: ``"IP:port"`` to listen on.
    :param ready: returns whether this VM takes new callers.
    :param pages: functions that return the body of other paths, such as the metrics'.
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
        self._server = await asyncio.start_server(self._serve, host, port, backlog=LISTEN_BACKLOG)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection in order."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode("latin-1").partition("?")[0]
                page = self._pages.get(path)
                body = page() if page else b""
                status = 200 if page or self._ready() else 503
                writer.write(
                    b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; version=0.0.4\r\n"
                    b"Content-Length: %d\r\n\r\n"
                    % (status, REASON_PHRASES[status], len(body))
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, IndexError):
            pass  # the client has disconnected or sent no valid request
        except asyncio.CancelledError:
            pass  # shutdown; asyncio's streams would log the cancellation as an error
        finally:
            writer.close()
