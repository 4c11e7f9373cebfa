"""A time limit for reading one request as a whole, whatever pace its bytes come at."""

import contextlib
import heapq
import itertools
import socket
import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

__all__ = ["BODY_READ", "ReadingServer"]

BODY_READ = "auburncart.body_read"  # key of the WSGI environment: call it once the body is read
TOO_SLOW_BODY = b'{"error":"bad_request","reason":"sent too slowly","ran":"no","step":"parse"}'
TOO_SLOW = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\n"
    + f"Content-Length: {len(TOO_SLOW_BODY)}\r\n\r\n".encode()
    + TOO_SLOW_BODY
)


class _Reading(NamedTuple):
    """A request that is being read."""

    end: float
    number: int
    connection: HTTPConnection


class _Watch:
    """Ends the connections whose request takes too long to read; one thread waits for them all.

    :param seconds: time limit of one request.
    :param clock: seconds of a clock that never goes back.
    """

    def __init__(self, seconds: float, clock: Callable[[], float]) -> None:
        self._seconds = seconds
        self._clock = clock
        self._numbers = itertools.count()
        self._heap: list[_Reading] = []
        self._reading: dict[int, _Reading] = {}
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="slow-readers", daemon=True)

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        self._thread.join()

    def begin(self, connection: HTTPConnection) -> None:
        """Take in that the reading of a request begins."""
        entry = _Reading(self._clock() + self._seconds, next(self._numbers), connection)
        with self._changed:
            self._reading[id(connection)] = entry
            heapq.heappush(self._heap, entry)
            if self._heap[0] is entry:
                self._changed.notify()

    def end(self, connection: HTTPConnection) -> None:
        """Take in that a request has been read, or will never be."""
        with self._changed:
            self._reading.pop(id(connection), None)

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._stopped:
                    return
                due = self._due()
                if not due:
                    self._changed.wait(self._heap[0].end - self._clock() if self._heap else None)
            for connection in due:
                _end_slow(connection)

    def _due(self) -> list[HTTPConnection]:
        due = []
        while self._heap and self._heap[0].end <= self._clock():
            entry = heapq.heappop(self._heap)
            if self._reading.get(id(entry.connection)) is entry:
                del self._reading[id(entry.connection)]
                due.append(entry.connection)
        return due


def _end_slow(connection: HTTPConnection) -> None:
    with contextlib.suppress(OSError):
        connection.socket.send(TOO_SLOW)
    with contextlib.suppress(OSError):
        connection.socket.shutdown(socket.SHUT_RDWR)


class _WatchedRequest(HTTPRequest):
    """A request whose reading is watched from its first byte to its last."""

    def parse_request(self) -> None:
        """Read the request line and headers."""
        self.server.watch.begin(self.conn)
        super().parse_request()
        if not self.ready:
            self.server.watch.end(self.conn)

    def respond(self) -> None:
        """Run the application; it reads the body."""
        try:
            super().respond()
        finally:
            self.server.watch.end(self.conn)


class _WatchedConnection(HTTPConnection):
    """A connection that carries watched requests."""

    RequestHandlerClass = _WatchedRequest


class _WatchedGateway(wsgi.Gateway_10):
    """Gives the application the means to say that it has read the body."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the environment of the request."""
        environ = super().get_environ()
        environ[BODY_READ] = lambda: self.req.server.watch.end(self.req.conn)
        return environ


class ReadingServer(wsgi.Server):
    """A WSGI server that ends connections which send a request too slowly.

    :param read_seconds: time limit for reading one request, headers and body.
    :param clock: seconds of a clock that never goes back.
    """

    ConnectionClass = _WatchedConnection

    def __init__(
        self, *args: Any, read_seconds: float, clock: Callable[[], float], **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self.gateway = _WatchedGateway
        self.watch = _Watch(read_seconds, clock)

    def prepare(self) -> None:
        """Listen, and watch what is read."""
        self.watch.start()
        super().prepare()

    def stop(self) -> None:
        """Stop serving."""
        super().stop()
        self.watch.stop()
