"""When a failed sub-query is tried again, and where."""

import random
from abc import ABC, abstractmethod
from enum import Enum
from typing import NamedTuple

from auburncart.state.failure import Failure, FailureCode

__all__ = ["BudgetedRetrying", "Prospect", "RetryPlan", "Retrying", "UnbudgetedRetrying"]

MAX_TRIES = 3
MAX_BUDGETED_TRIES = 4
RETRY_RATIO = 0.05  # retries of sent work for each first try
RETRY_RESERVE = 20.0  # tokens at the start
MAX_TOKENS = 100.0
FIRST_DELAY_SECONDS = 0.02
LONGEST_DELAY_SECONDS = 0.5
WORTH_SECONDS = 0.005  # a try that starts later before the deadline has no use


class RetryPlan(NamedTuple):
    """How a failed sub-query goes on.

    :param delay: seconds before the next try.
    :param other_only: whether only a replica that was not tried yet may be asked.
    """

    delay: float = 0.0
    other_only: bool = False


class Prospect(NamedTuple):
    """What another try of a sub-query would find.

    :param fresh: whether a replica that was not tried yet takes work.
    :param hopeless: whether no upstream of the shard is expected to take work soon.
    """

    fresh: bool = False
    hopeless: bool = False


class Retrying(ABC):
    """Decides whether an idempotent sub-query is tried again."""

    @abstractmethod
    def plan(
        self, tries: int, failure: Failure, prospect: Prospect, now: float, deadline: float
    ) -> RetryPlan | None:
        """Return how to try again, or None to give up.

        :param tries: number of tries so far, at least 1.
        :param failure: how the last one failed.
        :param prospect: what the next try would find.
        :param now: loop time in seconds.
        :param deadline: loop time in seconds at which the search ends.
        """

    @abstractmethod
    def record_sent(self, count: int) -> None:
        """Count first tries, from which a budget may grow."""


class UnbudgetedRetrying(Retrying):
    """Tries each sub-query up to three times; the baseline."""

    def plan(
        self, tries: int, failure: Failure, prospect: Prospect, now: float, deadline: float
    ) -> RetryPlan | None:
        """Try again at once while a try is left and the deadline has not passed."""
        return RetryPlan() if tries < MAX_TRIES and now < deadline else None

    def record_sent(self, count: int) -> None:
        """Ignore the count."""


class _Turn(Enum):
    """Where a kind of failure may be tried again."""

    NOWHERE = "nowhere"
    OTHER = "other"
    ANY = "any"


TURNS: dict[FailureCode, _Turn] = {
    FailureCode.UNREACHABLE: _Turn.ANY,
    FailureCode.LOST: _Turn.ANY,
    FailureCode.SHED: _Turn.ANY,
    FailureCode.MISMATCH: _Turn.ANY,
    FailureCode.DRAINING: _Turn.OTHER,
    FailureCode.RETIRED: _Turn.OTHER,
    FailureCode.MOVED: _Turn.OTHER,
    FailureCode.CANCELLED: _Turn.OTHER,
    FailureCode.REFUSED: _Turn.OTHER,
    FailureCode.TIMED_OUT: _Turn.OTHER,
    FailureCode.QUARANTINED: _Turn.NOWHERE,
}


TURNS_UNSENT: dict[FailureCode, _Turn] = {FailureCode.QUARANTINED: _Turn.NOWHERE}


class BudgetedRetrying(Retrying):
    """Retries by kind of failure, within a budget relative to first tries.

    A try that was never sent cost the upstream nothing, so its successor costs no token. Another
    replica is asked at once; one that was tried already is asked after a jittered delay that
    doubles with each try.

    :param ratio: tokens for each first try.
    :param reserve: tokens at the start.
    :param seed: seed of the jitter; None for a different one in each process.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        reserve: float = RETRY_RESERVE,
        seed: int | None = None,
    ) -> None:
        self._ratio = ratio
        self._tokens = reserve
        self._random = random.Random(seed)

    def plan(
        self, tries: int, failure: Failure, prospect: Prospect, now: float, deadline: float
    ) -> RetryPlan | None:
        """Return the next try that the kind of failure and the budget allow."""
        turn = TURNS[failure.code] if failure.sent else TURNS_UNSENT.get(failure.code, _Turn.ANY)
        if turn is _Turn.NOWHERE or tries >= MAX_BUDGETED_TRIES or prospect.hopeless:
            return None
        if turn is _Turn.OTHER and not prospect.fresh:
            return None
        plan = RetryPlan(0.0 if prospect.fresh else self._delay(tries), turn is _Turn.OTHER)
        in_time = now + plan.delay + WORTH_SECONDS < deadline
        return plan if in_time and self._spend(failure) else None

    def record_sent(self, count: int) -> None:
        """Let the budget grow."""
        self._tokens = min(MAX_TOKENS, self._tokens + count * self._ratio)

    def _delay(self, tries: int) -> float:
        longest = min(FIRST_DELAY_SECONDS * 2 ** (tries - 1), LONGEST_DELAY_SECONDS)
        return longest * self._random.uniform(0.5, 1.0)

    def _spend(self, failure: Failure) -> bool:
        if not failure.sent:
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
