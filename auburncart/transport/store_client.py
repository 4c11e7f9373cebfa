"""Pooled HTTP connections to the platform's store, independent of its paths and bodies."""

import asyncio
from typing import NamedTuple

from auburncart.exception import LinkError, ProtocolError, StoreUnavailableError
from auburncart.transport.client import ClientConnection, RawReply

__all__ = ["CALL_TIMEOUT_SECONDS", "StoreCall", "StoreClient"]

CONNECT_TIMEOUT_SECONDS = 1.0  # a lost SYN is retransmitted after one second
CALL_TIMEOUT_SECONDS = 2.0  # the store replies in milliseconds, or some hundred when it is slow
MAX_IDLE_CONNECTIONS = 8  # a VM makes no more calls than this concurrently


class StoreCall(NamedTuple):
    """One call to the store.

    :param path: path and query.
    :param headers: additional headers, without those that describe the body.
    :param body: request body, or None.
    """

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes | None = None


class StoreClient:
    """Calls one store.

    :param address: ``"IP:port"`` of the store.
    :param max_bytes: maximum size of a reply body.
    :param headers: headers sent with every call.
    :param call_timeout_seconds: timeout of a call.
    :param watch_timeout_seconds: timeout of a watch after its wait; that of a call by default.
    """

    def __init__(
        self,
        address: str,
        max_bytes: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        call_timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        watch_timeout_seconds: float | None = None,
    ) -> None:
        self._address = address
        self._max_bytes = max_bytes
        self._headers = headers
        self._call_timeout_seconds = call_timeout_seconds
        self._watch_timeout_seconds = watch_timeout_seconds or call_timeout_seconds
        self._idle: list[ClientConnection] = []

    @property
    def address(self) -> str:
        """``"IP:port"`` of the store."""
        return self._address

    async def call(self, call: StoreCall, wait: float = 0.0) -> RawReply:
        """Make one call.

        :param wait: seconds for which the store may delay its reply.
        :raises StoreUnavailableError: no complete reply; ``sent`` is False if nothing was sent.
        """
        timeout = wait + self._watch_timeout_seconds if wait else self._call_timeout_seconds
        try:
            async with asyncio.timeout(timeout):
                connection = await self._take_connection()
                reply = await connection.exchange(self._encode(call))
        except (LinkError, ProtocolError) as error:
            raise StoreUnavailableError(
                error.reason,
                step=error.step,
                peer=self._address,
                sent=error.step != "connect",
            ) from error
        except TimeoutError as error:
            self.close()  # the idle connections may have gone silent with this one
            reason = "no complete reply in time"
            raise StoreUnavailableError(reason, step="reply", peer=self._address) from error
        if connection.usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _take_connection(self) -> ClientConnection:
        while self._idle:
            idle = self._idle.pop()
            if idle.reusable:
                return idle
            idle.close()
        return await ClientConnection.open(self._address, CONNECT_TIMEOUT_SECONDS, self._max_bytes)

    def _encode(self, call: StoreCall) -> bytes:
        lines = [f"{call.method} {call.path} HTTP/1.1\r\nHost: {self._address}\r\n".encode()]
        lines += [b"%b: %b\r\n" % header for header in (*self._headers, *call.headers)]
        if call.body is not None:
            lines.append(b"Content-Type: application/json\r\n")
            lines.append(b"Content-Length: %d\r\n" % len(call.body))
        lines += [b"\r\n", call.body or b""]
        return b"".join(lines)
