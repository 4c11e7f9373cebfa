"""Runs one case of a deployment on virtual time."""

import asyncio
import random
import warnings
from collections.abc import Iterator
from typing import Any, NamedTuple

from auburncart.bench.cases import POISON, Case, find_case
from auburncart.bench.measure import (
    CountingObserver,
    Outcome,
    Recorder,
    RunFigures,
    tier_figures,
)
from auburncart.bench.site import Kind, SiteFile
from auburncart.bench.tier import EntryVm, Tier
from auburncart.exception import InputError
from auburncart.state.search import SearchRequest
from auburncart.state.work import Rank

__all__ = ["Run", "RunResult", "loop_factory", "run_case"]

WARM_UP_SECONDS = 1.0
POISON_INTERVAL_SECONDS = 0.25


class Stream(NamedTuple):
    """Arrivals of one kind.

    :param rate: searches per second.
    :param after: seconds from the run's beginning to the first.
    """

    kind: Kind
    rate: float
    after: float


class RunResult(NamedTuple):
    """Figures of a run and the outcome of each search in the measured time."""

    figures: RunFigures
    outcomes: list[Outcome]


class Run:
    """One run; :meth:`measure` is called once, on a loop with a virtual clock.

    :param seconds: length of the measured time, after the warm-up.
    """

    def __init__(
        self, site: SiteFile, case: Case, policies: str, seed: int, seconds: float
    ) -> None:
        self._site = site
        self._case = case
        self._policies = policies
        self._seed = seed
        self._seconds = seconds
        self._observer = CountingObserver()
        self._tier = Tier(site, policies, seed, self._observer)
        self._recorder = Recorder(self._tier.shard_map.snapshot)
        self._numbers = 0
        self._admitted = 0
        self._begin = 0.0

    async def measure(self) -> RunResult:
        """Let searches arrive, cause the faults, and wait for every search to end."""
        self._begin = asyncio.get_running_loop().time() + WARM_UP_SECONDS
        async with asyncio.TaskGroup() as tasks:
            for number, stream in enumerate(self._streams()):
                rng = random.Random(f"{self._seed} {number}")
                tasks.create_task(self._arrive(stream, rng, tasks))
            tasks.create_task(self._poison(random.Random(f"{self._seed} poison"), tasks))
            await asyncio.sleep(WARM_UP_SECONDS)
            rng = random.Random(f"{self._seed} {self._case.name}")
            await self._case.run(self._tier, rng, self._seconds)
        await self._tier.close()
        return RunResult(self._figures(), self._recorder.outcomes)

    def _streams(self) -> Iterator[Stream]:
        calm = self._site.capacity * self._site.load
        for kind in self._site.kinds:
            yield Stream(kind, calm * kind.share, 0.0)
        for flood in self._case.floods:
            kinds = [kind for kind in self._site.kinds if _rank(kind) is flood.rank]
            for kind in kinds:
                rate = self._site.capacity * flood.times / len(kinds)
                yield Stream(kind, rate, WARM_UP_SECONDS)

    async def _arrive(self, stream: Stream, rng: random.Random, tasks: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        end = self._begin + self._seconds
        at = loop.time() + stream.after + rng.expovariate(stream.rate)
        while at < end:
            await asyncio.sleep(at - loop.time())
            tasks.create_task(self._call(stream.kind, rng, "net"))
            at += rng.expovariate(stream.rate)

    async def _poison(self, rng: random.Random, tasks: asyncio.TaskGroup) -> None:
        kinds = [kind for kind in self._site.kinds if _rank(kind) is Rank.NORMAL]
        await asyncio.sleep(WARM_UP_SECONDS)
        for _ in range(self._case.poison_count):
            tasks.create_task(self._call(kinds[0], rng, POISON))
            await asyncio.sleep(POISON_INTERVAL_SECONDS)

    async def _call(self, kind: Kind, rng: random.Random, query: str) -> None:
        loop = asyncio.get_running_loop()
        vm = self._balance(rng)
        customer = rng.choices(list(kind.customers), list(kind.customers.values()))[0]
        self._numbers += 1
        arrival = loop.time()
        await asyncio.sleep(self._site.latency.client_seconds)
        request = SearchRequest(
            f"r{self._numbers}", customer, kind.kind, query, loop.time() + kind.seconds
        )
        result = await vm.node.searches.search(request)
        lateness = loop.time() - request.deadline
        await asyncio.sleep(self._site.latency.client_seconds)
        answer = result.ok if result.is_ok() else None
        self._admitted += answer is not None
        if arrival >= self._begin and query != POISON:
            self._recorder.add(
                Outcome(
                    _rank(kind),
                    arrival - self._begin,
                    loop.time() - arrival,
                    lateness,
                    answer,
                    self._tier.shards,
                )
            )

    def _balance(self, rng: random.Random) -> EntryVm:
        return rng.choice(self._tier.vms)

    def _figures(self) -> RunFigures:
        seen = tier_figures(self._tier, self._observer, self._admitted)
        return RunFigures(
            site=self._site.name,
            case=self._case.name,
            policies=self._policies,
            seed=self._seed,
            seconds=self._seconds,
            ranks=self._recorder.ranks(),
            sent=dict(sorted(self._observer.sent.items())),
            false_complete=self._recorder.false_complete,
            events=dict(sorted(self._observer.events.items())),
            **seen,
        )


def run_case(site: SiteFile, case: str, policies: str, seed: int, seconds: float) -> RunResult:
    """Run one case on a loop of its own, whose clock is virtual.

    :param case: name of the case, see :func:`~auburncart.bench.cases.find_case`.
    :param policies: name of the set of policies.
    :param seconds: length of the measured time, in virtual seconds.
    :raises InputError: a name is not known, or the virtual clock is not installed.
    """
    found = find_case(case)
    factory = loop_factory()
    with warnings.catch_warnings(), asyncio.Runner(loop_factory=factory) as runner:
        warnings.simplefilter("ignore")
        return runner.run(_measure(site, found, policies, seed, seconds))


async def _measure(
    site: SiteFile, case: Case, policies: str, seed: int, seconds: float
) -> RunResult:
    return await Run(site, case, policies, seed, seconds).measure()


def loop_factory() -> Any:
    """Return the class of loops whose clock is virtual.

    :raises InputError: it is not installed.
    """
    try:
        import async_solipsism
    except ImportError as error:
        raise InputError(
            "the bench needs the package async-solipsism (optional dependencies 'test')",
            step="bench",
        ) from error
    return async_solipsism.EventLoop


def _rank(kind: Kind) -> Rank:
    return Rank[kind.rank.upper()]
