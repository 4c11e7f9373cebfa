"""How long to wait before dialing an upstream again after a failed dial."""

import random
from abc import ABC, abstractmethod
from collections.abc import Iterator

from auburncart.coordination.backoff import Backoff

__all__ = ["BackoffRedialing", "ImmediateRedialing", "Redialing"]

INITIAL_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 1.0
RECOVERY_SECONDS = 60.0


class Redialing(ABC):
    """Spaces the dials to an upstream that could not be reached."""

    @abstractmethod
    def delays(self) -> Iterator[float]:
        """Return the seconds to wait before each new dial, until one succeeds.

        The upstream gets no work until then or until the delays end; after that the next job
        causes a dial.
        """


class ImmediateRedialing(Redialing):
    """Dials for each job; the baseline."""

    def delays(self) -> Iterator[float]:
        """Return nothing."""
        return iter(())


class BackoffRedialing(Redialing):
    """Doubles the delay up to a bound, with jitter between half of it and the whole.

    :param seed: seed of the jitter; None for a different one in each process.

    >>> next(BackoffRedialing(seed=1).delays()) <= 0.05
    True
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def delays(self) -> Iterator[float]:
        """Yield delays for about a minute."""
        backoff = Backoff(self._random, INITIAL_DELAY_SECONDS, MAX_DELAY_SECONDS)
        total = 0.0
        while total < RECOVERY_SECONDS:
            delay = backoff.next_delay()
            total += delay
            yield delay
