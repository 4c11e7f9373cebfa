"""Open-loop load on one VM over fakes, for tests and measurements.

``python -m auburncart.coordination.tests.trial CASE`` prints the figures of a case for each set of
policies; the seeds are fixed.
"""

import asyncio
import random
import sys
from collections.abc import Callable
from typing import NamedTuple

import async_solipsism

from auburncart.coordination.crash_quarantine import CrashQuarantine
from auburncart.coordination.drain import SignalDraining
from auburncart.coordination.hedge import AdaptiveHedging
from auburncart.coordination.in_flight import AdaptiveInFlight
from auburncart.coordination.policies import Policies, baseline_policies
from auburncart.coordination.redial import BackoffRedialing
from auburncart.coordination.retry import BudgetedRetrying
from auburncart.state.search import SearchRequest
from auburncart.state.upstream import UpstreamCondition
from auburncart.tests.site import Site

SHARDS = 21


class TrialResult(NamedTuple):
    """Results of a trial; times in milliseconds."""

    p50: float
    p99: float
    p999: float
    complete: float
    extra: float
    dials: int

    def __str__(self) -> str:
        return (
            f"p50 {self.p50:6.1f}  p99 {self.p99:6.1f}  p99.9 {self.p999:6.1f}  "
            f"complete {self.complete:6.1%}  extra {self.extra:6.1%}  dials {self.dials}"
        )


class LoadTrial:
    """Sends searches over all shards at random times.

    :param policies: the policies under test.
    :param rate: searches per second.
    :param seconds: duration of the measurement, after a second of warm-up.
    """

    def __init__(self, policies: Policies, rate: float = 60.0, seconds: float = 10.0) -> None:
        self.site = Site(shards=SHARDS, policies=policies)
        self.rate = rate
        self.seconds = seconds
        self.dials = 0
        self._random = random.Random(7)
        connect = self.site.dialer.connect

        async def counted(replica):  # type: ignore[no-untyped-def]
            self.dials += 1
            return await connect(replica)

        self.site.dialer.connect = counted  # type: ignore[method-assign]

    @property
    def sent(self) -> int:
        """Sub-queries that reached upstreams."""
        return sum(model.sub_queries for model in self.site.models.values())

    async def run(self, fault: Callable[[Site], None]) -> TrialResult:
        """Warm up, inject a fault, and measure."""
        await self._load(1.0)
        fault(self.site)
        before, dials = self.sent, self.dials
        outcomes = await self._load(self.seconds)
        extra = (self.sent - before) / (len(outcomes) * SHARDS) - 1.0
        await self.site.close()
        times = sorted(1000 * elapsed for elapsed, _ in outcomes)
        complete = sum(is_complete for _, is_complete in outcomes) / len(outcomes)
        percentiles = [times[int(share * (len(times) - 1))] for share in (0.5, 0.99, 0.999)]
        return TrialResult(
            percentiles[0], percentiles[1], percentiles[2], complete, extra, self.dials - dials
        )

    async def _load(self, seconds: float) -> list[tuple[float, bool]]:
        tasks = []
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._random.expovariate(self.rate))
            tasks.append(asyncio.create_task(self._search(len(tasks))))
        return [await task for task in tasks]

    async def _search(self, number: int) -> tuple[float, bool]:
        start = asyncio.get_running_loop().time()
        request = SearchRequest(f"r{number}", "ladera", "closure", f"net {number}", start + 1.0)
        answer = (await self.site.searches.search(request)).ok
        return asyncio.get_running_loop().time() - start, answer.coverage.complete


def baseline() -> Policies:
    return baseline_policies(max_concurrent=500, vms=3)


def hedging() -> Policies:
    return baseline()._replace(hedging=AdaptiveHedging())


def retrying() -> Policies:
    return baseline()._replace(
        retrying=BudgetedRetrying(seed=1), redialing=BackoffRedialing(seed=1)
    )


def hedging_and_retrying() -> Policies:
    return retrying()._replace(hedging=AdaptiveHedging())


def tested_by_canary() -> Policies:
    """Each query of a trial is new, so each is sent to one shard as a canary first."""
    return hedging_and_retrying()._replace(quarantine=CrashQuarantine(seed=1))


def all_adaptive() -> Policies:
    return tested_by_canary()._replace(in_flight_limit=AdaptiveInFlight, draining=SignalDraining())


POLICIES = {
    "baseline": baseline,
    "hedges": hedging,
    "retries": retrying,
    "both": hedging_and_retrying,
    "tested": tested_by_canary,
    "whole": all_adaptive,
}


def _calm(site: Site) -> None:
    pass


def _straggler(site: Site) -> None:
    site.models["10.0.3.1:80"].set_slow(10.0)


def _frozen(site: Site) -> None:
    site.models["10.0.3.1:80"].set_slow(100_000.0)


def _all_slow(site: Site) -> None:
    for model in site.models.values():
        model.set_slow(5.0)


def _two_slow(site: Site) -> None:
    for address in ("10.0.3.1:80", "10.0.9.0:80"):
        site.models[address].set_slow(10.0)


def _one_killed(site: Site) -> None:
    site.models["10.0.3.1:80"].kill()


def _shard_down(site: Site) -> None:
    for copy in range(2):
        site.models[f"10.0.3.{copy}:80"].kill()


def _shard_shedding(site: Site) -> None:
    for copy in range(2):
        site.models[f"10.0.3.{copy}:80"].set_condition(UpstreamCondition.SHEDDING)


CASES: dict[str, Callable[[Site], None]] = {
    "calm": _calm,
    "straggler": _straggler,
    "two_slow": _two_slow,
    "frozen": _frozen,
    "all_slow": _all_slow,
    "lost": _one_killed,
    "down": _shard_down,
    "shedding": _shard_shedding,
}


def measure(case: str, policies: str, seconds: float = 10.0) -> TrialResult:
    """Run one case in virtual time."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(_measure(case, policies, seconds))


async def _measure(case: str, policies: str, seconds: float) -> TrialResult:
    return await LoadTrial(POLICIES[policies](), seconds=seconds).run(CASES[case])


if __name__ == "__main__":
    for case in sys.argv[1:] or CASES:
        for name in POLICIES:
            sys.stdout.write(f"{case:10} {name:9} {measure(case, name)}\n")
