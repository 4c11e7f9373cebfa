"""Non-idempotent orders, and the claims that keep them from being done twice."""

from enum import Enum
from typing import Any, NamedTuple

from auburncart.state.failure import Ran

__all__ = ["Claim", "ClaimState", "OrderAnswer", "OrderRequest"]


class ClaimState(Enum):
    """How far a claimed order has come."""

    SENDING = "sending"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Claim(NamedTuple):
    """The stored right of one holder to send one order once.

    :param key: idempotency key.
    :param digest: digest of the order's customer, kind, shard and body.
    :param state: how far the order has come.
    :param holder: nonce of the try that holds the claim.
    :param outcome: the upstream's result, None while it is not known.
    """

    key: str
    digest: str
    state: ClaimState
    holder: str
    outcome: Any = None


class OrderRequest(NamedTuple):
    """A work order or consent, which takes effect at most once.

    :param request_id: identifier of this try; the answer repeats it.
    :param key: idempotency key, the same for every repeat of the same order.
    :param customer: customer on whose account the order runs.
    :param kind: kind of work, a row of the table.
    :param shard: shard that carries the order out.
    :param body: the order itself, passed to the upstream as it is.
    :param deadline: loop time in seconds.
    """

    request_id: str
    key: str
    customer: str
    kind: str
    shard: str
    body: str
    deadline: float


class OrderAnswer(NamedTuple):
    """What became of an order.

    :param request_id: identifier of the try that this answers.
    :param key: idempotency key.
    :param ran: whether the order took effect.
    :param outcome: the upstream's answer where it is known.
    :param repeated: whether this is the stored outcome of an earlier try.
    """

    request_id: str
    key: str
    ran: Ran
    outcome: Any
    repeated: bool = False
