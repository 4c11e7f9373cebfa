"""Which replica a sub-query is sent to."""

import math
from abc import ABC, abstractmethod
from collections import Counter
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

        :param candidates: upstreams of the shard that may be asked.
        :param now: loop time in seconds.
        :param deadline: loop time in seconds after which the answer is of no use.
        """


class RoundRobinChoice(ReplicaChoice):
    """Takes the candidates in turn, whatever their condition; the baseline."""

    def __init__(self) -> None:
        self._turns: Counter[str] = Counter()

    def choose(
        self, candidates: Sequence[Upstream], now: float, deadline: float = math.inf
    ) -> Upstream | None:
        """Return the next candidate in turn."""
        if not candidates:
            return None
        first = candidates[0].address
        self._turns[first] += 1
        return candidates[self._turns[first] % len(candidates)]
