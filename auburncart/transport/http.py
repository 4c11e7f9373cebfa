"""A persistent HTTP connection on its own thread, which can be closed during a request."""

import asyncio
import contextlib
import socket
from collections.abc import Mapping
from http.client import HTTPException
from typing import NamedTuple

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from auburncart.exception import LinkError, LinkTimeoutError
from auburncart.transport.worker import Worker

__all__ = ["HttpConnection", "HttpReply"]

REPLY_ERRORS = (HTTPError, HTTPException, OSError, ValueError)  # raised for a malformed reply


class HttpReply(NamedTuple):
    """Status, headers and body of a reply."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpConnection:
    """One connection; it carries one request at a time and is closed after an error.

    :param address: ``"IP:port"`` of the server.
    :param connect_seconds: time limit for opening the connection.
    :param max_bytes: maximum size of a reply body.
    """

    def __init__(self, address: str, connect_seconds: float, max_bytes: int) -> None:
        host, port = address.rsplit(":", 1)
        self._address = address
        self._max_bytes = max_bytes
        self._worker = Worker(f"http-{address}")
        self._http = HTTPConnection(host, int(port), timeout=connect_seconds)
        self._http.auto_open = 0  # a request never reopens a lost connection
        self._closed = False

    @property
    def connected(self) -> bool:
        """Whether it appears open with no unread data."""
        return self._http.is_connected

    async def connect(self) -> None:
        """Open the connection.

        :raises LinkError: the server could not be reached.
        """
        try:
            await self._worker.run(self.connect_blocking)
        except (HTTPError, OSError) as error:
            self.close()
            reason = f"{type(error).__name__}: {error}"
            raise LinkError(reason, step="connect", peer=self._address) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def request(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str], seconds: float
    ) -> HttpReply:
        """Send one request and wait for its reply.

        :param seconds: timeout of each socket operation.
        :raises LinkError: no complete reply arrived; nothing was sent if its step is ``connect``.
        """
        if self._closed:
            raise LinkError("the connection is closed", step="connect", peer=self._address)
        if not self.connected:
            self.close()
            raise LinkError("closed by the server", step="connect", peer=self._address)
        try:
            return await self._worker.run(
                self.request_blocking, method, path, body, headers, seconds
            )
        except TimeoutError as error:
            self.close()
            raise LinkTimeoutError("no reply in time", step="reply", peer=self._address) from error
        except REPLY_ERRORS as error:
            self.close()
            reason = f"{type(error).__name__}: {error}"
            raise LinkError(reason, step="reply", peer=self._address) from error
        except asyncio.CancelledError:
            self.close()
            raise

    def connect_blocking(self) -> None:
        """Open the connection, blocking the calling thread."""
        self._http.connect()

    def request_blocking(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str], seconds: float
    ) -> HttpReply:
        """Send one request and read its reply, blocking the calling thread."""
        self._http.timeout = seconds
        if self._http.sock is not None:
            self._http.sock.settimeout(seconds)
        self._http.request(method, path, body=body, headers=headers, preload_content=False)
        response = self._http.getresponse()
        data = response.read(self._max_bytes + 1)
        if len(data) > self._max_bytes:
            raise HTTPError(f"reply is longer than {self._max_bytes} bytes")
        response.read()
        return HttpReply(response.status, response.headers, data)

    def close(self) -> None:
        """Shut down the socket, which also aborts a call in progress, and let the thread end."""
        self._closed = True
        sock = self._http.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                sock.close()
        self._worker.stop()
