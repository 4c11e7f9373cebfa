"""How long an upstream that refused a connection is left alone."""

import random
from abc import ABC, abstractmethod
from collections.abc import Iterator

__all__ = ["Backoff", "JitteredBackoff", "NoBackoff"]

FIRST_DELAY_SECONDS = 0.05
LONGEST_DELAY_SECONDS = 1.0
RECOVERY_SECONDS = 60.0


class Backoff(ABC):
    """Spaces the dials of an upstream that could not be reached."""

    @abstractmethod
    def delays(self) -> Iterator[float]:
        """Return the seconds to wait before each new dial, until one succeeds.

        While this lasts the upstream gets no work. Once it ends, the next job dials.
        """


class NoBackoff(Backoff):
    """Dials for each job; the baseline."""

    def delays(self) -> Iterator[float]:
        """Return nothing."""
        return iter(())


class JitteredBackoff(Backoff):
    """Doubles the delay up to a bound, and draws each between a half and the whole of it.

    :param seed: seed of the draws; None for a different one in each process.

    >>> next(JitteredBackoff(seed=1).delays()) <= 0.05
    True
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def delays(self) -> Iterator[float]:
        """Yield delays for about a minute."""
        delay = FIRST_DELAY_SECONDS
        total = 0.0
        while total < RECOVERY_SECONDS:
            drawn = delay * self._random.uniform(0.5, 1.0)
            total += drawn
            yield drawn
            delay = min(2 * delay, LONGEST_DELAY_SECONDS)
