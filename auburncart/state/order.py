"""Non-idempotent orders, and the claims that keep them from being done twice."""

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
    """How far a claimed order has come.

    Only a ``RELEASED`` order may be claimed by another try: its holder gave it back unsent.
    """

    SENDING = "sending"
    DONE = "done"
    REJECTED = "rejected"
    RELEASED = "released"
    UNKNOWN = "unknown"


class Claim(NamedTuple):
    """The stored right of one holder to send one order once.

    :param key: idempotency key.
    :param digest: digest of the order's customer, kind, shard and body.
    :param state: how far the order has come.
    :param holder: nonce of the try that holds the claim, unique among all tries.
    :param outcome: the upstream's result, None while it is not known.
    """

    key: str
    digest: str
    state: ClaimState
    holder: str
    outcome: Any = None


class ClaimBucket(NamedTuple):
    """The claims of one stored object.

    :param period: number of the period in which the keys were made; it never decreases.
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
    """A change of one claim, which may be applied any number of times.

    :param operation: what the holder asks for.
    :param claim: the claim as it is to be after the change.
    """

    operation: ClaimOperation
    claim: Claim


class Verdict(Enum):
    """How a change ended."""

    HELD = "held"
    FOUND = "found"
    EXPIRED = "expired"
    FULL = "full"


class ClaimVerdict(NamedTuple):
    """The stored claim after a change.

    :param verdict: ``HELD`` if the change was made, or the claim is the asking holder's to send;
        ``FOUND`` if the claim stays as it was found, ``EXPIRED`` if claims of that age are no
        longer kept, ``FULL`` if there is no room.
    :param claim: the stored claim, None for the last two.
    """

    verdict: Verdict
    claim: Claim | None = None


class ClaimQuestion(NamedTuple):
    """A change that another VM is asked to apply.

    :param change: the change.
    :param relayed: whether the asked VM is to apply it itself, not to hand it on.
    """

    change: ClaimChange
    relayed: bool


class ClaimReply(NamedTuple):
    """What became of a change that another VM was asked to apply.

    :param verdict: the verdict, None if it is not known to be applied.
    :param claim: the stored claim, if the verdict has one.
    :param sent: whether the change may be applied although there is no verdict.
    :param reason: why there is no verdict.
    """

    verdict: Verdict | None
    claim: Claim | None = None
    sent: bool = True
    reason: str = ""


class OrderRequest(NamedTuple):
    """A work order or consent, which takes effect at most once.

    :param request_id: identifier of this try; the answer repeats it.
    :param key: idempotency key, a UUID of version 7, the same for every repeat of the order.
    :param customer: customer on whose account the order runs.
    :param kind: kind of work, a row of the table.
    :param shard: shard that carries the order out.
    :param body: the order itself, passed to the upstream as it is.
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
