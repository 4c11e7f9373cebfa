"""Upstreams that leave: which of them still get work."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from auburncart.coordination.upstream import Upstream

__all__ = ["Draining", "NoDraining"]


class Draining(ABC):
    """Decides which upstreams of a shard may get new work."""

    @abstractmethod
    def usable(self, candidates: Sequence[Upstream], now: float) -> list[Upstream]:
        """Return the candidates that may get new work."""


class NoDraining(Draining):
    """Sends work to leaving upstreams too; the baseline."""

    def usable(self, candidates: Sequence[Upstream], now: float) -> list[Upstream]:
        """Return all candidates."""
        return list(candidates)
