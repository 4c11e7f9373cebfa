"""A timeout for reading one whole request, however slowly its bytes arrive."""

import contextlib
import heapq
import itertools
import socket
import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

__all__ = ["BODY_READ_KEY", "ReadTimeoutServer"]

BODY_READ_KEY = "auburncart.body_read"  # WSGI key of a callable to be called after reading the body
SLOW_REPLY_BODY = b'{"error":"bad_request","reason":"sent too slowly","ran":"no","step":"parse"}'
SLOW_REPLY = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\n"
    + f"Content-Length: {len(SLOW_REPLY_BODY)}\r\n\r\n".encode()
    + SLOW_REPLY_BODY
)


class _PendingRead(NamedTuple):
    """A request that is being read."""

    due_at: float
    sequence: int
    connection: HTTPConnection


class _ReadTimer:
    """Closes connections whose request takes too long to read; one thread serves them all.

    :param seconds: timeout of one request.
    :param clock: seconds of a clock that never goes back.
    """

    def __init__(self, seconds: float, clock: Callable[[], float]) -> None:
        self._seconds = seconds
        self._clock = clock
        self._sequence = itertools.count()
        self._heap: list[_PendingRead] = []
        self._pending: dict[int, _PendingRead] = {}
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="slow-readers", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        self._thread.join()

    def begin(self, connection: HTTPConnection) -> None:
        """Start the timeout of a request."""
        entry = _PendingRead(self._clock() + self._seconds, next(self._sequence), connection)
        with self._changed:
            self._pending[id(connection)] = entry
            heapq.heappush(self._heap, entry)
            if self._heap[0] is entry:
                self._changed.notify()

    def end(self, connection: HTTPConnection) -> None:
        """Cancel the timeout of a request that has been read or abandoned."""
        with self._changed:
            self._pending.pop(id(connection), None)

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._stopped:
                    return
                expired = self._pop_expired()
                if not expired:
                    self._changed.wait(self._heap[0].due_at - self._clock() if self._heap else None)
            for connection in expired:
                _refuse_slow(connection)

    def _pop_expired(self) -> list[HTTPConnection]:
        expired = []
        while self._heap and self._heap[0].due_at <= self._clock():
            entry = heapq.heappop(self._heap)
            if self._pending.get(id(entry.connection)) is entry:
                del self._pending[id(entry.connection)]
                expired.append(entry.connection)
        return expired


def _refuse_slow(connection: HTTPConnection) -> None:
    with contextlib.suppress(OSError):
        connection.socket.send(SLOW_REPLY)
    with contextlib.suppress(OSError):
        connection.socket.shutdown(socket.SHUT_RDWR)


class _TimedRequest(HTTPRequest):
    """A request whose reading is timed from its first byte to its last."""

    def parse_request(self) -> None:
        """Read the request line and headers."""
        self.server.read_timer.begin(self.conn)
        super().parse_request()
        if not self.ready:
            self.server.read_timer.end(self.conn)

    def respond(self) -> None:
        """Run the application; it reads the body."""
        try:
            super().respond()
        finally:
            self.server.read_timer.end(self.conn)


class _TimedConnection(HTTPConnection):
    """A connection whose requests are timed."""

    RequestHandlerClass = _TimedRequest


class _TimedGateway(wsgi.Gateway_10):
    """Lets the application report that it has read the body."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment with the callable for ``BODY_READ_KEY``."""
        environ = super().get_environ()
        environ[BODY_READ_KEY] = lambda: self.req.server.read_timer.end(self.req.conn)
        return environ


class ReadTimeoutServer(wsgi.Server):
    """A WSGI server that closes connections which send a request too slowly.

    :param read_timeout_seconds: timeout for reading one request, headers and body.
    :param clock: seconds of a clock that never goes back.
    """

    ConnectionClass = _TimedConnection

    def __init__(
        self, *args: Any, read_timeout_seconds: float, clock: Callable[[], float], **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self.gateway = _TimedGateway
        self.read_timer = _ReadTimer(read_timeout_seconds, clock)

    def prepare(self) -> None:
        """Start listening and the read timer."""
        self.read_timer.start()
        super().prepare()

    def stop(self) -> None:
        """Stop serving and the read timer."""
        super().stop()
        self.read_timer.stop()
