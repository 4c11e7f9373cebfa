"""Waiting times between calls of something that fails."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Waiting times that double from call to call, each drawn anew below its bound.

    :param rng: source of the jitter.
    :param initial_seconds: bound of the first waiting time in seconds.
    :param max_seconds: bound of every waiting time in seconds.

    >>> backoff = Backoff(random.Random(1), initial_seconds=1.0, max_seconds=8.0)
    >>> [backoff.next_delay() <= bound for bound in (1.0, 2.0, 4.0, 8.0, 8.0)]
    [True, True, True, True, True]
    """

    def __init__(self, rng: random.Random, initial_seconds: float = 0.2, max_seconds: float = 10.0) -> None:
        self._rng = rng
        self._initial_seconds = initial_seconds
        self._max_seconds = max_seconds
        self._bound = initial_seconds

    def next_delay(self) -> float:
        """Return the next waiting time in seconds, at least half of its bound."""
        bound = self._bound
        self._bound = min(self._max_seconds, 2.0 * bound)
        return bound * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Begin again after a success."""
        self._bound = self._initial_seconds
