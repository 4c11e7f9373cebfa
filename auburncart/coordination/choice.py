"""Which replica a sub-query goes to."""

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence

from auburncart.coordination.upstream import Upstream

__all__ = ["ReplicaChoice", "RoundRobinChoice"]


class ReplicaChoice(ABC):
    """Chooses one of the upstreams that hold a shard."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Upstream], now: float, deadline: float = math.inf
    ) -> Upstream | None:
        """Return an upstream, or None if none of them should get work.

        :param candidates: upstreams of the shard that were not tried yet for this sub-query.
        :param now: loop time in seconds.
        :param deadline: loop time in seconds at which the answer loses its use.
        """


class RoundRobinChoice(ReplicaChoice):
    """Takes the candidates in turn, whatever their condition; the baseline."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: Sequence[Upstream], now: float, deadline: float = math.inf
    ) -> Upstream | None:
        """Return the next candidate in turn."""
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)]
