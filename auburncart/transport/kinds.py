"""HTTP client of the platform's store that lists and watches objects by kind."""

from collections.abc import Callable
from typing import Any

from auburncart.coordination.forwarding.kinds import Changes, KindStore, Page
from auburncart.coordination.forwarding.watch_times import WatchTimes
from auburncart.exception import HistoryLostError, ProtocolError, StoreUnavailableError
from auburncart.protocol.kinds import KindStoreCall, KindStoreCodec
from auburncart.transport.client import RawReply
from auburncart.transport.store_client import StoreCall, StoreClient

__all__ = ["HttpKindStore"]

MAX_REPLY_BYTES = 8_000_000  # a page of a list is about 1 MB, and one object adds at most as much
NOT_FOUND = 404
CONFLICT = 409
GONE = 410


class HttpKindStore(KindStore):
    """Calls the store over persistent connections.

    :param address: ``"IP:port"`` of the store.
    :param codec: encodes the calls and decodes the replies.
    :param on_call: called with each call's kind of object and result, for metrics.
    :param times: when replies count as lost.
    """

    def __init__(
        self,
        address: str,
        codec: KindStoreCodec,
        on_call: Callable[[str, str], None],
        times: WatchTimes,
    ) -> None:
        self._client = StoreClient(
            address,
            MAX_REPLY_BYTES,
            call_timeout_seconds=times.call,
            watch_timeout_seconds=times.reply,
        )
        self._codec = codec
        self._on_call = on_call

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        """Return the objects of a kind whose names sort after ``after``."""
        reply = await self._call(kind, self._codec.list_call(kind, after, stale))
        try:
            return self._codec.decode_page(kind, self._check_body(reply))
        except ProtocolError as error:
            raise self._unavailable(error) from error

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait until objects of a kind change."""
        reply = await self._call(kind, self._codec.changes_call(kind, revision, wait), wait)
        if reply.status == GONE:
            raise HistoryLostError(f"no changes of {kind} since revision {revision}", step="store")
        try:
            return self._codec.decode_changes(kind, self._check_body(reply))
        except ProtocolError as error:
            raise self._unavailable(error) from error

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Create or replace an object."""
        reply = await self._call(kind, self._codec.create_call(kind, name, value))
        if reply.status == CONFLICT:
            reply = await self._call(kind, self._codec.replace_call(kind, name, value))
        self._check_body(reply)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        reply = await self._call(kind, self._codec.delete_call(kind, name))
        if reply.status != NOT_FOUND:
            self._check_body(reply)

    def close_idle(self) -> None:
        """Close the idle connections."""
        self._client.close()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _call(self, kind: str, call: KindStoreCall, wait: float = 0.0) -> RawReply:
        try:
            reply = await self._client.call(StoreCall(call.method, call.path, (), call.body), wait)
        except StoreUnavailableError:
            self._on_call(kind, "no reply")
            raise
        self._on_call(kind, str(reply.status))
        return reply

    def _check_body(self, reply: RawReply) -> bytes:
        if not 200 <= reply.status < 300:
            raise StoreUnavailableError(
                f"status {reply.status}", step="store", peer=self._client.address, sent=False
            )
        return reply.body

    def _unavailable(self, error: ProtocolError) -> StoreUnavailableError:
        return StoreUnavailableError(error.reason, step="reply", peer=self._client.address)
