"""What a scenario acts on, behind one abstract base class."""

from abc import ABC, abstractmethod
from typing import NamedTuple

import xxhash

from auburncart.coordination.idempotency import make_key
from auburncart.scenario.language import Command
from auburncart.state.failure import Refusal
from auburncart.state.order import OrderAnswer
from auburncart.state.search import SearchAnswer

__all__ = [
    "Environment",
    "Outcome",
    "idempotency_key",
    "order_outcome",
    "refusal_outcome",
    "search_outcome",
]


class Outcome(NamedTuple):
    """How a request ended, in the words that a scenario expects.

    :param kind: ``complete``, ``partial``, ``ran``, ``unknown`` or ``refused``.
    """

    kind: str
    ran: str = ""
    code: str = ""
    snapshot: str = ""
    asked: int = 0
    answered: int = 0
    missing: tuple[str, ...] = ()
    hits: int = 0
    repeated: bool = False

    def __str__(self) -> str:
        shown = {name: _text(value) for name, value in self._asdict().items() if value}
        return " ".join(f"{name}={value}" for name, value in shown.items())


def _text(value: object) -> str:
    return ",".join(value) if isinstance(value, tuple) else str(value)


def idempotency_key(word: str, began: float) -> str:
    """Return the idempotency key that a word of a scenario stands for.

    :param began: time at which the scenario began, in seconds since the epoch.
    """
    return make_key(began, xxhash.xxh3_128_intdigest(word.encode()))


def search_outcome(answer: SearchAnswer) -> Outcome:
    """Return the outcome that an answer is."""
    coverage = answer.coverage
    return Outcome(
        "complete" if coverage.complete else "partial",
        snapshot=answer.snapshot,
        asked=coverage.asked,
        answered=coverage.answered,
        missing=tuple(gap.shard for gap in coverage.missing),
        hits=len(answer.hits),
    )


def order_outcome(answer: OrderAnswer) -> Outcome:
    """Return the outcome that an order's answer is."""
    kind = {"yes": "ran", "no": "refused", "unknown": "unknown"}[answer.ran.value]
    return Outcome(kind, ran=answer.ran.value, repeated=answer.repeated)


def refusal_outcome(refusal: Refusal) -> Outcome:
    """Return the outcome that a refusal is."""
    return Outcome("refused", ran=refusal.ran.value, code=refusal.code.value)


class Environment(ABC):
    """VMs, upstreams and a platform that a scenario starts, breaks and asks."""

    @abstractmethod
    def time(self) -> float:
        """Return seconds since the scenario began."""

    @abstractmethod
    async def act(self, command: Command) -> None:
        """Do what a command other than a request or an expectation says."""

    @abstractmethod
    async def search(self, command: Command) -> Outcome:
        """Send a search and return how it ended."""

    @abstractmethod
    async def order(self, command: Command) -> Outcome:
        """Send an order and return how it ended."""

    @abstractmethod
    async def effects(self, key: str) -> int:
        """Return how often an order took effect at all upstreams together."""

    @abstractmethod
    async def lost_upstreams(self) -> int:
        """Return how many upstreams are down."""

    @abstractmethod
    async def sub_queries(self, upstream: str) -> int:
        """Return how many sub-queries an upstream got since the last ``count``."""

    @abstractmethod
    async def table_version(self, vm: str) -> int:
        """Return the version of the table in force on a VM, 0 for none."""

    @abstractmethod
    async def close(self) -> None:
        """End everything."""
