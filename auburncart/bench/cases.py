"""Cases that a run puts a tier through: extra arrivals and faults."""

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
SLOW_SHARE = 0.05
COLD_FACTOR = 4.0
DRAIN_SECONDS = 3.0
AWAY_SECONDS = 1.0
COLD_SECONDS = 2.0
CRASH_RESTART_SECONDS = 2.0
POISON_RESENDS = 12
POISON_INTERVAL_SECONDS = 0.25
SHEDDING_SHARDS = 5


class Flood(NamedTuple):
    """Arrivals of one rank at a multiple of the whole capacity, added to the calm load."""

    rank: Rank
    times: float


class Case(ABC):
    """One case; :meth:`run` starts when the measured time starts.

    :param name: name on the command line.
    """

    def __init__(self, name: str) -> None:
        self.name = name

    @property
    def floods(self) -> tuple[Flood, ...]:
        """Extra arrivals during the measured time."""
        return ()

    @property
    def poisons(self) -> int:
        """Number of times that a query that crashes upstreams is sent."""
        return 0

    @abstractmethod
    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Cause the faults of this case, straight down.

        :param seconds: length of the measured time.
        """


class Calm(Case):
    """No fault."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Do nothing."""


class Floods(Calm):
    """Extra arrivals and no fault."""

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
        """Slow one replica down."""
        tier.replicas(rng.choice(tier.shards))[0].set_slowdown(SLOW_FACTOR)


class SlowReplicas(Case):
    """One in twenty replicas is slow."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Slow them down."""
        count = max(1, round(len(tier.models) * SLOW_SHARE))
        for address in rng.sample(sorted(tier.models), count):
            tier.models[address].set_slowdown(SLOW_FACTOR)


class ReplicaLost(Case):
    """One replica of one shard goes down."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Kill it."""
        tier.replicas(rng.choice(tier.shards))[0].kill()


class ServiceDown(Case):
    """Every replica of one shard goes down."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Kill them."""
        for model in tier.replicas(rng.choice(tier.shards)):
            model.kill()


class Shedding(Case):
    """One replica of some shards turns every request away."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Make them shed."""
        for shard in rng.sample(tier.shards, SHEDDING_SHARDS):
            tier.replicas(shard)[0].set_condition(UpstreamCondition.SHEDDING)


class DrainAndColdStart(Case):
    """One replica of some shards drains, goes, comes back cold and warms up."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Take them through it together."""
        shards = rng.sample(tier.shards, SHEDDING_SHARDS)
        models = [tier.replicas(shard)[0] for shard in shards]
        for model in models:
            model.set_condition(UpstreamCondition.DRAINING)
        await asyncio.sleep(DRAIN_SECONDS)
        for model in models:
            model.kill()
        await asyncio.sleep(AWAY_SECONDS)
        for model in models:
            _start_cold(model)
        await asyncio.sleep(COLD_SECONDS)
        for model in models:
            _warm(model)


class MisleadingReport(Case):
    """Every upstream reports that it drains though all are well but one, which says it is ready."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Set the reports, and slow one replica down."""
        for model in tier.models.values():
            model.set_reported_condition(UpstreamCondition.DRAINING)
        slow = tier.replicas(rng.choice(tier.shards))[0]
        slow.set_reported_condition(UpstreamCondition.READY)
        slow.set_slowdown(SLOW_FACTOR)


class PoisonQuery(Case):
    """A query that crashes each upstream that runs it is sent again and again."""

    @property
    def poisons(self) -> int:
        """Number of times that it is sent."""
        return POISON_RESENDS

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Make every upstream crash on it, and bring those back that did."""
        for model in tier.models.values():
            model.set_crash_text(POISON)
        async with asyncio.TaskGroup() as tasks:
            for model in tier.models.values():
                tasks.create_task(self._bring_back(model, seconds))

    async def _bring_back(self, model: UpstreamModel, seconds: float) -> None:
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(CRASH_RESTART_SECONDS)
            if not model.alive:
                model.restart()


class DataCentreCut(Case):
    """One data centre is cut off from the others for half of the measured time."""

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Cut it off, and end the cut."""
        tier.cut(tier.site.data_centres[0].name)
        await asyncio.sleep(seconds / 2)
        tier.heal()


class Together(Case):
    """Several cases at once."""

    def __init__(self, *cases: Case) -> None:
        super().__init__("+".join(case.name for case in cases))
        self._cases = cases

    @property
    def floods(self) -> tuple[Flood, ...]:
        """Extra arrivals of all cases."""
        return tuple(flood for case in self._cases for flood in case.floods)

    @property
    def poisons(self) -> int:
        """Number of times that a query that crashes upstreams is sent."""
        return sum(case.poisons for case in self._cases)

    async def run(self, tier: Tier, rng: random.Random, seconds: float) -> None:
        """Run all cases at the same time."""
        async with asyncio.TaskGroup() as tasks:
            for case in self._cases:
                tasks.create_task(case.run(tier, rng, seconds))


def _start_cold(model: UpstreamModel) -> None:
    model.restart()
    model.set_condition(UpstreamCondition.COLD)
    model.set_slowdown(COLD_FACTOR)


def _warm(model: UpstreamModel) -> None:
    model.set_condition(UpstreamCondition.READY)
    model.set_slowdown(1.0)


_LEAST = Flood(Rank.BACKGROUND, 10.0)
_MOST = Flood(Rank.URGENT, 3.0)

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
        Floods("flood-least", _LEAST),
        Floods("flood-most", _MOST),
        Floods("flood-both", _LEAST, _MOST),
        MisleadingReport("misleading"),
        PoisonQuery("poison"),
        DataCentreCut("cut"),
        Together(ReplicaLost("replica-lost"), Floods("flood-least", _LEAST)),
        Together(DataCentreCut("cut"), Straggler("straggler")),
    )
}


def find_case(name: str) -> Case:
    """Return a case by its name; ``"A+B"`` puts two or more together.

    :raises InputError: there is no such case.

    >>> find_case("straggler+flood-most").floods[0].times
    3.0
    """
    if name in CASES:
        return CASES[name]
    parts = name.split("+")
    unknown = [part for part in parts if part not in CASES]
    if unknown:
        known = ", ".join(CASES)
        raise InputError(f"no case {unknown[0]!r}; known: {known}", step="bench")
    return Together(*(CASES[part] for part in parts))
