"""The environment that a scenario runs in, as an abstract base class, and outcomes of requests."""

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
    """How a request ended, in the terms of the ``expect`` command.

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
        formatted = {name: _format_value(value) for name, value in self._asdict().items() if value}
        return " ".join(f"{name}={value}" for name, value in formatted.items())


def _format_value(value: object) -> str:
    return ",".join(value) if isinstance(value, tuple) else str(value)


def idempotency_key(word: str, started_at: float) -> str:
    """Return the idempotency key for a word of a scenario.

    :param started_at: time at which the scenario started, in seconds since the epoch.
    """
    return make_key(started_at, xxhash.xxh3_128_intdigest(word.encode()))


def search_outcome(answer: SearchAnswer) -> Outcome:
    """Return the outcome of a search that was answered."""
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
    """Return the outcome of an order that was answered."""
    kind = {"yes": "ran", "no": "refused", "unknown": "unknown"}[answer.ran.value]
    return Outcome(kind, ran=answer.ran.value, repeated=answer.repeated)


def refusal_outcome(refusal: Refusal) -> Outcome:
    """Return the outcome of a request that was refused."""
    return Outcome("refused", ran=refusal.ran.value, code=refusal.code.value)


class Environment(ABC):
    """VMs, upstreams and a platform that a scenario controls, sends requests to and inspects."""

    @abstractmethod
    def time(self) -> float:
        """Return the seconds since the scenario started."""

    @abstractmethod
    async def act(self, command: Command) -> None:
        """Run a command other than a request, ``wait`` or ``expect``."""

    @abstractmethod
    async def search(self, command: Command) -> Outcome:
        """Send a search and return how it ended."""

    @abstractmethod
    async def order(self, command: Command) -> Outcome:
        """Send an order and return how it ended."""

    @abstractmethod
    async def effects(self, key: str) -> int:
        """Return how often an order took effect, summed over all upstreams."""

    @abstractmethod
    async def lost_upstreams(self) -> int:
        """Return the number of upstreams that are down."""

    @abstractmethod
    async def sub_queries(self, upstream: str) -> int:
        """Return the number of sub-queries that an upstream received since the last ``count``."""

    @abstractmethod
    async def table_version(self, vm: str) -> int:
        """Return the version of the table in force on a VM, 0 for none."""

    @abstractmethod
    async def close(self) -> None:
        """Stop all VMs, upstreams and the platform."""
