"""Refusals and failures, with the step and the peer."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Failure", "FailureCode", "Ran", "Refusal", "RefusalCode", "Step"]


class Step(Enum):
    """Processing step of a request at which an error arose."""

    PARSE = "parse"
    ADMIT = "admit"
    QUEUE = "queue"
    ROUTE = "route"
    CONNECT = "connect"
    SEND = "send"
    REPLY = "reply"
    MATCH = "match"
    CLAIM = "claim"
    STORE = "store"
    SHUTDOWN = "shutdown"


class Ran(Enum):
    """Whether a request took effect, as far as is known."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class RefusalCode(Enum):
    """Kind of a refusal; the front end maps it to its own status codes."""

    BAD_REQUEST = "bad_request"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    TOO_LARGE = "too_large"
    NO_ROUTE = "no_route"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    TIMED_OUT = "timed_out"
    FAILED = "failed"


class FailureCode(Enum):
    """Kind of a sub-query's failure, on which retry and other policies depend."""

    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    SHED = "shed"
    DRAINING = "draining"
    RETIRED = "retired"
    MOVED = "moved"
    MISMATCH = "mismatch"
    REFUSED = "refused"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"


class Failure(NamedTuple):
    """Why one sub-query has no answer.

    :param step: step at which it failed.
    :param peer: address of the upstream or VM, ``""`` if none was reached.
    :param reason: explanation for an operator.
    :param code: kind of the failure.
    :param sent: whether any byte may have reached the peer.
    """

    step: Step
    peer: str
    reason: str
    code: FailureCode = FailureCode.LOST
    sent: bool = True


class Refusal(NamedTuple):
    """Why a request has no answer.

    :param code: kind of the refusal.
    :param reason: explanation for the caller.
    :param ran: whether the request took effect; ``Ran.NO`` only if that is certain.
    :param retry_after: seconds after which the caller may retry, 0 if there is no point in it.
    :param step: step at which the request was refused.
    :param peer: address of the other side, ``""`` if there is none.
    """

    code: RefusalCode
    reason: str
    ran: Ran = Ran.NO
    retry_after: float = 0.0
    step: Step = Step.ADMIT
    peer: str = ""
