"""Connections to upstreams by HTTP."""

import asyncio
import contextlib

from auburncart.coordination import UpstreamConnection, UpstreamDialer
from auburncart.exception import LinkError, ProtocolError, UpstreamError
from auburncart.protocol import upstream as protocol
from auburncart.state import Batch, BatchReply, OrderReply, Replica, UpstreamOrder
from auburncart.transport.http import HttpConnection

__all__ = ["HttpUpstreamConnection", "HttpUpstreamDialer"]

CONNECT_SECONDS = 1.0
CANCEL_SECONDS = 0.5
GRACE_SECONDS = 0.05  # an upstream that keeps its deadline may answer this much later
HEADERS = {"Content-Type": "application/json"}
OK = 200


class HttpUpstreamConnection(UpstreamConnection):
    """A kept connection; it is closed for good after the first failure."""

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
            raise UpstreamError(error.reason, step=error.step, peer=self._address) from error

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Send an order once and wait for its reply until its deadline."""
        now = asyncio.get_running_loop().time()
        body = protocol.encode_order(order, now)
        reply = await self.post(protocol.PATH_ORDER, body, order.deadline - now)
        try:
            return protocol.decode_order_reply(reply, order, self._address)
        except ProtocolError as error:
            raise UpstreamError(error.reason, step=error.step, peer=self._address) from error

    async def post(self, path: str, body: bytes, seconds: float) -> bytes:
        """Send any request and return the body of its reply.

        :param seconds: time to wait.
        :raises UpstreamError: there is no such reply.
        """
        if seconds <= 0:
            raise UpstreamError("deadline passed", step="send", peer=self._address, sent=False)
        try:
            reply = await self._http.request("POST", path, body, HEADERS, seconds + GRACE_SECONDS)
        except LinkError as error:
            raise UpstreamError(error.reason, step=error.step, peer=self._address) from error
        if reply.status != OK:
            reason = f"status {reply.status}: {reply.body[:200]!r}"
            raise UpstreamError(reason, step="reply", peer=self._address)
        return reply.body

    async def close(self) -> None:
        """Close the connection; a call at work on it ends with an error."""
        self._http.close()


class HttpUpstreamDialer(UpstreamDialer):
    """Opens connections, each with a thread of its own."""

    async def connect(self, replica: Replica) -> HttpUpstreamConnection:
        """Open a connection to a replica."""
        http = HttpConnection(replica.address, CONNECT_SECONDS, protocol.MAX_REPLY_BYTES)
        try:
            await http.connect()
        except LinkError as error:
            raise UpstreamError(
                error.reason, step=error.step, peer=error.peer, sent=False
            ) from error
        return HttpUpstreamConnection(replica.address, http)

    async def cancel(self, replica: Replica, request_id: str) -> None:
        """Tell an upstream that nobody waits for a request; errors change nothing."""
        with contextlib.suppress(UpstreamError):
            connection = await self.connect(replica)
            try:
                body = protocol.encode_cancel(request_id)
                await connection.post(protocol.PATH_CANCEL, body, CANCEL_SECONDS)
            finally:
                await connection.close()
