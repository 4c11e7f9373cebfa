"""Upstreams that leave: which of them still get work."""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.choice import ReplicaChoice
from auburncart.coordination.follow import follow
from auburncart.coordination.interfaces import Key, Store
from auburncart.coordination.upstream import Upstream
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.leaving import UpstreamStatus
from auburncart.state.shards import ShardMap
from auburncart.state.upstream import UpstreamCondition

__all__ = ["UPSTREAM_STATUS", "Draining", "NoDraining", "SignalDraining", "UsableChoice"]

UPSTREAM_STATUS: Key[UpstreamStatus] = Key("upstreams", "status")

DROPPED_SECONDS = 2.0  # time for which searches on an older shard map still use a dropped upstream
REFUSED_SECONDS = 60.0  # time for which an upstream that refused work as it leaves gets none
MOST_SIGNED = 0.5  # share of the upstreams above which reports and hints are not believed
FEWEST_SEEN = 4  # upstreams below which that share says nothing
LEAVING = Failure(Step.QUEUE, "", "the upstream leaves", FailureCode.DRAINING, False)


class Draining(ABC):
    """Decides which upstreams of a shard may get new work."""

    @abstractmethod
    def usable(self, candidates: Sequence[Upstream], now: float) -> list[Upstream]:
        """Return the candidates that may get new work."""

    @abstractmethod
    def start_drain(self, upstream: Upstream) -> None:
        """Take in that an upstream has begun to report that it leaves."""

    @abstractmethod
    async def follow(self, store: Store, catalogue: Catalogue, rng: random.Random) -> None:
        """Follow the platform's signs; runs until cancelled.

        :param rng: source of the jitter between failed tries.
        """


class NoDraining(Draining):
    """Sends work to leaving upstreams too; the baseline."""

    def usable(self, candidates: Sequence[Upstream], now: float) -> list[Upstream]:
        """Return all candidates."""
        return list(candidates)

    def start_drain(self, upstream: Upstream) -> None:
        """Ignore the report."""

    async def follow(self, store: Store, catalogue: Catalogue, rng: random.Random) -> None:
        """Follow nothing."""


class UsableChoice(ReplicaChoice):
    """Chooses among the upstreams that are ready and may get new work.

    :param choice: chooses among those.
    :param draining: tells which may get new work.
    """

    def __init__(self, choice: ReplicaChoice, draining: Draining) -> None:
        self._choice = choice
        self._draining = draining

    def choose(
        self, candidates: Sequence[Upstream], now: float, deadline: float = math.inf
    ) -> Upstream | None:
        """Return an upstream, or None if none of them should get work."""
        ready = [upstream for upstream in candidates if upstream.ready]
        return self._choice.choose(self._draining.usable(ready, now), now, deadline)


class SignalDraining(Draining):
    """Obeys each sign of leaving while another replica of the shard can take the work.

    Signs are the upstream's own report, the platform's list of leaving upstreams, and a newer
    shard map without it. Reports and the list may mislead: where all replicas of a shard bear
    such a sign, or most upstreams do, they are not believed. A refusal of work and a newer shard
    map are always obeyed.
    """

    def __init__(self) -> None:
        self._seen: dict[str, Upstream] = {}
        self._reported: set[str] = set()
        self._hinted: frozenset[str] = frozenset()
        self._catalogue: Catalogue | None = None
        self._map: ShardMap | None = None
        self._named: frozenset[str] = frozenset()
        self._named_since = 0.0

    def usable(self, candidates: Sequence[Upstream], now: float) -> list[Upstream]:
        """Return the candidates without a sign; failing that, those whose sign may mislead."""
        self._look(candidates)
        self._read_map(now)
        open_ones = [one for one in candidates if not self._must_not(one, now)]
        if self._misled:
            return open_ones
        unsigned = [one for one in open_ones if not self._signed(one.address)]
        return unsigned or open_ones

    def start_drain(self, upstream: Upstream) -> None:
        """Send the jobs in its queue elsewhere, and see when its process has ended."""
        self._look((upstream,))
        if not self._misled:
            upstream.withdraw(LEAVING._replace(peer=upstream.address))
            upstream.watch_end()

    def apply_status(self, status: UpstreamStatus) -> None:
        """Put the platform's list in force."""
        new = frozenset(status.leaving) - self._hinted
        self._hinted = frozenset(status.leaving)
        for address in new & self._seen.keys():
            self.start_drain(self._seen[address])

    async def follow(self, store: Store, catalogue: Catalogue, rng: random.Random) -> None:
        """Follow the platform's list of leaving upstreams and the shard map."""
        self._catalogue = catalogue
        await follow(store, UPSTREAM_STATUS, self.apply_status, rng)

    @property
    def _misled(self) -> bool:
        signed = len(self._reported | (self._hinted & self._seen.keys()))
        return len(self._seen) >= FEWEST_SEEN and signed > MOST_SIGNED * len(self._seen)

    def _signed(self, address: str) -> bool:
        return address in self._reported or address in self._hinted

    def _must_not(self, upstream: Upstream, now: float) -> bool:
        refused = upstream.refused_leaving_at
        if refused is not None and now - refused < REFUSED_SECONDS:
            return True
        dropped = bool(self._named) and upstream.address not in self._named
        return dropped and now - self._named_since > DROPPED_SECONDS

    def _look(self, upstreams: Sequence[Upstream]) -> None:
        for upstream in upstreams:
            self._seen[upstream.address] = upstream
            if upstream.condition is UpstreamCondition.DRAINING:
                self._reported.add(upstream.address)
            else:
                self._reported.discard(upstream.address)

    def _read_map(self, now: float) -> None:
        newest = self._catalogue.current if self._catalogue else None
        if newest is None or newest is self._map:
            return
        self._map = newest
        self._named_since = now
        self._named = frozenset(
            replica.address for shard in newest.shards.values() for replica in shard.replicas
        )
        self._seen = {address: one for address, one in self._seen.items() if address in self._named}
        self._reported &= self._named
