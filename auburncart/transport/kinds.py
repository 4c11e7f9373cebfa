"""The platform's store by HTTP, with its objects listed and watched by kind."""

from collections.abc import Callable
from typing import Any

from auburncart.coordination.forwarding.kinds import Changes, KindStore, Page
from auburncart.exception import HistoryLostError, ProtocolError, StoreUnavailableError
from auburncart.protocol.kinds import KindStoreCall, KindStoreCodec
from auburncart.transport.client import RawReply
from auburncart.transport.store_client import StoreCall, StoreClient

__all__ = ["HttpKindStore"]

MOST_REPLY_BYTES = 8_000_000  # a list's page is about 1 MB, one object at most as much again
ABSENT = 404
EXISTS = 409
HISTORY_LOST = 410


class HttpKindStore(KindStore):
    """Calls the store over kept connections.

    :param address: ``"IP:port"`` of the store.
    :param dialect: paths and bodies of the calls.
    :param on_call: told of each call's kind of object and result, for metrics.
    """

    def __init__(
        self, address: str, dialect: KindStoreCodec, on_call: Callable[[str, str], None]
    ) -> None:
        self._client = StoreClient(address, MOST_REPLY_BYTES)
        self._dialect = dialect
        self._on_call = on_call

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        """Return the objects of a kind whose names follow ``after``."""
        reply = await self._call(kind, self._dialect.list_call(kind, after, stale))
        try:
            return self._dialect.decode_page(kind, self._found(reply))
        except ProtocolError as error:
            raise self._unreadable(error) from error

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait until objects of a kind change."""
        reply = await self._call(kind, self._dialect.changes_call(kind, revision, wait), wait)
        if reply.status == HISTORY_LOST:
            raise HistoryLostError(f"no changes of {kind} since {revision}", step="store")
        try:
            return self._dialect.decode_changes(kind, self._found(reply))
        except ProtocolError as error:
            raise self._unreadable(error) from error

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Write an object, whether it exists or not."""
        reply = await self._call(kind, self._dialect.create_call(kind, name, value))
        if reply.status == EXISTS:
            reply = await self._call(kind, self._dialect.replace_call(kind, name, value))
        self._found(reply)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; one that does not exist is no error."""
        reply = await self._call(kind, self._dialect.delete_call(kind, name))
        if reply.status != ABSENT:
            self._found(reply)

    def drop_idle(self) -> None:
        """Close the kept connections that are idle."""
        self._client.close()

    def close(self) -> None:
        """Close the kept connections."""
        self._client.close()

    async def _call(self, kind: str, call: KindStoreCall, wait: float = 0.0) -> RawReply:
        try:
            reply = await self._client.call(StoreCall(call.method, call.path, (), call.body), wait)
        except StoreUnavailableError:
            self._on_call(kind, "no reply")
            raise
        self._on_call(kind, str(reply.status))
        return reply

    def _found(self, reply: RawReply) -> bytes:
        if not 200 <= reply.status < 300:
            raise StoreUnavailableError(
                f"status {reply.status}", step="store", peer=self._client.address, sent=False
            )
        return reply.body

    def _unreadable(self, error: ProtocolError) -> StoreUnavailableError:
        return StoreUnavailableError(error.reason, step="reply", peer=self._client.address)
