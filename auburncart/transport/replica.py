"""HTTP connections to replicas on the event loop."""

import asyncio

from auburncart.coordination.forwarding.interfaces import ReplicaConnection, ReplicaDialer
from auburncart.coordination.forwarding.reply_memory import ReplyMemory
from auburncart.exception import LinkError, ProtocolError, UpstreamError, UpstreamMismatchError
from auburncart.protocol.forward import ReplicaCodec, WireReply
from auburncart.state.forward import MAX_REPLY_BYTES, ForwardRequest, Reply
from auburncart.state.registration import Registration
from auburncart.transport.client import ClientConnection, RawReply

__all__ = ["HttpReplicaDialer"]

# Some round trips between regions; a lost packet is retransmitted only after this time.
CONNECT_TIMEOUT_SECONDS = 0.3
BODILESS_METHODS = ("HEAD",)
# Headers that apply to one connection or delimit a body.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class HttpReplicaDialer(ReplicaDialer):
    """Opens connections to replicas.

    :param codec: encodes requests and decodes replies.
    :param memory: shared by the bodies of all replies that are being received.
    """

    def __init__(self, codec: ReplicaCodec, memory: ReplyMemory) -> None:
        self._codec = codec
        self._memory = memory

    async def connect(self, registration: Registration) -> ReplicaConnection:
        """Open a connection."""
        try:
            connection = await ClientConnection.open(
                registration.address, CONNECT_TIMEOUT_SECONDS, MAX_REPLY_BYTES, self._memory
            )
        except LinkError as error:
            raise UpstreamError(
                error.reason, step=error.step, peer=error.peer, sent=False
            ) from error
        return _HttpReplicaConnection(connection, self._codec)


class _HttpReplicaConnection(ReplicaConnection):
    def __init__(self, connection: ClientConnection, codec: ReplicaCodec) -> None:
        self._connection = connection
        self._codec = codec
        self._idle_limit = float("inf")
        self._names_requests = False

    @property
    def usable(self) -> bool:
        """Whether it is open and idle."""
        return self._connection.usable

    @property
    def idle_limit(self) -> float:
        """Idle timeout in seconds that the replica announced, or infinity."""
        return self._idle_limit

    async def exchange(self, request: ForwardRequest, instance: str) -> Reply:
        """Send a request once and wait for its reply."""
        remaining = request.deadline - asyncio.get_running_loop().time()
        headers = self._codec.encode_request_headers(request, instance, remaining)
        message = _encode_request(request, headers)
        bodiless = request.method in BODILESS_METHODS
        try:
            raw = await self._connection.exchange(
                message, bodiless=bodiless, max_bytes=request.max_reply_bytes
            )
            self._idle_limit = _idle_limit(raw)
            reply = self._codec.decode_reply(_strip_hop_by_hop(raw), request)
            if self._names_requests and not reply.names_request:
                # It may be a second copy of an earlier reply, or a part of one.
                raise ProtocolError("the reply does not name its request", step="match")
            self._names_requests = reply.names_request
            return reply
        except LinkError as error:
            sent = error.step != "connect"
            raise UpstreamError(
                error.reason, step=error.step, peer=error.peer, sent=sent
            ) from error
        except ProtocolError as error:
            self.close()
            raise UpstreamMismatchError(
                error.reason, step=error.step, peer=self._connection.address
            ) from error

    def close(self) -> None:
        """Close the connection immediately."""
        self._connection.close()


def _encode_request(request: ForwardRequest, headers: tuple[tuple[bytes, bytes], ...]) -> bytes:
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method.encode("ascii"), request.target)]
    lines += [b"%b: %b\r\n" % header for header in headers]
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)


def _strip_hop_by_hop(raw: RawReply) -> WireReply:
    connection_named = {
        name.strip().lower()
        for key, value in raw.headers
        if key.lower() == b"connection"
        for name in value.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_named
    kept = tuple(header for header in raw.headers if header[0].lower() not in dropped)
    return WireReply(raw.status, raw.reason, kept, raw.body)


def _idle_limit(raw: RawReply) -> float:
    for part in raw.header(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return float("inf")
