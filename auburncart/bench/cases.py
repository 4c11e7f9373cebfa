"""Cases that a run applies to a tier: extra arrivals and faults."""

import asyncio
import random
from abc import ABC, abstractmethod
from typing import NamedTuple

from auburncart.bench.tier import Tier
from auburncart.exception import InputError
from auburncart.standins.upstream import UpstreamModel
from auburncart.state.upstream import UpstreamCondition
from auburncart.state.work import Rank

__all__ = ["CASES", "POISON", "Case", "Flood", "find_case"]

POISON = "poison"
SLOW_FACTOR = 10.0
SLOW_REPLICA_SHARE = 0.05
COLD_FACTOR = 4.0
DRAIN_SECONDS = 3.0
DOWN_SECONDS = 1.0
COLD_SECONDS = 2.0
CRASH_RESTART_SECONDS = 2.0
POISON_SENDS = 12
POISON_INTERVAL_SECONDS = 0.25
AFFECTED_SHARDS = 5


class Flood(NamedTuple):
    """Arrivals of one rank at a multiple of the total capacity, added to the calm load."""

    rank: Rank
    capacity_multiple: float


class Case(ABC):
    """A case; :meth:`run` starts together with the measured time.

    :param name: name on the command line.
    """

    def __init__(self, name: str) -> None:
        self.name = name

    @property
    def floods(self) -> tuple[Flood, ...]:
        """Extra arrivals during the measured time."""
        return ()

    @property
    def poison_count(self) -> int:
        """Number of times that the query that crashes upstreams is sent."""
        return 0

    @abstractmethod
    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Cause the faults of this case one after the other.

        :param seconds: length of the measured time.
        """


class Calm(Case):
    """No fault."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Do nothing."""


class FloodCase(Calm):
    """Extra arrivals without faults."""

    def __init__(self, name: str, *floods: Flood) -> None:
        super().__init__(name)
        self._floods = floods

    @property
    def floods(self) -> tuple[Flood, ...]:
        """Extra arrivals during the measured time."""
        return self._floods


class Straggler(Case):
    """One replica of one shard is slow."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Slow down one replica."""
        tier.replicas(rng.choice(tier.shards))[0].set_slowdown(SLOW_FACTOR)


class SlowReplicas(Case):
    """One in twenty replicas is slow."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Slow down a random sample of the replicas."""
        count = max(1, round(len(tier.models) * SLOW_REPLICA_SHARE))
        for address in rng.sample(sorted(tier.models), count):
            tier.models[address].set_slowdown(SLOW_FACTOR)


class ReplicaLost(Case):
    """One replica of one shard fails."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Kill the replica."""
        tier.replicas(rng.choice(tier.shards))[0].kill()


class ServiceDown(Case):
    """Every replica of one shard fails."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Kill the replicas."""
        for model in tier.replicas(rng.choice(tier.shards)):
            model.kill()


class Shedding(Case):
    """One replica of each of several shards sheds every request."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Set the condition of these replicas."""
        for shard in rng.sample(tier.shards, AFFECTED_SHARDS):
            tier.replicas(shard)[0].set_condition(UpstreamCondition.SHEDDING)


class DrainAndColdStart(Case):
    """One replica of each of several shards drains, stops, restarts cold and warms up."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Take these replicas through the steps at the same time."""
        shards = rng.sample(tier.shards, AFFECTED_SHARDS)
        models = [tier.replicas(shard)[0] for shard in shards]
        for model in models:
            model.set_condition(UpstreamCondition.DRAINING)
        await asyncio.sleep(DRAIN_SECONDS)
        for model in models:
            model.kill()
        await asyncio.sleep(DOWN_SECONDS)
        for model in models:
            _restart_cold(model)
        await asyncio.sleep(COLD_SECONDS)
        for model in models:
            _end_warm_up(model)


class MisleadingReport(Case):
    """All healthy upstreams report that they drain; one slow upstream reports that it is ready."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Set the reported conditions and slow down one replica."""
        for model in tier.models.values():
            model.set_reported_condition(UpstreamCondition.DRAINING)
        slow = tier.replicas(rng.choice(tier.shards))[0]
        slow.set_reported_condition(UpstreamCondition.READY)
        slow.set_slowdown(SLOW_FACTOR)


class PoisonQuery(Case):
    """A query that crashes every upstream that runs it is sent repeatedly."""

    @property
    def poison_count(self) -> int:
        """Number of times that the query is sent."""
        return POISON_SENDS

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Make every upstream crash on the query, and restart crashed upstreams."""
        for model in tier.models.values():
            model.set_crash_text(POISON)
        async with asyncio.TaskGroup() as tasks:
            for model in tier.models.values():
                tasks.create_task(self._restart_crashed(model, seconds))

    async def _restart_crashed(self, model: UpstreamModel, seconds: float) -> None:
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(CRASH_RESTART_SECONDS)
            if not model.alive:
                model.restart()


class DataCentreCut(Case):
    """One data centre is cut off from the others for half of the measured time."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Cut off the data centre and reconnect it."""
        tier.cut(tier.site.data_centres[0].name)
        await asyncio.sleep(seconds / 2)
        tier.heal()


class CombinedCase(Case):
    """Several cases at the same time."""

    def __init__(self, *cases: Case) -> None:
        super().__init__("+".join(case.name for case in cases))
        self._cases = cases

    @property
    def floods(self) -> tuple[Flood, ...]:
        """Extra arrivals of all cases."""
        return tuple(flood for case in self._cases for flood in case.floods)

    @property
    def poison_count(self) -> int:
        """Number of times that the query that crashes upstreams is sent."""
        return sum(case.poison_count for case in self._cases)

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Run all cases concurrently."""
        async with asyncio.TaskGroup() as tasks:
            for case in self._cases:
                tasks.create_task(case.run(tier, rng, seconds))


def _restart_cold(model: UpstreamModel) -> None:
    model.restart()
    model.set_condition(UpstreamCondition.COLD)
    model.set_slowdown(COLD_FACTOR)


def _end_warm_up(model: UpstreamModel) -> None:
    model.set_condition(UpstreamCondition.READY)
    model.set_slowdown(1.0)


_BACKGROUND_FLOOD = Flood(Rank.BACKGROUND, 10.0)
_URGENT_FLOOD = Flood(Rank.URGENT, 3.0)

CASES: dict[str, Case] = {
    case.name: case
    for case in (
        Calm("calm"),
        Straggler("straggler"),
        SlowReplicas("slow-replicas"),
        ReplicaLost("replica-lost"),
        ServiceDown("service-down"),
        Shedding("shedding"),
        DrainAndColdStart("drain"),
        FloodCase("flood-least", _BACKGROUND_FLOOD),
        FloodCase("flood-most", _URGENT_FLOOD),
        FloodCase("flood-both", _BACKGROUND_FLOOD, _URGENT_FLOOD),
        MisleadingReport("misleading"),
        PoisonQuery("poison"),
        DataCentreCut("cut"),
        CombinedCase(ReplicaLost("replica-lost"), FloodCase("flood-least", _BACKGROUND_FLOOD)),
        CombinedCase(DataCentreCut("cut"), Straggler("straggler")),
    )
}


def find_case(name: str) -> Case:
    """Return a case by its name; ``"A+B"`` combines two or more cases.

    :raises InputError: there is no such case.

    >>> find_case("straggler+flood-most").floods[0].capacity_multiple
    3.0
    """
    if name in CASES:
        return CASES[name]
    parts = name.split("+")
    unknown = [part for part in parts if part not in CASES]
    if unknown:
        known = ", ".join(CASES)
        raise InputError(f"no case {unknown[0]!r}; known: {known}", step="bench")
    return CombinedCase(*(CASES[part] for part in parts))
