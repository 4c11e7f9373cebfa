"""Requests that are passed on as they came, and what is answered to them."""

from typing import NamedTuple

from auburncart.state.failure import Failure, Refusal

__all__ = [
    "ForwardAnswer",
    "ForwardedReply",
    "ForwardRequest",
    "Header",
    "MergedAnswer",
    "PartialAnswer",
    "Reply",
]

Header = tuple[bytes, bytes]


class ForwardRequest(NamedTuple):
    """A caller's request.

    :param request_id: identifier that the caller gave it, kept on every way.
    :param method: method as sent.
    :param host: host name in lower case, by which the route is found.
    :param path: path without the query, by which the route is found.
    :param target: path and query as sent.
    :param headers: headers that are passed on, as sent.
    :param body: body as sent.
    :param arrived: loop time in seconds at which its head was complete.
    :param deadline: loop time in seconds after which the caller no longer waits.
    :param caller: ``"IP:port"`` of the caller.
    :param new_connection: whether the caller has just set up this connection, which cost it time.
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


class Reply(NamedTuple):
    """A replica's whole reply.

    :param status: status code.
    :param reason: reason phrase as sent.
    :param headers: headers that are passed on, as sent.
    :param body: body as sent.
    :param stamp: the replica's proof that the answer is its own, ``b""`` if there is none.
    :param not_run: whether the replica says that it did not run the request.
    :param moved: whether the address belongs to another replica than the one that was meant.
    :param instance: identifier of that replica, ``""`` if it is not said.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    body: bytes
    stamp: bytes = b""
    not_run: bool = False
    moved: bool = False
    instance: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether the status says success."""
        return 200 <= self.status < 300


class ForwardedReply(NamedTuple):
    """A replica's reply, given to the caller as it came."""

    reply: Reply


class PartialAnswer(NamedTuple):
    """Some shards' parts of a search, merged.

    :param shards: shards whose parts are in.
    :param body: their greatest records, greatest first.
    :param stamps: proofs of the parts, in the order of the shards.
    :param failures: why other shards have no part, by their names.
    """

    shards: tuple[str, ...]
    body: bytes
    stamps: tuple[bytes, ...]
    failures: dict[str, Failure]


class MergedAnswer(NamedTuple):
    """The greatest records of several shards' parts.

    :param body: records, greatest first.
    :param stamps: proofs of the parts that are in.
    :param missing: number of shards that are left out.
    :param failures: why each shard that is left out has no part, by its name.
    """

    body: bytes
    stamps: tuple[bytes, ...]
    missing: int
    failures: dict[str, Failure]


ForwardAnswer = ForwardedReply | MergedAnswer | Refusal
