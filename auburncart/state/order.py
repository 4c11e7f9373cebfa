"""Non-idempotent orders, and the claims that prevent their being executed twice."""

from enum import Enum
from typing import Any, NamedTuple

from auburncart.state.failure import Ran

__all__ = [
    "Claim",
    "ClaimBucket",
    "ClaimChange",
    "ClaimOperation",
    "ClaimQuestion",
    "ClaimReply",
    "ClaimState",
    "ClaimVerdict",
    "OrderAnswer",
    "OrderRequest",
    "Verdict",
]


class ClaimState(Enum):
    """State of a claimed order.

    Only a ``RELEASED`` order may be claimed by another attempt: its holder did not send it.
    """

    SENDING = "sending"
    DONE = "done"
    REJECTED = "rejected"
    RELEASED = "released"
    UNKNOWN = "unknown"


class Claim(NamedTuple):
    """The stored right of one holder to send an order, once.

    :param key: idempotency key.
    :param digest: digest of the order's customer, kind, shard and body.
    :param state: state of the order.
    :param holder: nonce of the attempt that holds the claim, unique among all attempts.
    :param outcome: the upstream's result, None while unknown.
    """

    key: str
    digest: str
    state: ClaimState
    holder: str
    outcome: Any = None


class ClaimBucket(NamedTuple):
    """The claims in one stored object.

    :param period: number of the period in which the keys were created; it never decreases.
    :param claims: claims by idempotency key.
    """

    period: int
    claims: dict[str, Claim]


class ClaimOperation(Enum):
    """Operation that a holder asks for on its claim."""

    CLAIM = "claim"
    FINISH = "finish"
    RELEASE = "release"


class ClaimChange(NamedTuple):
    """A change of one claim; it is idempotent.

    :param operation: what the holder asks for.
    :param claim: the claim as it should be after the change.
    """

    operation: ClaimOperation
    claim: Claim


class Verdict(Enum):
    """Result of a change."""

    HELD = "held"
    FOUND = "found"
    EXPIRED = "expired"
    FULL = "full"


class ClaimVerdict(NamedTuple):
    """The stored claim after a change.

    :param verdict: ``HELD`` if the change was made, or the asking holder may send the order;
        ``FOUND`` if the claim was left unchanged, ``EXPIRED`` if claims of that age are no
        longer stored, ``FULL`` if there is no room.
    :param claim: the stored claim, None for the last two.
    """

    verdict: Verdict
    claim: Claim | None = None


class ClaimQuestion(NamedTuple):
    """A question to another VM to apply a change.

    :param change: the change.
    :param relayed: whether the asked VM must apply it itself and not relay it.
    """

    change: ClaimChange
    relayed: bool


class ClaimReply(NamedTuple):
    """Answer of another VM that was asked to apply a change.

    :param verdict: the verdict, None if the change is not known to be applied.
    :param claim: the stored claim, if the verdict has one.
    :param sent: whether the change may have been applied without a verdict.
    :param reason: why there is no verdict.
    """

    verdict: Verdict | None
    claim: Claim | None = None
    sent: bool = True
    reason: str = ""


class OrderRequest(NamedTuple):
    """A work order or consent, which takes effect at most once.

    :param request_id: identifier of this attempt; the answer repeats it.
    :param key: idempotency key, a UUID of version 7, the same for every repeat of the order.
    :param customer: customer on whose account the order runs.
    :param kind: kind of work, a row of the table.
    :param shard: shard that executes the order.
    :param body: the order itself, passed to the upstream unchanged.
    :param deadline: loop time in seconds.
    :param repeat: whether the caller has sent this key before.
    """

    request_id: str
    key: str
    customer: str
    kind: str
    shard: str
    body: str
    deadline: float
    repeat: bool = False


class OrderAnswer(NamedTuple):
    """Outcome of an order.

    :param request_id: identifier of the attempt that this answers.
    :param key: idempotency key.
    :param ran: whether the order took effect.
    :param outcome: the upstream's result, if known.
    :param repeated: whether this is the stored outcome of an earlier attempt.
    """

    request_id: str
    key: str
    ran: Ran
    outcome: Any
    repeated: bool = False
