"""Calls of the platform's store over kept connections, whatever its paths and bodies."""

import asyncio
from typing import NamedTuple

from auburncart.exception import LinkError, ProtocolError, StoreUnavailableError
from auburncart.transport.client import ClientConnection, RawReply

__all__ = ["CALL_SECONDS", "StoreCall", "StoreClient"]

CONNECT_SECONDS = 1.0  # an opening packet that was lost is sent again after one second
CALL_SECONDS = 2.0  # the store answers in milliseconds; a slow one in some hundred
MOST_KEPT = 8  # connections: as many calls as one VM makes at a time


class StoreCall(NamedTuple):
    """One call.

    :param path: path and query.
    :param headers: headers beside those that frame the body.
    :param body: body, None for none.
    """

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes | None = None


class StoreClient:
    """Calls one store.

    :param address: ``"IP:port"`` of the store.
    :param most_bytes: longest reply taken.
    :param headers: headers of every call.
    :param call_seconds: time limit of a call, to which the wait of a watch is added.
    """

    def __init__(
        self,
        address: str,
        most_bytes: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        call_seconds: float = CALL_SECONDS,
    ) -> None:
        self._address = address
        self._most_bytes = most_bytes
        self._headers = headers
        self._call_seconds = call_seconds
        self._kept: list[ClientConnection] = []

    @property
    def address(self) -> str:
        """``"IP:port"`` of the store."""
        return self._address

    async def call(self, call: StoreCall, wait: float = 0.0) -> RawReply:
        """Make one call.

        :param wait: seconds for which the store may hold its reply back.
        :raises StoreUnavailableError: no whole reply; ``sent`` tells whether it may have arrived.
        """
        try:
            async with asyncio.timeout(self._call_seconds + wait):
                connection = await self._connection()
                reply = await connection.exchange(self._encode(call))
        except (LinkError, ProtocolError) as error:
            raise StoreUnavailableError(
                error.reason,
                step=error.step,
                peer=self._address,
                sent=error.step != "connect",
            ) from error
        except TimeoutError as error:
            reason = "no whole reply in time"
            raise StoreUnavailableError(reason, step="reply", peer=self._address) from error
        if connection.usable and len(self._kept) < MOST_KEPT:
            self._kept.append(connection)
        else:
            connection.close()
        return reply

    def close(self) -> None:
        """Close the kept connections."""
        for connection in self._kept:
            connection.close()
        self._kept.clear()

    async def _connection(self) -> ClientConnection:
        while self._kept:
            kept = self._kept.pop()
            if kept.quiet:
                return kept
            kept.close()
        return await ClientConnection.open(self._address, CONNECT_SECONDS, self._most_bytes)

    def _encode(self, call: StoreCall) -> bytes:
        lines = [f"{call.method} {call.path} HTTP/1.1\r\nHost: {self._address}\r\n".encode()]
        lines += [b"%b: %b\r\n" % header for header in (*self._headers, *call.headers)]
        if call.body is not None:
            lines.append(b"Content-Type: application/json\r\n")
            lines.append(b"Content-Length: %d\r\n" % len(call.body))
        lines += [b"\r\n", call.body or b""]
        return b"".join(lines)
