"""Delays between retries of a call that fails."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Exponential backoff with jitter: the upper bound of the delay doubles with each call.

    :param rng: source of the jitter.
    :param initial_seconds: upper bound of the first delay.
    :param max_seconds: upper bound of every delay.

    >>> backoff = Backoff(random.Random(1), initial_seconds=1.0, max_seconds=8.0)
    >>> [backoff.next_delay() <= bound for bound in (1.0, 2.0, 4.0, 8.0, 8.0)]
    [True, True, True, True, True]
    """

    def __init__(
        self, rng: random.Random, initial_seconds: float = 0.2, max_seconds: float = 10.0
    ) -> None:
        self._rng = rng
        self._initial_seconds = initial_seconds
        self._max_seconds = max_seconds
        self._bound = initial_seconds

    def next_delay(self) -> float:
        """Return the next delay in seconds, between half of its upper bound and the bound."""
        bound = self._bound
        self._bound = min(self._max_seconds, 2.0 * bound)
        return bound * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again from the initial delay, after a success."""
        self._bound = self._initial_seconds
