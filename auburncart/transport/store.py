"""HTTP client of the platform's store, with conditional requests and long-poll watches."""

from typing import Any, TypeVar

from auburncart.coordination.interfaces import Key, Store, Stored
from auburncart.exception import (
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from auburncart.protocol import platform as protocol
from auburncart.state.member import Member
from auburncart.transport.client import RawReply
from auburncart.transport.store_client import CALL_TIMEOUT_SECONDS, StoreCall, StoreClient

__all__ = ["HttpStore"]

T = TypeVar("T")
OK = 200
WRITE_SUCCESS = (200, 201, 204)
NOT_MODIFIED = 304
NOT_FOUND = 404
CONFLICTS = (409, 412)


class HttpStore(Store):
    """Calls the store over persistent connections.

    :param address: ``"IP:port"`` of the store.
    :param token: bearer token sent with each call, ``""`` for none.
    :param call_timeout_seconds: timeout of a call; the wait of a watch is added to it.
    """

    def __init__(
        self, address: str, token: str = "", call_timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        headers = ((b"Authorization", f"Bearer {token}".encode()),) if token else ()
        self._client = StoreClient(address, protocol.MAX_VALUE_BYTES, headers, call_timeout_seconds)

    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None if it does not exist."""
        return self._stored(
            key, await self._client.call(StoreCall("GET", protocol.object_path(key)))
        )

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Long-poll until the object's ETag differs from ``etag``."""
        path = f"{protocol.object_path(key)}?wait={wait:.3f}"
        condition = ((b"If-None-Match", etag.encode()),)
        reply = await self._client.call(StoreCall("GET", path, condition), wait)
        return self._stored(key, reply)

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write if the object's ETag is ``etag``, or if it is absent for ``""``."""
        condition = (b"If-Match", etag.encode()) if etag else (b"If-None-Match", b"*")
        body = protocol.encode_value(key, value)
        call = StoreCall("PUT", protocol.object_path(key), (condition,), body)
        reply = await self._client.call(call)
        if reply.status in CONFLICTS:
            reason = f"{key.kind}/{key.name} was changed concurrently"
            raise StoreConflictError(reason, step="store", peer=self._client.address)
        self._check_status(reply, WRITE_SUCCESS)
        return reply.header(b"etag").decode("latin-1")

    async def members(self) -> tuple[Member, ...]:
        """Return the platform's list of VMs."""
        reply = await self._client.call(StoreCall("GET", protocol.PATH_MEMBERS))
        self._check_status(reply, (OK,))
        try:
            return protocol.decode_members(reply.body)
        except ProtocolError as error:
            raise self._unavailable(error.reason, error.step) from error

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    def _stored(self, key: Key[Any], reply: RawReply) -> Stored[Any] | None:
        if reply.status in (NOT_MODIFIED, NOT_FOUND):
            return None
        self._check_status(reply, (OK,))
        return Stored(
            protocol.decode_value(key, reply.body), reply.header(b"etag").decode("latin-1")
        )

    def _check_status(self, reply: RawReply, statuses: tuple[int, ...]) -> None:
        if reply.status not in statuses:
            raise self._unavailable(f"status {reply.status}", "store")

    def _unavailable(self, reason: str, step: str) -> StoreUnavailableError:
        return StoreUnavailableError(reason, step=step, peer=self._client.address)
