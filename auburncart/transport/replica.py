"""Connections to replicas on the event loop."""

import asyncio

from auburncart.coordination.forwarding.interfaces import ReplicaConnection, ReplicaDialer
from auburncart.exception import LinkError, ProtocolError, UpstreamError, UpstreamMismatchError
from auburncart.protocol.forward import ReplicaDialect, WireReply
from auburncart.state.forward import ForwardRequest, Reply
from auburncart.state.registration import Registration
from auburncart.transport.client import ClientConnection, RawReply

__all__ = ["LoopReplicaDialer"]

CONNECT_SECONDS = 0.3  # some round trips between regions, and a lost packet is sent again after it
MOST_REPLY_BYTES = 16_000_000  # bounds what one faulty replica can fill
BODILESS_METHODS = ("HEAD",)
# Headers that concern one connection or frame a body.
CONNECTION_FIELDS = frozenset(
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


class LoopReplicaDialer(ReplicaDialer):
    """Opens connections that speak a dialect.

    :param dialect: what replicas read and send.
    """

    def __init__(self, dialect: ReplicaDialect) -> None:
        self._dialect = dialect

    async def connect(self, registration: Registration) -> ReplicaConnection:
        """Open a connection."""
        try:
            connection = await ClientConnection.open(
                registration.address, CONNECT_SECONDS, MOST_REPLY_BYTES
            )
        except LinkError as error:
            raise UpstreamError(
                error.reason, step=error.step, peer=error.peer, sent=False
            ) from error
        return _LoopReplicaConnection(connection, self._dialect)


class _LoopReplicaConnection(ReplicaConnection):
    def __init__(self, connection: ClientConnection, dialect: ReplicaDialect) -> None:
        self._connection = connection
        self._dialect = dialect
        self._idle_limit = float("inf")

    @property
    def usable(self) -> bool:
        """Whether it is open, idle, and nothing has arrived that no request asked for."""
        return self._connection.usable

    @property
    def idle_limit(self) -> float:
        """Seconds for which the replica said that it keeps an idle connection, or infinity."""
        return self._idle_limit

    async def exchange(self, request: ForwardRequest, instance: str) -> Reply:
        """Send a request once and wait for its reply."""
        remaining = request.deadline - asyncio.get_running_loop().time()
        fields = self._dialect.request_headers(request, instance, remaining)
        message = _encode(request, fields)
        bodiless = request.method in BODILESS_METHODS
        try:
            raw = await self._connection.exchange(message, bodiless=bodiless)
            self._idle_limit = _idle_limit(raw)
            return self._dialect.reply(_without_connection_fields(raw), request)
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
        """Close the connection at once."""
        self._connection.close()


def _encode(request: ForwardRequest, fields: tuple[tuple[bytes, bytes], ...]) -> bytes:
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method.encode("ascii"), request.target)]
    lines += [b"%b: %b\r\n" % field for field in fields]
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)


def _without_connection_fields(raw: RawReply) -> WireReply:
    named = {
        name.strip().lower()
        for key, value in raw.fields
        if key.lower() == b"connection"
        for name in value.split(b",")
    }
    dropped = CONNECTION_FIELDS | named
    kept = tuple(field for field in raw.fields if field[0].lower() not in dropped)
    return WireReply(raw.status, raw.reason, kept, raw.body)


def _idle_limit(raw: RawReply) -> float:
    for part in raw.field(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return float("inf")
