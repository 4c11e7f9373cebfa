"""Replicas whose entries go, come back and go again, in any order and around outages."""

import asyncio
import random
import unittest
from collections.abc import Callable

import async_solipsism
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.replica_registry import (
    REREGISTRATION_SECONDS,
    ReplicaRegistry,
)
from auburncart.coordination.forwarding.sinks import ReplicaSink
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    ListJournal,
    registration,
    whole_limit,
)
from auburncart.coordination.forwarding.tests.store_fixture import FakeStore, LossyStore
from auburncart.coordination.forwarding.watch_times import watch_times
from auburncart.standins.replicas import FakeReplicaDialer
from auburncart.tests.virtual import virtual_time

REPLICAS = "replicas"
STABLE_SECONDS = 4.0
TIMES = watch_times(STABLE_SECONDS, 3.0)
CALL_SECONDS = 0.01  # within which a waiting call notices a change
OUTAGE_SECONDS = 0.25  # the first back-off
SETTLED_SECONDS = 10.0  # more than back-off, re-registration and the next sweep take


class _Vm:
    """The replicas of one VM, with the tasks that keep them up to date."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.link = LossyStore(self.store, TIMES)
        self.journal = ListJournal()
        self.registry = ReplicaRegistry(
            lambda data_centre: 0,
            FakeReplicaDialer(),
            lambda service, data_centre: 4.0,
            whole_limit,
            self.journal,
        )
        watcher = KindWatcher(
            self.link,
            REPLICAS,
            ReplicaSink(self.registry, STABLE_SECONDS),
            self.journal,
            random.Random(1),
            TIMES,
        )
        self.tasks = [asyncio.create_task(run()) for run in (self.registry.run, watcher.run)]

    def ended_tasks(self) -> list[asyncio.Task[None]]:
        return [task for task in self.tasks if task.done()]

    def known(self) -> list[str]:
        """Return the replicas in the table, sorted."""
        return sorted(pool.registration.instance for pool in self.registry.pools)

    def candidates(self, service: str) -> list[str]:
        """Return the replicas of a service to which requests may be sent, sorted."""
        return sorted(pool.registration.instance for pool in self.registry.candidates(service))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class MissingReplicaTest(unittest.TestCase):
    async def lose_entry(self, vm: _Vm) -> None:
        """Let a replica's entry lapse during an outage of the store, which then ends."""
        vm.store.write(REPLICAS, "s/1", registration("s", 1))
        await asyncio.sleep(0.5)
        vm.store.down = True
        await asyncio.sleep(CALL_SECONDS)
        vm.store.remove(REPLICAS, "s/1")
        vm.store.down = False
        await asyncio.sleep(OUTAGE_SECONDS)
        self.assertEqual(vm.candidates("s"), ["s/1"])

    @virtual_time
    async def test_a_replica_missing_from_two_lists_after_an_outage_ends_no_task(self) -> None:
        """The sweep removed again what the second list had removed, and the process ended."""
        vm = _Vm()
        await self.lose_entry(vm)
        await asyncio.sleep(REREGISTRATION_SECONDS)
        vm.store.forget_history()
        await asyncio.sleep(SETTLED_SECONDS)
        self.assertEqual(vm.ended_tasks(), [])
        self.assertEqual(vm.known(), [])
        await vm.stop()

    @virtual_time
    async def test_a_replica_that_left_during_a_lost_reply_is_not_kept_for_its_return(self) -> None:
        """It was kept for two seconds more, until after the stable window."""
        for phase in range(10):
            vm = _Vm()
            vm.store.write(REPLICAS, "s/1", registration("s", 1))
            await asyncio.sleep(1.0 + TIMES.wait * phase / 10.0)
            self.assertEqual(vm.candidates("s"), ["s/1"])
            vm.link.silent = True
            vm.store.remove(REPLICAS, "s/1")
            await asyncio.sleep(CALL_SECONDS)
            vm.link.silent = False
            await asyncio.sleep(STABLE_SECONDS)
            self.assertEqual(vm.candidates("s"), [])
            await vm.stop()

    @virtual_time
    async def test_a_replica_that_returns_before_its_removal_is_kept(self) -> None:
        vm = _Vm()
        await self.lose_entry(vm)
        vm.store.write(REPLICAS, "s/1", registration("s", 1))
        await asyncio.sleep(SETTLED_SECONDS)
        self.assertEqual(vm.candidates("s"), ["s/1"])
        await vm.stop()

    @virtual_time
    async def test_a_replica_restarted_while_it_is_missing_is_kept(self) -> None:
        vm = _Vm()
        await self.lose_entry(vm)
        vm.store.write(REPLICAS, "s/1", registration("s", 1)._replace(started_at_ms=7))
        await asyncio.sleep(SETTLED_SECONDS)
        self.assertEqual(vm.candidates("s"), ["s/1"])
        await vm.stop()


SERVICES = st.sampled_from(("s", "t"))
NUMBERS = st.integers(1, 2)
WAITS = st.sampled_from((0.01, 0.2, 0.5, 1.0, 2.0))


class RegistryMachine(RuleBasedStateMachine):
    """Writes, removes and restarts replicas while the store is lost and forgets its history."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        self.vm = self.runner.run(self.make())
        self.draining: dict[str, bool] = {}

    async def make(self) -> _Vm:
        return _Vm()

    @rule(
        service=SERVICES,
        number=NUMBERS,
        start=st.integers(1, 2),
        draining=st.booleans(),
        wait=WAITS,
    )
    def write(self, service: str, number: int, start: int, draining: bool, wait: float) -> None:
        # A replica may start again under its name, also for another service.
        name = f"i-{number}"
        entry = registration(service, number, draining=draining)
        entry = entry._replace(instance=name, started_at_ms=start)
        self.draining[name] = draining
        self.run(lambda: self.vm.store.write(REPLICAS, name, entry), wait)

    @rule(number=NUMBERS, wait=WAITS)
    def remove(self, number: int, wait: float) -> None:
        name = f"i-{number}"
        if self.draining.pop(name, None) is not None:
            self.run(lambda: self.vm.store.remove(REPLICAS, name), wait)

    @rule(number=NUMBERS, wait=WAITS)
    def lapse(self, number: int, wait: float) -> None:
        self.set_availability(True, CALL_SECONDS)
        self.remove(number, CALL_SECONDS)
        self.set_availability(False, wait)

    @rule(down=st.booleans(), wait=WAITS)
    def set_availability(self, down: bool, wait: float) -> None:
        self.run(lambda: setattr(self.vm.store, "down", down), wait)

    @rule(wait=WAITS)
    def forget_history(self, wait: float) -> None:
        self.run(self.vm.store.forget_history, wait)

    def run(self, change: Callable[[], None], wait: float) -> None:
        """Change the store, then let time pass."""
        self.runner.run(self.change_and_wait(change, wait))

    async def change_and_wait(self, change: Callable[[], None], wait: float) -> None:
        change()
        await asyncio.sleep(wait)

    @invariant()
    def no_task_has_ended(self) -> None:
        assert not self.vm.ended_tasks(), self.vm.ended_tasks()

    @invariant()
    def candidates_are_known(self) -> None:
        candidates = self.vm.candidates("s") + self.vm.candidates("t")
        assert len(candidates) == len(set(candidates))
        assert set(candidates) <= set(self.vm.known())

    def teardown(self) -> None:
        self.set_availability(False, SETTLED_SECONDS)
        self.no_task_has_ended()
        self.candidates_are_known()
        assert self.vm.known() == sorted(self.draining)
        usable = {name for name, draining in self.draining.items() if not draining}
        assert set(self.vm.candidates("s") + self.vm.candidates("t")) <= usable
        self.runner.run(self.vm.stop())
        self.runner.close()


RegistryTest = RegistryMachine.TestCase
RegistryTest.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=25, deadline=None, database=None
)
