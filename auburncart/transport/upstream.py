"""HTTP connections to upstreams."""

import asyncio

from auburncart.coordination.interfaces import UpstreamConnection, UpstreamDialer
from auburncart.exception import (
    LinkError,
    LinkTimeoutError,
    ProtocolError,
    UpstreamError,
    UpstreamMismatchError,
    UpstreamRefusedError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from auburncart.protocol import upstream as protocol
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch, BatchReply, OrderReply, UpstreamOrder
from auburncart.transport.http import HttpConnection

__all__ = ["HttpUpstreamConnection", "HttpUpstreamDialer"]

CONNECT_TIMEOUT_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 0.5
REPLY_GRACE_SECONDS = 0.05  # a reply sent at the deadline may arrive this much later
HEADERS = {"Content-Type": "application/json"}
OK = 200
CONNECT = "connect"
SHED_STATUSES = (429, 503)


class HttpUpstreamConnection(UpstreamConnection):
    """A persistent connection; it is closed after the first failure and not reopened."""

    def __init__(self, address: str, http: HttpConnection) -> None:
        self._address = address
        self._http = http

    async def search(self, batch: Batch) -> BatchReply:
        """Send a batch and wait for its reply until its deadline."""
        now = asyncio.get_running_loop().time()
        path, body = protocol.encode_batch(batch, now)
        reply = await self.post(path, body, batch.deadline - now)
        try:
            return protocol.decode_batch_reply(reply, batch, self._address)
        except ProtocolError as error:
            raise UpstreamMismatchError(error.reason, step="match", peer=self._address) from error

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Send an order once and wait for its reply until its deadline."""
        now = asyncio.get_running_loop().time()
        body = protocol.encode_order(order, now)
        reply = await self.post(protocol.PATH_ORDER, body, order.deadline - now)
        try:
            return protocol.decode_order_reply(reply, order, self._address)
        except ProtocolError as error:
            raise UpstreamMismatchError(error.reason, step="match", peer=self._address) from error

    async def cancel(self, request_id: str) -> None:
        """Cancel a request that was sent on another connection."""
        await self.post(
            protocol.PATH_CANCEL, protocol.encode_cancel(request_id), CANCEL_TIMEOUT_SECONDS
        )

    async def post(self, path: str, body: bytes, seconds: float) -> bytes:
        """Send a request and return the body of its reply.

        :param seconds: timeout.
        :raises UpstreamError: no successful reply arrived.
        """
        if seconds <= 0:
            raise UpstreamError("deadline passed", step="send", peer=self._address, sent=False)
        try:
            reply = await self._http.request(
                "POST", path, body, HEADERS, seconds + REPLY_GRACE_SECONDS
            )
        except LinkTimeoutError as error:
            raise UpstreamTimeoutError(error.reason, step=error.step, peer=self._address) from error
        except LinkError as error:
            sent = error.step != CONNECT
            raise UpstreamError(
                error.reason, step=error.step, peer=self._address, sent=sent
            ) from error
        if reply.status != OK:
            reason = f"status {reply.status}: {reply.body[:200]!r}"
            error_class = (
                UpstreamShedError if reply.status in SHED_STATUSES else UpstreamRefusedError
            )
            raise error_class(reason, step="reply", peer=self._address)
        return reply.body

    async def close(self) -> None:
        """Close the connection; a call in progress fails."""
        self._http.close()


class HttpUpstreamDialer(UpstreamDialer):
    """Opens connections, each with its own thread."""

    async def connect(self, replica: Replica) -> HttpUpstreamConnection:
        """Open a connection to a replica."""
        http = HttpConnection(replica.address, CONNECT_TIMEOUT_SECONDS, protocol.MAX_REPLY_BYTES)
        try:
            await http.connect()
        except LinkError as error:
            raise UpstreamError(
                error.reason, step=error.step, peer=error.peer, sent=False
            ) from error
        return HttpUpstreamConnection(replica.address, http)
