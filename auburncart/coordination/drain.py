"""Which upstreams still get work while some of them drain."""

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
from auburncart.state.shards import ShardMap
from auburncart.state.upstream import UpstreamCondition
from auburncart.state.upstream_status import UpstreamStatus

__all__ = ["UPSTREAM_STATUS", "Draining", "NoDraining", "SignalDraining", "UsableChoice"]

UPSTREAM_STATUS: Key[UpstreamStatus] = Key("upstreams", "status")

REMOVAL_GRACE_SECONDS = 2.0  # for searches on an older shard map that still names an upstream
REFUSAL_SECONDS = 60.0  # time without work for an upstream that refused some because it drains
MAX_SIGNALLED_SHARE = 0.5  # of the known upstreams; above it reports and the list are not believed
MIN_KNOWN_UPSTREAMS = 4  # with fewer, that share is not checked
DRAINING = Failure(Step.QUEUE, "", "the upstream is draining", FailureCode.DRAINING, False)


class Draining(ABC):
    """Decides which upstreams of a shard may get new work."""

    @abstractmethod
    def usable(self, candidates: Sequence[Upstream], now: float) -> list[Upstream]:
        """Return the candidates that may get new work."""

    @abstractmethod
    def start_drain(self, upstream: Upstream) -> None:
        """Handle an upstream that has begun to report that it drains."""

    @abstractmethod
    async def follow(self, store: Store, catalogue: Catalogue, rng: random.Random) -> None:
        """Follow what the platform says of the upstreams; runs until cancelled.

        :param rng: source of the jitter between failed attempts.
        """


class NoDraining(Draining):
    """Sends work to draining upstreams too; the baseline."""

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
    """Avoids upstreams with a drain signal while another replica of the shard can take the work.

    The signals are the upstream's own report, the platform's list of draining upstreams, and a
    newer shard map without the upstream. Reports and the list may be wrong: they are ignored for
    a shard whose replicas all have such a signal, and altogether if most upstreams have one. A
    refusal of work and a newer shard map are always obeyed.
    """

    def __init__(self) -> None:
        self._known: dict[str, Upstream] = {}
        self._reported: set[str] = set()
        self._listed: frozenset[str] = frozenset()
        self._catalogue: Catalogue | None = None
        self._map: ShardMap | None = None
        self._mapped: frozenset[str] = frozenset()
        self._mapped_since = 0.0

    def usable(self, candidates: Sequence[Upstream], now: float) -> list[Upstream]:
        """Return the candidates without a signal, or else those whose signal may be wrong."""
        self._update_reports(candidates)
        self._update_map(now)
        allowed = [upstream for upstream in candidates if not self._excluded(upstream, now)]
        if self._signals_implausible:
            return allowed
        unsignalled = [upstream for upstream in allowed if not self._signalled(upstream.address)]
        return unsignalled or allowed

    def start_drain(self, upstream: Upstream) -> None:
        """Fail its queued jobs so that they move, and probe for the end of its process."""
        self._update_reports((upstream,))
        if not self._signals_implausible:
            upstream.fail_queued(DRAINING._replace(peer=upstream.address))
            upstream.probe_while_draining()

    def apply_status(self, status: UpstreamStatus) -> None:
        """Put the platform's list in force."""
        new = frozenset(status.draining) - self._listed
        self._listed = frozenset(status.draining)
        for address in new & self._known.keys():
            self.start_drain(self._known[address])

    async def follow(self, store: Store, catalogue: Catalogue, rng: random.Random) -> None:
        """Follow the platform's list of draining upstreams and the shard map."""
        self._catalogue = catalogue
        await follow(store, UPSTREAM_STATUS, self.apply_status, rng)

    @property
    def _signals_implausible(self) -> bool:
        signalled = len(self._reported | (self._listed & self._known.keys()))
        return len(self._known) >= MIN_KNOWN_UPSTREAMS and signalled > MAX_SIGNALLED_SHARE * len(
            self._known
        )

    def _signalled(self, address: str) -> bool:
        return address in self._reported or address in self._listed

    def _excluded(self, upstream: Upstream, now: float) -> bool:
        refused_at = upstream.draining_refusal_at
        if refused_at is not None and now - refused_at < REFUSAL_SECONDS:
            return True
        removed = bool(self._mapped) and upstream.address not in self._mapped
        return removed and now - self._mapped_since > REMOVAL_GRACE_SECONDS

    def _update_reports(self, upstreams: Sequence[Upstream]) -> None:
        for upstream in upstreams:
            self._known[upstream.address] = upstream
            if upstream.condition is UpstreamCondition.DRAINING:
                self._reported.add(upstream.address)
            else:
                self._reported.discard(upstream.address)

    def _update_map(self, now: float) -> None:
        newest = self._catalogue.current if self._catalogue else None
        if newest is None or newest is self._map:
            return
        self._map = newest
        self._mapped_since = now
        self._mapped = frozenset(
            replica.address for shard in newest.shards.values() for replica in shard.replicas
        )
        self._known = {
            address: upstream
            for address, upstream in self._known.items()
            if address in self._mapped
        }
        self._reported &= self._mapped
