"""Requests of callers and replies of replicas, as the platform writes them."""

from auburncart.exception import InputError, ProtocolError
from auburncart.protocol.forward import CallerDialect, ReplicaDialect, RequestHead, WireReply
from auburncart.state.failure import Ran, Refusal, RefusalCode
from auburncart.state.forward import (
    ForwardAnswer,
    ForwardedReply,
    ForwardRequest,
    Header,
    MergedAnswer,
    Reply,
)

__all__ = ["PlatformCallerDialect", "PlatformReplicaDialect"]

REQUEST_ID = b"x-attempt-id"  # one try of a caller, not one of this VM's tries
TIME_LEFT = b"x-deadline-remaining"  # whole milliseconds from now, not a point in time
INSTANCE = b"x-target-instance"
STAMP = b"x-server-stamp"
NOT_RUN = b"x-not-executed"
REPLY_INSTANCE = b"x-instance-id"
# Headers that concern one connection, or that are written anew for each replica.
REPLACED = frozenset(
    (
        REQUEST_ID,
        TIME_LEFT,
        INSTANCE,
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
FOREIGN = 421  # the address belongs to another replica, which has not run the request
STATUSES = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.NO_ROUTE: 404,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.OVERLOADED: 429,
    RefusalCode.UNAVAILABLE: 503,
    RefusalCode.TIMED_OUT: 504,
}
UNKNOWN_OUTCOME = 502
NOT_RUN_STATUS = 503


class PlatformCallerDialect(CallerDialect):
    """What the platform's callers send and read."""

    def request(self, head: RequestHead, body: bytes, now: float, caller: str) -> ForwardRequest:
        """Return the request that a caller sent."""
        known: dict[bytes, list[bytes]] = {}
        for name, value in head.headers:
            known.setdefault(name.lower(), []).append(value)
        host = _one(known, b"host")
        request_id = _one(known, REQUEST_ID)
        remaining = _one(known, TIME_LEFT)
        try:
            seconds = float(remaining) / 1000.0
            path = head.target.partition(b"?")[0].decode("ascii")
            host_name = host.decode("ascii").lower().partition(":")[0]
        except ValueError as error:
            raise InputError(f"unreadable head: {error}", step="parse", peer=caller) from error
        if not 0.0 <= seconds < 86_400.0 or not path.startswith("/"):
            raise InputError("unreadable time limit or path", step="parse", peer=caller)
        named = {
            part.strip().lower()
            for value in known.get(b"connection", ())
            for part in value.split(b",")
        }
        headers = tuple(
            header
            for header in head.headers
            if header[0].lower() not in REPLACED and header[0].lower() not in named
        )
        return ForwardRequest(
            request_id.decode("latin-1"),
            head.method,
            host_name,
            path,
            head.target,
            ((b"Host", host), *headers),
            body,
            now,
            now + seconds,
            caller,
        )

    def reply(self, answer: ForwardAnswer) -> WireReply:
        """Return what the caller reads."""
        if isinstance(answer, ForwardedReply):
            reply = answer.reply
            return WireReply(reply.status, reply.reason, reply.headers, reply.body)
        if isinstance(answer, MergedAnswer):
            headers = [(b"X-Part-Stamps", b", ".join(answer.stamps))]
            if answer.missing:
                headers.append((b"X-Missing-Parts", b"%d" % answer.missing))
            return WireReply(200, b"", tuple(headers), answer.body)
        return _refusal(answer)


class PlatformReplicaDialect(ReplicaDialect):
    """What the platform's replicas read and send."""

    def request_headers(
        self, request: ForwardRequest, instance: str, remaining: float
    ) -> tuple[Header, ...]:
        """Return the headers of a request to one replica."""
        return (
            *request.headers,
            (b"X-Attempt-Id", request.request_id.encode("latin-1")),
            (b"X-Deadline-Remaining", b"%d" % max(1, int(remaining * 1000.0))),
            (b"X-Target-Instance", instance.encode("latin-1")),
        )

    def reply(self, reply: WireReply, request: ForwardRequest) -> Reply:
        """Return a replica's reply."""
        known = {name.lower(): value for name, value in reply.headers}
        not_run = NOT_RUN in known or reply.status == FOREIGN
        echoed = known.get(REQUEST_ID)
        if echoed is not None and echoed != request.request_id.encode("latin-1"):
            raise ProtocolError("the reply belongs to another request", step="match")
        if known.get(b"content-encoding", b"identity").lower() != b"identity":
            raise ProtocolError("the body is encoded", step="match")
        return Reply(
            reply.status,
            reply.reason,
            reply.headers,
            reply.body,
            known.get(STAMP, b""),
            not_run,
            reply.status == FOREIGN,
            known.get(REPLY_INSTANCE, b"").decode("latin-1"),
        )


def _refusal(refusal: Refusal) -> WireReply:
    status = STATUSES.get(refusal.code, UNKNOWN_OUTCOME)
    if refusal.ran is Ran.NO and status >= UNKNOWN_OUTCOME:
        status = NOT_RUN_STATUS
    headers: tuple[Header, ...] = ()
    if refusal.retry_after > 0.0:
        headers = ((b"Retry-After", b"%.3f" % refusal.retry_after),)
    return WireReply(status, b"", headers, b"")


def _one(known: dict[bytes, list[bytes]], name: bytes) -> bytes:
    values = known.get(name, [])
    if len(values) != 1:
        reason = f"{len(values)} headers {name.decode()}, expected one"
        raise InputError(reason, step="parse")
    return values[0]
