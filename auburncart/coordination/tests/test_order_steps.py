"""Orders take effect at most once: one or two faults at every step of an order and its repeats."""

import asyncio
import itertools
import random
import unittest
from typing import NamedTuple

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.claims import Claims, StoredClaims
from auburncart.coordination.holder import ClaimHolder
from auburncart.coordination.idempotency import locate_bucket
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.order import OrderService
from auburncart.coordination.owner import OwnedClaims, owner_of
from auburncart.coordination.policies import baseline_policies
from auburncart.coordination.table import CurrentTable
from auburncart.coordination.upstream import Upstream
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.standins.fakes import FakeDialer, FakeMembership, FakeNetwork, FakeStore
from auburncart.standins.platform import PlatformModel
from auburncart.standins.site import DEMO_TABLE, make_shard_map
from auburncart.standins.upstream import UpstreamModel, UpstreamProfile
from auburncart.state.failure import Ran
from auburncart.state.member import Member
from auburncart.state.order import OrderRequest
from auburncart.tests.fault_injection import (
    Fault,
    FaultInjectingBus,
    FaultInjectingDialer,
    FaultInjectingStore,
    FaultInjector,
)
from auburncart.tests.virtual import virtual_time

KEY = "00000000-03e8-7000-8000-000000000001"
SHARD = "shard-01"
DEADLINE_SECONDS = 1.0
CALLER_TIMEOUT_SECONDS = 3.0
RECOVERY_SECONDS = 60.0
ATTEMPT_VMS = ("vm1", "vm2", "vm1", "vm3")
DATA_CENTRES = ("dc1", "dc2")
MEMBERS = tuple(Member(f"vm{number}", DATA_CENTRES[number // 3], 1) for number in range(1, 5))


class Answer(NamedTuple):
    """What a caller was told, and the number of effects at that time."""

    request_id: str
    ran: Ran | None
    effects: int


class Environment:
    """Several VMs over one platform and one upstream."""

    def __init__(self, plan: dict[int, Fault], *, owned: bool = False) -> None:
        self.network = FakeNetwork() if owned else None
        self.injector = FaultInjector(plan)
        self.platform = PlatformModel()
        profile = UpstreamProfile("10.0.0.1:80", "s1", {SHARD: ()})
        self.upstream = UpstreamModel(profile)
        self.shard_map = make_shard_map([profile], ["dc1"], 1)
        self.services: dict[str, OrderService] = {}
        self.closeables: list[UpstreamRegistry | StoredClaims] = []
        self.answers: list[Answer] = []
        if owned:
            for member in MEMBERS:
                self.service(member.address)

    @property
    def effects(self) -> int:
        return len(self.upstream.effects)

    def service(self, vm: str) -> OrderService:
        if vm not in self.services:
            self.services[vm] = self._make(vm)
        return self.services[vm]

    async def send(
        self, vm: str, number: int, key: str = KEY, body: str = "fix", *, repeat: bool
    ) -> Answer:
        """Send one attempt and record its answer, with ``ran`` None if there was none."""
        deadline = asyncio.get_running_loop().time() + DEADLINE_SECONDS
        request = OrderRequest(
            f"r{number}", key, "ladera", "closure", SHARD, body, deadline, repeat
        )
        ran = None
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                result = await self.service(vm).order(request)
            if not self.injector.is_killed(vm):
                ran = result.error.ran if result.is_error() else result.ok.ran
        except TimeoutError:
            pass
        answer = Answer(request.request_id, ran, self._effects_of(key))
        self.answers.append(answer)
        return answer

    async def close(self) -> None:
        for task in self.injector.tasks:
            task.cancel()
        await asyncio.gather(*self.injector.tasks, return_exceptions=True)
        for service in self.services.values():
            await service.close(0.0)
        for closeable in self.closeables:
            await closeable.close()

    def _effects_of(self, key: str) -> int:
        return sum(effect.key == key for effect in self.upstream.effects)

    def _make(self, vm: str) -> OrderService:
        policies = baseline_policies(max_concurrent=8, vms=3)
        observer = NullObserver()
        dialer = FaultInjectingDialer(vm, FakeDialer({"10.0.0.1:80": self.upstream}), self.injector)
        upstreams = UpstreamRegistry(
            lambda replica: Upstream(
                replica,
                local=True,
                name=vm,
                dialer=dialer,
                batching=policies.batching,
                connection_limit=policies.connection_limit,
                quarantine=policies.quarantine,
                observer=observer,
            )
        )
        catalogue, tables = Catalogue(), CurrentTable()
        catalogue.install(self.shard_map)
        tables.install(DEMO_TABLE)
        claims = StoredClaims(
            FaultInjectingStore(vm, FakeStore(self.platform), self.injector), random.Random(vm)
        )
        self.closeables += [upstreams, claims]
        holder = ClaimHolder(vm, self._make_claims(vm, claims), observer, random.Random(vm))
        return OrderService(
            holder, catalogue, tables, upstreams, policies.admission, policies.choice, observer, 0.0
        )

    def _make_claims(self, vm: str, direct: StoredClaims) -> Claims:
        if self.network is None:
            return direct
        own = next(member for member in MEMBERS if member.address == vm.rstrip("+"))
        bus = FaultInjectingBus(vm, own, self.network, self.injector)
        return OwnedClaims(direct, FakeMembership(own, MEMBERS), bus, lambda: DATA_CENTRES)


async def run_order(plan: dict[int, Fault], *, owned: bool = False) -> Environment:
    """Send an order and its repeats under some faults, end all faults, and repeat it once more."""
    environment = Environment(plan, owned=owned)
    for number, vm in enumerate(ATTEMPT_VMS):
        await environment.send(vm, number, repeat=number > 0)
    environment.injector.clear_plan()
    await asyncio.sleep(RECOVERY_SECONDS)
    await environment.send("vm4", len(ATTEMPT_VMS), repeat=True)
    await environment.close()
    return environment


class StepTest(unittest.TestCase):
    def check(self, environment: Environment, plan: dict[int, Fault]) -> None:
        executed = [effect.request_id for effect in environment.upstream.effects]
        with self.subTest(plan=plan, answers=environment.answers, effects=executed):
            self.assertLessEqual(len(executed), 1)
            for answer in environment.answers:
                if answer.ran is Ran.NO:
                    self.assertEqual(answer.effects, 0)
                    self.assertNotIn(answer.request_id, executed)
                elif answer.ran is Ran.YES:
                    self.assertEqual(answer.effects, 1)

    @virtual_time
    async def test_every_attempt_reports_the_one_effect_without_faults(self) -> None:
        environment = await run_order({})
        self.assertEqual([answer.ran for answer in environment.answers], [Ran.YES] * 5)
        self.check(environment, {})

    @virtual_time
    async def test_a_fault_at_each_step(self) -> None:
        for step, fault in itertools.product(range(14), Fault):
            plan = {step: fault}
            environment = await run_order(plan)
            self.check(environment, plan)
            with self.subTest(plan=plan, answers=environment.answers):
                self.assertIsNotNone(environment.answers[-1].ran)
                if fault is Fault.CUT_BEFORE and step not in (3,):
                    self.assertEqual(environment.answers[-1].ran, Ran.YES)

    @virtual_time
    async def test_faults_at_each_pair_of_steps(self) -> None:
        for first, second in itertools.combinations(range(12), 2):
            for faults in itertools.product(Fault, repeat=2):
                plan = {first: faults[0], second: faults[1]}
                self.check(await run_order(plan), plan)

    @virtual_time
    async def test_faults_at_each_pair_of_steps_with_owners(self) -> None:
        membership = FakeMembership(MEMBERS[0], MEMBERS)
        bucket = locate_bucket(KEY).bucket
        self.assertEqual(owner_of(bucket, DATA_CENTRES[:1], membership).address, "vm2")  # the relay
        self.assertEqual(owner_of(bucket, DATA_CENTRES, membership).address, "vm3")
        for first, second in itertools.combinations(range(16), 2):
            for faults in itertools.product(Fault, repeat=2):
                plan = {first: faults[0], second: faults[1]}
                self.check(await run_order(plan, owned=True), plan)
