"""Waiting times between calls of something that fails."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Waiting times that double from call to call, each drawn anew below its bound.

    :param rng: source of the jitter.
    :param first: bound of the first waiting time in seconds.
    :param most: bound of every waiting time in seconds.

    >>> backoff = Backoff(random.Random(1), first=1.0, most=8.0)
    >>> [backoff.next() <= bound for bound in (1.0, 2.0, 4.0, 8.0, 8.0)]
    [True, True, True, True, True]
    """

    def __init__(self, rng: random.Random, first: float = 0.2, most: float = 10.0) -> None:
        self._rng = rng
        self._first = first
        self._most = most
        self._bound = first

    def next(self) -> float:
        """Return the next waiting time in seconds, at least half of its bound."""
        bound = self._bound
        self._bound = min(self._most, 2.0 * bound)
        return bound * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Begin again after a success."""
        self._bound = self._first
