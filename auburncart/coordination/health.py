"""What the replies and failures of one upstream tell about its state."""

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

LATENCY_WEIGHT = 0.1  # weight of a new value in the moving average

STEPS = {step.value: step for step in Step}
CODES: dict[type[UpstreamError], FailureCode] = {
    UpstreamMismatchError: FailureCode.MISMATCH,
    UpstreamRefusedError: FailureCode.REFUSED,
    UpstreamShedError: FailureCode.SHED,
    UpstreamTimeoutError: FailureCode.TIMED_OUT,
}


def failure_of(error: UpstreamError) -> Failure:
    """Return the failure that corresponds to an exception of an upstream connection."""
    step = STEPS.get(error.step, Step.REPLY)
    default = FailureCode.UNREACHABLE if step is Step.CONNECT else FailureCode.LOST
    return Failure(step, error.peer, error.reason, CODES.get(type(error), default), error.sent)


class UpstreamHealth:
    """Moving average of latency, consecutive failures, and the condition last reported."""

    def __init__(self) -> None:
        self.latency = 0.0
        self.failures = 0
        self.last_failure: Failure | None = None
        self.condition = UpstreamCondition.READY
        self.condition_since = 0.0
        self.draining_refusal_at: float | None = None

    def record_reply(
        self,
        seconds: float,
        condition: UpstreamCondition,
        now: float,
        cancelled: bool = False,
    ) -> None:
        """Record a reply.

        :param seconds: time from sending to reply.
        :param condition: condition that it reports.
        :param now: loop time in seconds.
        :param cancelled: whether the request was cancelled; it would have taken longer, so it
            never lowers the latency.
        """
        self.failures = 0
        seconds = max(seconds, self.latency) if cancelled else seconds
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)
        if condition is not self.condition:
            self.condition = condition
            self.condition_since = now

    def record_draining_refusal(self, now: float) -> None:
        """Record that the upstream refused a sub-query because it drains."""
        self.draining_refusal_at = now

    def record_failure(self, failure: Failure, now: float) -> None:
        """Record a request or a dial that failed.

        The condition belongs to a process: when the upstream refuses connections, the process
        that reported it has ended.
        """
        self.failures += 1
        self.last_failure = failure
        if failure.code is FailureCode.UNREACHABLE:
            self.draining_refusal_at = None
            self.condition = UpstreamCondition.READY
            self.condition_since = now
