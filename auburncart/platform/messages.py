"""HTTP headers of the platform's requests and replies."""

import math
import re

from auburncart.exception import InputError, ProtocolError
from auburncart.protocol.forward import CallerCodec, ReplicaCodec, RequestHead, WireReply
from auburncart.state.failure import Ran, Refusal, RefusalCode
from auburncart.state.forward import (
    Announcement,
    ForwardAnswer,
    ForwardedReply,
    ForwardRequest,
    Header,
    MergedAnswer,
    Reply,
)

__all__ = ["PlatformCallerCodec", "PlatformReplicaCodec"]

REQUEST_ID_HEADER = b"x-attempt-id"  # an attempt of the caller, not one of this VM
TIME_LEFT_HEADER = b"x-deadline-remaining"  # in whole milliseconds from now, not a point in time
TARGET_INSTANCE_HEADER = b"x-target-instance"
STAMP_HEADER = b"x-server-stamp"
NOT_RUN_HEADER = b"x-not-executed"
LEAVING_HEADER = b"server-leaving"
LIMIT_HEADER = b"server-limit"  # requests per second, from all machines together
RETRY_AFTER_HEADER = b"retry-after"  # seconds; of a replica, for this VM
REPLY_INSTANCE_HEADER = b"x-instance-id"
# Of two values, either may be that of another reply.
SINGLE_REPLY_HEADERS = (REQUEST_ID_HEADER, STAMP_HEADER, NOT_RUN_HEADER)
# Headers that apply to one connection or are rewritten for each replica.
NOT_FORWARDED = frozenset(
    (
        REQUEST_ID_HEADER,
        TIME_LEFT_HEADER,
        TARGET_INSTANCE_HEADER,
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
MISDIRECTED_STATUS = 421  # the address belongs to another replica, which has not run the request
DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]*)?|\.[0-9]+")
PAUSE_STATUSES = (503,)
STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.NO_ROUTE: 404,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.OVERLOADED: 429,
    RefusalCode.UNAVAILABLE: 503,
    RefusalCode.TIMED_OUT: 504,
}
UNKNOWN_OUTCOME_STATUS = 502
NOT_RUN_STATUS = 503


class PlatformCallerCodec(CallerCodec):
    """Maps the requests of the platform's callers and the replies to them."""

    def decode_request(
        self, head: RequestHead, body: bytes, now: float, caller: str
    ) -> ForwardRequest:
        """Return the request that a caller sent."""
        values_by_name: dict[bytes, list[bytes]] = {}
        for name, value in head.headers:
            values_by_name.setdefault(name.lower(), []).append(value)
        host = _single_value(values_by_name, b"host")
        request_id = _single_value(values_by_name, REQUEST_ID_HEADER)
        remaining = _single_value(values_by_name, TIME_LEFT_HEADER)
        try:
            seconds = float(remaining) / 1000.0
            path = head.target.partition(b"?")[0].decode("ascii")
            host_name = host.decode("ascii").lower().partition(":")[0]
        except ValueError as error:
            raise InputError(f"invalid header: {error}", step="parse", peer=caller) from error
        if not 0.0 <= seconds < 86_400.0 or not path.startswith("/"):
            raise InputError("invalid time limit or path", step="parse", peer=caller)
        connection_headers = {
            part.strip().lower()
            for value in values_by_name.get(b"connection", ())
            for part in value.split(b",")
        }
        headers = tuple(
            header
            for header in head.headers
            if header[0].lower() not in NOT_FORWARDED
            and header[0].lower() not in connection_headers
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

    def encode_reply(self, answer: ForwardAnswer) -> WireReply:
        """Return the reply to the caller."""
        if isinstance(answer, ForwardedReply):
            reply = answer.reply
            return WireReply(reply.status, reply.reason, reply.headers, reply.body)
        if isinstance(answer, MergedAnswer):
            headers = [(b"X-Part-Stamps", b", ".join(answer.stamps))]
            if answer.missing:
                headers.append((b"X-Missing-Parts", b"%d" % answer.missing))
            return WireReply(200, b"", tuple(headers), answer.body)
        return _encode_refusal(answer)


class PlatformReplicaCodec(ReplicaCodec):
    """Maps requests to the platform's replicas and their replies."""

    def encode_request_headers(
        self, request: ForwardRequest, instance: str, remaining: float
    ) -> tuple[Header, ...]:
        """Return the headers of a request to one replica."""
        return (
            *request.headers,
            (b"X-Attempt-Id", request.request_id.encode("latin-1")),
            (b"X-Deadline-Remaining", b"%d" % max(1, int(remaining * 1000.0))),
            (b"X-Target-Instance", instance.encode("latin-1")),
        )

    def decode_reply(self, reply: WireReply, request: ForwardRequest) -> Reply:
        """Return a replica's reply."""
        names = [name.lower() for name, _ in reply.headers]
        for name in SINGLE_REPLY_HEADERS:
            if names.count(name) > 1:
                raise ProtocolError(f"{names.count(name)} headers {name.decode()}", step="match")
        value_by_name = {name.lower(): value for name, value in reply.headers}
        not_run = NOT_RUN_HEADER in value_by_name or reply.status == MISDIRECTED_STATUS
        echoed = value_by_name.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != request.request_id.encode("latin-1"):
            raise ProtocolError("the reply belongs to another request", step="match")
        if value_by_name.get(b"content-encoding", b"identity").lower() != b"identity":
            raise ProtocolError("the body has a content encoding", step="match")
        return Reply(
            reply.status,
            reply.reason,
            reply.headers,
            reply.body,
            value_by_name.get(STAMP_HEADER, b""),
            not_run,
            reply.status == MISDIRECTED_STATUS,
            value_by_name.get(REPLY_INSTANCE_HEADER, b"").decode("latin-1"),
            echoed is not None,
            _announcement(reply),
        )


def _encode_refusal(refusal: Refusal) -> WireReply:
    status = STATUS_BY_CODE.get(refusal.code, UNKNOWN_OUTCOME_STATUS)
    if refusal.ran is Ran.NO and status >= UNKNOWN_OUTCOME_STATUS:
        status = NOT_RUN_STATUS
    headers: tuple[Header, ...] = ()
    if refusal.retry_after > 0.0:
        headers = ((b"Retry-After", b"%.3f" % refusal.retry_after),)
    return WireReply(status, b"", headers, b"")


def _announcement(reply: WireReply) -> Announcement:
    """Return what a replica says about itself: the least limit, the longest pause that it names.

    A limit that is no decimal number makes the limit NaN; a pause that is none does not count.
    """
    limits = _numbers(reply, LIMIT_HEADER)
    pauses = [value for value in _numbers(reply, RETRY_AFTER_HEADER) if not math.isnan(value)]
    leaving = any(
        name.lower() == LEAVING_HEADER and value.strip() == b"1" for name, value in reply.headers
    )
    return Announcement(
        math.nan if any(map(math.isnan, limits)) else min(limits, default=math.inf),
        max(pauses, default=0.0) if reply.status in PAUSE_STATUSES else 0.0,
        leaving,
    )


def _numbers(reply: WireReply, name: bytes) -> list[float]:
    """Return the values of a header, NaN for one that is no decimal number."""
    values = [value.strip() for key, value in reply.headers if key.lower() == name]
    return [float(value) if DECIMAL.fullmatch(value) else math.nan for value in values]


def _single_value(values_by_name: dict[bytes, list[bytes]], name: bytes) -> bytes:
    values = values_by_name.get(name, [])
    if len(values) != 1:
        reason = f"{len(values)} headers {name.decode()}, expected one"
        raise InputError(reason, step="parse")
    return values[0]
