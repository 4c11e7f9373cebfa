"""Payloads of the messages between entry VMs.

Every class in :data:`PAYLOADS` can be published on a :class:`~auburncart.coordination.PeerBus` or
sent as a question. Its index in the tuple is its number on the wire: append new classes only.
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
    """The current table of the origin, without older audit entries."""

    document: TableDocument


class QueryLoss(NamedTuple):
    """Loss of an upstream while it ran a query.

    :param digest: digest of the query's kind and text.
    :param address: the upstream.
    :param alone: whether the query was the only one in its request, as a trial.
    :param shard: the shard that was queried.
    """

    digest: str
    address: str
    alone: bool
    shard: str = ""


class NoAnswer(NamedTuple):
    """Answer of a VM that cannot answer a question."""

    reason: str


class TableAsk(NamedTuple):
    """Question for a table newer than a version."""

    version: int


class MapAsk(NamedTuple):
    """Question for a shard map newer than a version."""

    version: int


class MapNews(NamedTuple):
    """The current shard map of the origin."""

    shard_map: ShardMap


class MemberNews(NamedTuple):
    """What the sender knows of a VM.

    :param member: the VM with its condition.
    :param own_version: number that only the VM itself raises, to refute what others say of it.
    """

    member: Member
    own_version: int


class Roll(NamedTuple):
    """News of several members in one message."""

    news: tuple[MemberNews, ...]


class StatusAsk(NamedTuple):
    """Question for the status of a VM."""


class StatusNews(NamedTuple):
    """Status of a VM.

    :param versions: versions of its current data.
    :param ready: whether it is ready for callers.
    :param not_ready_reason: why it is not ready, ``""`` if it is.
    """

    versions: Versions
    ready: bool
    not_ready_reason: str


class SeatAsk(NamedTuple):
    """Question for seat plans newer than an epoch."""

    version: int


class SeatNews(NamedTuple):
    """The seat plans of the origin's data centre."""

    plans: SeatPlans


class SeatSeen(NamedTuple):
    """Confirmation that a seat holds no more connections than a plan allows it."""

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
