"""How long an upstream that refused a connection is left alone."""

import random
from abc import ABC, abstractmethod
from collections.abc import Iterator

from auburncart.coordination.backoff import Backoff

__all__ = ["BackoffRedialing", "ImmediateRedialing", "Redialing"]

FIRST_DELAY_SECONDS = 0.05
LONGEST_DELAY_SECONDS = 1.0
RECOVERY_SECONDS = 60.0


class Redialing(ABC):
    """Spaces the dials of an upstream that could not be reached."""

    @abstractmethod
    def delays(self) -> Iterator[float]:
        """Return the seconds to wait before each new dial, until one succeeds.

        While this lasts the upstream gets no work. Once it ends, the next job dials.
        """


class ImmediateRedialing(Redialing):
    """Dials for each job; the baseline."""

    def delays(self) -> Iterator[float]:
        """Return nothing."""
        return iter(())


class BackoffRedialing(Redialing):
    """Doubles the delay up to a bound, and draws each between a half and the whole of it.

    :param seed: seed of the draws; None for a different one in each process.

    >>> next(BackoffRedialing(seed=1).delays()) <= 0.05
    True
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def delays(self) -> Iterator[float]:
        """Yield delays for about a minute."""
        backoff = Backoff(self._random, FIRST_DELAY_SECONDS, LONGEST_DELAY_SECONDS)
        total = 0.0
        while total < RECOVERY_SECONDS:
            delay = backoff.next_delay()
            total += delay
            yield delay
