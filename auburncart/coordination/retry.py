"""Whether, when and where a failed sub-query is tried again."""

import random
from abc import ABC, abstractmethod
from enum import Enum
from typing import NamedTuple

from auburncart.state.failure import Failure, FailureCode

__all__ = ["BudgetedRetrying", "ReplicaAvailability", "RetryPlan", "Retrying", "UnbudgetedRetrying"]

MAX_ATTEMPTS = 3
MAX_BUDGETED_ATTEMPTS = 4
RETRY_RATIO = 0.05  # tokens for each first attempt
INITIAL_TOKENS = 20.0
MAX_TOKENS = 100.0
INITIAL_DELAY_SECONDS = 0.02
MAX_DELAY_SECONDS = 0.5
MIN_ATTEMPT_SECONDS = 0.005  # an attempt that starts closer to the deadline is of no use


class RetryPlan(NamedTuple):
    """How a failed sub-query is tried again.

    :param delay: seconds before the next attempt.
    :param untried_only: whether only a replica that was not tried yet may be asked.
    """

    delay: float = 0.0
    untried_only: bool = False


class ReplicaAvailability(NamedTuple):
    """Which replicas are there for another attempt at a sub-query.

    :param untried: whether a replica that was not tried yet takes work.
    :param all_unavailable: whether no upstream of the shard is expected to take work soon.
    """

    untried: bool = False
    all_unavailable: bool = False


class Retrying(ABC):
    """Decides whether an idempotent sub-query is tried again."""

    @abstractmethod
    def plan(
        self,
        attempts: int,
        failure: Failure,
        availability: ReplicaAvailability,
        now: float,
        deadline: float,
    ) -> RetryPlan | None:
        """Return how to try again, or None to give up.

        :param attempts: number of attempts so far, at least 1.
        :param failure: how the last one failed.
        :param availability: which replicas the next attempt would find.
        :param now: loop time in seconds.
        :param deadline: loop time in seconds at which the search ends.
        """

    @abstractmethod
    def record_sent(self, count: int) -> None:
        """Count first attempts, from which a budget may grow."""


class UnbudgetedRetrying(Retrying):
    """Tries each sub-query up to three times; the baseline."""

    def plan(
        self,
        attempts: int,
        failure: Failure,
        availability: ReplicaAvailability,
        now: float,
        deadline: float,
    ) -> RetryPlan | None:
        """Try again at once while an attempt is left and the deadline has not passed."""
        return RetryPlan() if attempts < MAX_ATTEMPTS and now < deadline else None

    def record_sent(self, count: int) -> None:
        """Ignore the count."""


class _RetryTarget(Enum):
    """Which replicas may be asked after a failure."""

    NOWHERE = "nowhere"
    OTHER = "other"
    ANY = "any"


RETRY_TARGETS: dict[FailureCode, _RetryTarget] = {
    FailureCode.UNREACHABLE: _RetryTarget.ANY,
    FailureCode.LOST: _RetryTarget.ANY,
    FailureCode.SHED: _RetryTarget.ANY,
    FailureCode.MISMATCH: _RetryTarget.ANY,
    FailureCode.DRAINING: _RetryTarget.OTHER,
    FailureCode.RETIRED: _RetryTarget.OTHER,
    FailureCode.MOVED: _RetryTarget.OTHER,
    FailureCode.CANCELLED: _RetryTarget.OTHER,
    FailureCode.REFUSED: _RetryTarget.OTHER,
    FailureCode.TIMED_OUT: _RetryTarget.OTHER,
    FailureCode.QUARANTINED: _RetryTarget.NOWHERE,
}


RETRY_TARGETS_UNSENT: dict[FailureCode, _RetryTarget] = {
    FailureCode.QUARANTINED: _RetryTarget.NOWHERE
}


class BudgetedRetrying(Retrying):
    """Retries by kind of failure, within a budget relative to first attempts.

    An attempt that was never sent cost the upstream nothing, so retrying it costs no token.
    An untried replica is asked at once; one that was tried already is asked after a jittered
    delay that doubles with each attempt.

    :param ratio: tokens for each first attempt.
    :param initial_tokens: tokens at the start.
    :param seed: seed of the jitter; None for a different one in each process.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        initial_tokens: float = INITIAL_TOKENS,
        seed: int | None = None,
    ) -> None:
        self._ratio = ratio
        self._tokens = initial_tokens
        self._random = random.Random(seed)

    def plan(
        self,
        attempts: int,
        failure: Failure,
        availability: ReplicaAvailability,
        now: float,
        deadline: float,
    ) -> RetryPlan | None:
        """Return the next attempt that the kind of failure and the budget allow."""
        target = (
            RETRY_TARGETS[failure.code]
            if failure.sent
            else RETRY_TARGETS_UNSENT.get(failure.code, _RetryTarget.ANY)
        )
        if (
            target is _RetryTarget.NOWHERE
            or attempts >= MAX_BUDGETED_ATTEMPTS
            or availability.all_unavailable
        ):
            return None
        if target is _RetryTarget.OTHER and not availability.untried:
            return None
        plan = RetryPlan(
            0.0 if availability.untried else self._delay(attempts), target is _RetryTarget.OTHER
        )
        in_time = now + plan.delay + MIN_ATTEMPT_SECONDS < deadline
        return plan if in_time and self._spend(failure) else None

    def record_sent(self, count: int) -> None:
        """Let the budget grow."""
        self._tokens = min(MAX_TOKENS, self._tokens + count * self._ratio)

    def _delay(self, attempts: int) -> float:
        max_delay = min(INITIAL_DELAY_SECONDS * 2 ** (attempts - 1), MAX_DELAY_SECONDS)
        return max_delay * self._random.uniform(0.5, 1.0)

    def _spend(self, failure: Failure) -> bool:
        if not failure.sent:
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
