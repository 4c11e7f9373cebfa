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


class ArrivalStream(NamedTuple):
    """Arrivals of one kind.

    :param rate: searches per second.
    :param start_delay: seconds from the start of the run to the start of the arrivals.
    """

    kind: Kind
    rate: float
    start_delay: float


class RunResult(NamedTuple):
    """Figures of a run and the outcome of each search in the measured time."""

    figures: RunFigures
    outcomes: list[Outcome]


class Run:
    """A run of one case; :meth:`measure` is called once, on a loop with a virtual clock.

    :param seconds: length of the measured time, which follows the warm-up.
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
        self._request_count = 0
        self._admitted = 0
        self._measure_start = 0.0

    async def measure(self) -> RunResult:
        """Send searches, cause the faults, and return the result when every search has ended."""
        self._measure_start = asyncio.get_running_loop().time() + WARM_UP_SECONDS
        async with asyncio.TaskGroup() as tasks:
            for number, stream in enumerate(self._streams()):
                rng = random.Random(f"{self._seed} {number}")
                tasks.create_task(self._send_stream(stream, rng, tasks))
            tasks.create_task(self._send_poison(random.Random(f"{self._seed} poison"), tasks))
            await asyncio.sleep(WARM_UP_SECONDS)
            rng = random.Random(f"{self._seed} {self._case.name}")
            await self._case.run(self._tier, rng, self._seconds)
        await self._tier.close()
        return RunResult(self._figures(), self._recorder.outcomes)

    def _streams(self) -> Iterator[ArrivalStream]:
        calm = self._site.capacity * self._site.load
        for kind in self._site.kinds:
            yield ArrivalStream(kind, calm * kind.share, 0.0)
        for flood in self._case.floods:
            kinds = [kind for kind in self._site.kinds if _rank(kind) is flood.rank]
            for kind in kinds:
                rate = self._site.capacity * flood.capacity_multiple / len(kinds)
                yield ArrivalStream(kind, rate, WARM_UP_SECONDS)

    async def _send_stream(
        self, stream: ArrivalStream, rng: random.Random, tasks: asyncio.TaskGroup
    ) -> None:
        loop = asyncio.get_running_loop()
        end = self._measure_start + self._seconds
        arrival = loop.time() + stream.start_delay + rng.expovariate(stream.rate)
        while arrival < end:
            await asyncio.sleep(arrival - loop.time())
            tasks.create_task(self._search(stream.kind, rng, "net"))
            arrival += rng.expovariate(stream.rate)

    async def _send_poison(self, rng: random.Random, tasks: asyncio.TaskGroup) -> None:
        kinds = [kind for kind in self._site.kinds if _rank(kind) is Rank.NORMAL]
        await asyncio.sleep(WARM_UP_SECONDS)
        for _ in range(self._case.poison_count):
            tasks.create_task(self._search(kinds[0], rng, POISON))
            await asyncio.sleep(POISON_INTERVAL_SECONDS)

    async def _search(self, kind: Kind, rng: random.Random, query: str) -> None:
        loop = asyncio.get_running_loop()
        vm = self._choose_vm(rng)
        customer = rng.choices(list(kind.customers), list(kind.customers.values()))[0]
        self._request_count += 1
        arrival = loop.time()
        await asyncio.sleep(self._site.latency.client_seconds)
        request = SearchRequest(
            f"r{self._request_count}", customer, kind.kind, query, loop.time() + kind.seconds
        )
        result = await vm.node.searches.search(request)
        lateness = loop.time() - request.deadline
        await asyncio.sleep(self._site.latency.client_seconds)
        answer = result.ok if result.is_ok() else None
        self._admitted += answer is not None
        if arrival >= self._measure_start and query != POISON:
            self._recorder.add(
                Outcome(
                    _rank(kind),
                    arrival - self._measure_start,
                    loop.time() - arrival,
                    lateness,
                    answer,
                    self._tier.shards,
                )
            )

    def _choose_vm(self, rng: random.Random) -> EntryVm:
        return rng.choice(self._tier.vms)

    def _figures(self) -> RunFigures:
        upstream_load = tier_figures(self._tier, self._observer, self._admitted)
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
            **upstream_load,
        )


def run_case(site: SiteFile, case: str, policies: str, seed: int, seconds: float) -> RunResult:
    """Run one case on a new loop with a virtual clock and return its result.

    :param case: name of the case, see :func:`~auburncart.bench.cases.find_case`.
    :param policies: name of the set of policies.
    :param seconds: length of the measured time, in virtual seconds.
    :raises InputError: a name is unknown, or the virtual clock is not installed.
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
    """Return the event loop class with a virtual clock.

    :raises InputError: its package is not installed.
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
