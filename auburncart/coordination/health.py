"""What the replies and failures of one upstream tell of it."""

from auburncart.exception import (
    UpstreamError,
    UpstreamMismatchError,
    UpstreamRefusedError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.upstream import UpstreamCondition

__all__ = ["UpstreamHealth", "failure_of"]

LATENCY_WEIGHT = 0.1  # share of a new measurement in the moving average

STEPS = {step.value: step for step in Step}
CODES: dict[type[UpstreamError], FailureCode] = {
    UpstreamMismatchError: FailureCode.MISMATCH,
    UpstreamRefusedError: FailureCode.REFUSED,
    UpstreamShedError: FailureCode.SHED,
    UpstreamTimeoutError: FailureCode.TIMED_OUT,
}


def failure_of(error: UpstreamError) -> Failure:
    """Return the failure that an exception of an upstream connection stands for."""
    step = STEPS.get(error.step, Step.REPLY)
    other = FailureCode.UNREACHABLE if step is Step.CONNECT else FailureCode.LOST
    return Failure(step, error.peer, error.reason, CODES.get(type(error), other), error.sent)


class UpstreamHealth:
    """Moving average of latency, failures in a row, and the condition last reported."""

    def __init__(self) -> None:
        self.latency = 0.0
        self.failures = 0
        self.last_failure: Failure | None = None
        self.condition = UpstreamCondition.READY
        self.condition_since = 0.0
        self.refused_leaving_at: float | None = None

    def record_reply(
        self,
        seconds: float,
        condition: UpstreamCondition,
        now: float,
        cut_short: bool = False,
    ) -> None:
        """Take in a reply.

        :param seconds: time from sending to reply.
        :param condition: condition that it reports.
        :param now: loop time in seconds.
        :param cut_short: whether the request was cancelled; it would have taken longer.
        """
        self.failures = 0
        seconds = max(seconds, self.latency) if cut_short else seconds
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)
        if condition is not self.condition:
            self.condition = condition
            self.condition_since = now

    def record_refusal_to_leave(self, now: float) -> None:
        """Take in that the upstream refused a sub-query because it leaves."""
        self.refused_leaving_at = now

    def record_failure(self, failure: Failure, now: float) -> None:
        """Take in a request or a dial without a reply.

        The condition belongs to a process: it ends with the process that refuses a connection.
        """
        self.failures += 1
        self.last_failure = failure
        if failure.code is FailureCode.UNREACHABLE:
            self.refused_leaving_at = None
            self.condition = UpstreamCondition.READY
            self.condition_since = now
