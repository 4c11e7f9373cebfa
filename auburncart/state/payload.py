"""Payloads of the messages between entry VMs.

Every class in :data:`PAYLOADS` may be published on a :class:`~auburncart.coordination.PeerBus` or
put as a question. Its place in the tuple is its number on the wire: new ones go to the end.
"""

from typing import Any, NamedTuple

from auburncart.state.link import Versions
from auburncart.state.member import Member
from auburncart.state.order import ClaimQuestion, ClaimReply
from auburncart.state.rate import RateGrants, RateReport
from auburncart.state.seat import Seat, SeatPlans
from auburncart.state.shards import ShardMap
from auburncart.state.table import TableDocument

__all__ = [
    "PAYLOADS",
    "MapAsk",
    "MapNews",
    "MemberNews",
    "NoAnswer",
    "QueryLoss",
    "Roll",
    "SeatAsk",
    "SeatNews",
    "SeatSeen",
    "StatusAsk",
    "StatusNews",
    "TableAsk",
    "TableNews",
]


class TableNews(NamedTuple):
    """A table that is in force at the origin, without older audit entries."""

    document: TableDocument


class QueryLoss(NamedTuple):
    """An upstream was lost while it ran a query.

    :param digest: digest of the query's kind and text.
    :param address: the upstream.
    :param alone: whether the query was the only one in its request, because it had to be.
    :param shard: the shard that was asked.
    """

    digest: str
    address: str
    alone: bool
    shard: str = ""


class NoAnswer(NamedTuple):
    """Answer of a VM that has no answer to a question."""

    reason: str


class TableAsk(NamedTuple):
    """Question for a table newer than this version."""

    version: int


class MapAsk(NamedTuple):
    """Question for a shard map newer than this version."""

    version: int


class MapNews(NamedTuple):
    """A shard map that is in force at the origin."""

    shard_map: ShardMap


class MemberNews(NamedTuple):
    """What is believed of a VM.

    :param member: the VM with its condition.
    :param own_version: number that only the VM itself raises, to override what others say of it.
    """

    member: Member
    own_version: int


class Roll(NamedTuple):
    """Much news of members at once."""

    news: tuple[MemberNews, ...]


class StatusAsk(NamedTuple):
    """Question for what is in force on a VM."""


class StatusNews(NamedTuple):
    """What is in force on a VM.

    :param versions: its versions.
    :param ready: whether it serves.
    :param not_ready_reason: why it is not ready, ``""`` if it is.
    """

    versions: Versions
    ready: bool
    not_ready_reason: str


class SeatAsk(NamedTuple):
    """Question for seat plans newer than this epoch."""

    version: int


class SeatNews(NamedTuple):
    """The seat plans of the origin's data centre."""

    plans: SeatPlans


class SeatSeen(NamedTuple):
    """A seat holds no more connections than its shares under a plan."""

    seat: Seat
    epoch: int


PAYLOADS: tuple[type[tuple[Any, ...]], ...] = (
    TableNews,
    QueryLoss,
    ClaimQuestion,
    ClaimReply,
    NoAnswer,
    TableAsk,
    MapAsk,
    MapNews,
    Roll,
    StatusAsk,
    StatusNews,
    RateReport,
    RateGrants,
    SeatAsk,
    SeatNews,
    SeatSeen,
)
