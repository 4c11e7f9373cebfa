"""The platform's store by HTTP with conditional requests and long-poll watches."""

import asyncio
from typing import Any, TypeVar

from auburncart.coordination.interfaces import Key, Store, Stored
from auburncart.exception import (
    LinkError,
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from auburncart.protocol import platform as protocol
from auburncart.state import Member
from auburncart.transport.http import HttpConnection, HttpReply

__all__ = ["HttpStore"]

T = TypeVar("T")
CONNECT_SECONDS = 1.0
CALL_SECONDS = 2.0
MOST_KEPT = 8
FOUND = 200
WRITTEN = (200, 201, 204)
UNCHANGED = 304
ABSENT = 404
CONFLICTS = (409, 412)


class HttpStore(Store):
    """Calls the store over kept connections.

    :param address: ``"IP:port"`` of the store.
    :param token: credential sent with each call, ``""`` for none.
    :param call_seconds: time limit of a call, to which the wait of a watch is added.
    """

    def __init__(self, address: str, token: str = "", call_seconds: float = CALL_SECONDS) -> None:
        self._call_seconds = call_seconds
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._kept: list[HttpConnection] = []

    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None if it does not exist."""
        return self._stored(key, await self._call("GET", protocol.object_path(key)))

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Wait by long poll until the object's tag differs from ``etag``."""
        path = f"{protocol.object_path(key)}?wait={wait:.3f}"
        reply = await self._call("GET", path, headers={"If-None-Match": etag}, wait=wait)
        return self._stored(key, reply)

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write if the object's tag is ``etag``, or if it is absent for ``""``."""
        condition = {"If-Match": etag} if etag else {"If-None-Match": "*"}
        body = protocol.encode_value(key, value)
        reply = await self._call("PUT", protocol.object_path(key), headers=condition, body=body)
        if reply.status in CONFLICTS:
            reason = f"{key.kind}/{key.name} has changed"
            raise StoreConflictError(reason, step="store", peer=self._address)
        self._expect(reply, WRITTEN)
        return reply.headers.get("ETag", "")

    async def members(self) -> tuple[Member, ...]:
        """Return the platform's list of VMs."""
        reply = await self._call("GET", protocol.PATH_MEMBERS)
        self._expect(reply, (FOUND,))
        try:
            return protocol.decode_members(reply.body)
        except ProtocolError as error:
            raise self._unavailable(error.reason, error.step) from error

    def close(self) -> None:
        """Close the kept connections."""
        for connection in self._kept:
            connection.close()
        self._kept.clear()

    def _stored(self, key: Key[Any], reply: HttpReply) -> Stored[Any] | None:
        if reply.status in (UNCHANGED, ABSENT):
            return None
        self._expect(reply, (FOUND,))
        return Stored(protocol.decode_value(key, reply.body), reply.headers.get("ETag", ""))

    def _expect(self, reply: HttpReply, statuses: tuple[int, ...]) -> None:
        if reply.status not in statuses:
            raise self._unavailable(f"status {reply.status}", "store")

    def _unavailable(self, reason: str, step: str) -> StoreUnavailableError:
        return StoreUnavailableError(reason, step=step, peer=self._address)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        wait: float = 0.0,
    ) -> HttpReply:
        merged = {**self._headers, **(headers or {})}
        seconds = self._call_seconds + wait
        try:
            async with asyncio.timeout(seconds):
                connection = await self._connection()
                reply = await connection.request(method, path, body, merged, seconds)
        except LinkError as error:
            raise self._unavailable(error.reason, error.step) from error
        except TimeoutError as error:
            raise self._unavailable("no whole reply in time", "reply") from error
        self._keep(connection)
        return reply

    async def _connection(self) -> HttpConnection:
        while self._kept:
            kept = self._kept.pop()
            if kept.connected:
                return kept
            kept.close()
        connection = HttpConnection(self._address, CONNECT_SECONDS, protocol.MAX_VALUE_BYTES)
        await connection.connect()
        return connection

    def _keep(self, connection: HttpConnection) -> None:
        if len(self._kept) < MOST_KEPT:
            self._kept.append(connection)
        else:
            connection.close()
