"""Facts and questions that travel between entry VMs.

Every class in :data:`FACTS` may be published on a :class:`~auburncart.coordination.PeerBus` or
put as a question. Its place in the tuple is its number on the wire: new ones go to the end.
"""

from typing import Any, NamedTuple

from auburncart.state.order import ClaimQuestion, ClaimReply
from auburncart.state.rate import RateGrants, RateReport
from auburncart.state.table import TableDocument

__all__ = ["FACTS", "QueryLoss", "TableNews"]


class TableNews(NamedTuple):
    """A table that is in force at the origin."""

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


FACTS: tuple[type[tuple[Any, ...]], ...] = (
    TableNews,
    QueryLoss,
    ClaimQuestion,
    ClaimReply,
    RateReport,
    RateGrants,
)
