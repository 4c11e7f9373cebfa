"""Requests that are forwarded unchanged, and their answers."""

from typing import NamedTuple

from auburncart.state.failure import Failure, Refusal

__all__ = [
    "Announcement",
    "ForwardAnswer",
    "ForwardedReply",
    "ForwardRequest",
    "Header",
    "MAX_PART_BYTES",
    "MAX_REPLY_BYTES",
    "MergedAnswer",
    "PartialAnswer",
    "Reply",
]

Header = tuple[bytes, bytes]

MAX_REPLY_BYTES = 16_000_000  # of a body that is forwarded whole
MAX_PART_BYTES = 262_144  # 16,384 records; a part needs no more than the greatest few


class ForwardRequest(NamedTuple):
    """A caller's request.

    :param request_id: identifier that the caller gave it; the same at every hop.
    :param method: method as sent.
    :param host: host name in lower case, by which the route is found.
    :param path: path without the query, by which the route is found.
    :param target: path and query as sent.
    :param headers: headers that are forwarded, as sent.
    :param body: body as sent.
    :param arrived: loop time in seconds at which its headers were complete.
    :param deadline: loop time in seconds after which the caller no longer waits.
    :param caller: ``"IP:port"`` of the caller.
    :param new_connection: whether the connection was just opened, which took the caller some time.
    :param max_reply_bytes: maximum size of a replica's reply body.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    arrived: float
    deadline: float
    caller: str = ""
    new_connection: bool = False
    max_reply_bytes: int = MAX_REPLY_BYTES


class Announcement(NamedTuple):
    """What a replica says about itself in a reply.

    :param request_limit: requests per second that it accepts from all VMs together, infinity if
        it names no limit, NaN if what it names is no number.
    :param retry_after: seconds for which it wants no requests from this VM.
    :param leaving: whether it is about to end.
    """

    request_limit: float = float("inf")
    retry_after: float = 0.0
    leaving: bool = False


class Reply(NamedTuple):
    """A complete reply of a replica.

    :param status: status code.
    :param reason: reason phrase as sent.
    :param headers: headers that are forwarded, as sent.
    :param body: body as sent.
    :param stamp: the replica's proof that it made the reply, ``b""`` if there is none.
    :param not_run: whether the replica states that it did not run the request.
    :param moved: whether the address now belongs to another replica than the intended one.
    :param instance: identifier of that replica, ``""`` if it is not given.
    :param names_request: whether the reply names the request that it answers.
    :param announced: what the replica says about itself.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    body: bytes
    stamp: bytes = b""
    not_run: bool = False
    moved: bool = False
    instance: str = ""
    names_request: bool = False
    announced: Announcement = Announcement()

    @property
    def succeeded(self) -> bool:
        """Whether the status code means success."""
        return 200 <= self.status < 300


class ForwardedReply(NamedTuple):
    """A replica's reply, forwarded to the caller unchanged."""

    reply: Reply


class PartialAnswer(NamedTuple):
    """Merged parts of a search from some of its shards.

    :param shards: shards whose parts are included.
    :param body: their greatest records, greatest first.
    :param stamps: proofs of the parts, in the order of the shards.
    :param failures: why other shards have no part, by shard.
    """

    shards: tuple[str, ...]
    body: bytes
    stamps: tuple[bytes, ...]
    failures: dict[str, Failure]


class MergedAnswer(NamedTuple):
    """The greatest records of a search's shards.

    :param body: records, greatest first.
    :param stamps: proofs of the parts that are included.
    :param missing: number of shards without a part.
    :param failures: why each of those shards has no part, by shard.
    """

    body: bytes
    stamps: tuple[bytes, ...]
    missing: int
    failures: dict[str, Failure]


ForwardAnswer = ForwardedReply | MergedAnswer | Refusal
