"""Replies of the store that are lost without a sign: how late a change made meanwhile is known."""

import asyncio
import random
import unittest
from collections.abc import Callable, Iterable

import async_solipsism
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.tests.gateway_fixture import ListJournal
from auburncart.coordination.forwarding.tests.store_fixture import FakeStore, LossyStore
from auburncart.coordination.forwarding.tests.test_relay import (
    VMS,
    RecordingSink,
    Tier,
    Vm,
)
from auburncart.coordination.forwarding.watch_times import WatchTimes, watch_times
from auburncart.tests.virtual import virtual_time

KIND = "things"
BOUNDS = ((1.0, 1.0), (4.0, 3.0), (5.0, 3.0), (6.0, 5.0), (20.0, 10.0))  # stable, apply
SILENCES = (0.001, 0.5, 3.0, 9.0)
PHASES = 12  # moments within a watch at which a silence begins
CHECK_SECONDS = 0.01
TIER_STABLE_APPLY = (6.0, 5.0)
TIER_BOUNDS = ((4.0, 3.0), (6.0, 5.0), (6.0, 6.0))
LISTED_SECONDS = 12.0  # after which the VMs of a tier know each other


class _Watch:
    """One VM's watch of a store that loses replies."""

    def __init__(self, times: WatchTimes, number: int) -> None:
        self.store = FakeStore()
        self.link = LossyStore(self.store, times)
        self.sink = RecordingSink()
        watcher = KindWatcher(
            self.link, KIND, self.sink, ListJournal(), random.Random(number), times
        )
        self.task = asyncio.create_task(watcher.run())

    async def be_silent(self, seconds: float, *, forget: bool = False) -> None:
        """Lose the replies of some seconds, and change an object in the middle of them."""
        self.link.silent = True
        await asyncio.sleep(seconds / 2.0)
        if forget:
            self.store.forget_history()
        self.store.write(KIND, "main", 2)
        await asyncio.sleep(seconds / 2.0)
        self.link.silent = False

    def known(self, value: int) -> bool:
        return self.sink.values.get("main", (None, 0.0))[0] == value


async def _seconds_until_known(vms: Iterable["_Watch | Vm"], value: int, most: float) -> float:
    """Return the seconds until all VMs know a value, or a little more than ``most``."""
    started = asyncio.get_running_loop().time()
    for vm in vms:
        while vm.sink.values.get("main", (None, 0.0))[0] != value:
            if asyncio.get_running_loop().time() - started > most:
                break
            await asyncio.sleep(CHECK_SECONDS)
    return asyncio.get_running_loop().time() - started


class LostReplyTest(unittest.TestCase):
    async def check(self, stable: float, apply: float, silence: float, *, forget: bool) -> None:
        times = watch_times(stable, apply)
        for phase in range(PHASES):
            watch = _Watch(times, phase)
            watch.store.write(KIND, "main", 1)
            await asyncio.sleep(1.0 + times.wait * (1.0 + phase / PHASES))
            self.assertTrue(watch.known(1))
            await watch.be_silent(silence, forget=forget)
            seconds = await _seconds_until_known([watch], 2, stable)
            with self.subTest(stable=stable, silence=silence, phase=phase, forget=forget):
                self.assertLessEqual(seconds, stable)
            watch.task.cancel()

    @virtual_time
    async def test_a_change_whose_reply_was_lost_is_known_within_the_stable_window(self) -> None:
        for stable, apply in BOUNDS:
            for silence in SILENCES:
                await self.check(stable, apply, silence, forget=False)

    @virtual_time
    async def test_a_list_that_was_lost_with_the_history_is_read_in_time(self) -> None:
        for stable, apply in BOUNDS:
            for silence in SILENCES:
                await self.check(stable, apply, silence, forget=True)

    @virtual_time
    async def test_a_second_silence_that_hits_the_repeated_call(self) -> None:
        """The bound counts from the end of the second one."""
        times = watch_times(4.0, 3.0)
        watch = _Watch(times, 1)
        watch.store.write(KIND, "main", 1)
        await asyncio.sleep(1.0)
        await watch.be_silent(0.001)
        watch.link.silent = True
        await asyncio.sleep(times.wait + times.reply + 0.11)
        watch.link.silent = False
        self.assertLessEqual(await _seconds_until_known([watch], 2, 4.0), 4.0)

    @virtual_time
    async def test_readers_that_lost_a_reply_pass_the_change_on_within_the_stable_window(
        self,
    ) -> None:
        for stable, apply in TIER_BOUNDS:
            for silenced in (1, 2):
                await self.check_tier(stable, apply, silenced, 0.001)
                await self.check_tier(stable, apply, silenced, 0.5)

    async def check_tier(self, stable: float, apply: float, silenced: int, silence: float) -> None:
        tier = Tier(watch_times(stable, apply))
        await asyncio.sleep(LISTED_SECONDS)
        await tier.time_to_spread(1)
        for phase in range(4):
            await asyncio.sleep(3.0 + phase * tier.times.relayed_wait / 4.0)
            readers = tier.readers[:silenced]
            for reader in readers:
                reader.store.store.silent = True
            tier.store.write("main", phase + 2)
            await asyncio.sleep(silence)
            for reader in readers:
                reader.store.store.silent = False
            with self.subTest(stable=stable, silenced=silenced, silence=silence, phase=phase):
                vms = tier.vms.values()
                seconds = await _seconds_until_known(vms, phase + 2, stable)
                self.assertLessEqual(seconds, stable)
        tier.kill()

    @virtual_time
    async def test_vms_whose_readers_stay_silent_know_a_change_within_its_bound(self) -> None:
        for stable, apply in TIER_BOUNDS:
            tier = Tier(watch_times(stable, apply))
            await asyncio.sleep(LISTED_SECONDS)
            await tier.time_to_spread(1)
            for reader in tier.readers:
                reader.store.store.silent = True
            seconds = await tier.time_to_spread(2, excluded=tuple(tier.readers))
            with self.subTest(stable=stable, apply=apply):
                self.assertLessEqual(seconds, apply)
            tier.kill()


class WatchTimesTest(unittest.TestCase):
    def test_a_lost_watch_is_replaced_within_the_stable_window(self) -> None:
        for stable, apply in BOUNDS:
            times = watch_times(stable, apply)
            self.assertLess(times.wait + times.reply, stable)
            self.assertLessEqual(times.relayed_wait, times.wait)
            self.assertLess(times.call, stable)
            self.assertLess(times.relayed_wait, times.max_age)
            self.assertLess(times.max_age + times.question, apply)


class TierMachine(RuleBasedStateMachine):
    """Changes an object while VMs of a large tier lose replies, the store and its history."""

    vms = st.sets(st.integers(0, VMS - 1), min_size=1, max_size=4)
    waits = st.sampled_from((0.0, 0.001, 0.5, 2.0, 5.0))

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        self.value = 1
        self.tier = self.runner.run(self.make())

    async def make(self) -> Tier:
        tier = Tier(watch_times(*TIER_STABLE_APPLY))
        await asyncio.sleep(LISTED_SECONDS)
        await tier.time_to_spread(self.value)
        return tier

    @rule(wait=waits)
    def write(self, wait: float) -> None:
        self.value += 1
        self.run(lambda: self.tier.store.write("main", self.value), wait)

    @rule(numbers=vms, silent=st.booleans(), wait=waits)
    def lose_replies(self, numbers: set[int], silent: bool, wait: float) -> None:
        vms = list(self.tier.vms.values())
        self.run(lambda: [setattr(vms[n].store.store, "silent", silent) for n in numbers], wait)

    @rule(readers=st.integers(1, 2), wait=waits)
    def lose_replies_of_readers(self, readers: int, wait: float) -> None:
        chosen = self.tier.readers[:readers]
        self.run(lambda: [setattr(vm.store.store, "silent", True) for vm in chosen], wait)

    @rule(numbers=vms, down=st.booleans(), wait=waits)
    def turn_away(self, numbers: set[int], down: bool, wait: float) -> None:
        vms = list(self.tier.vms.values())
        self.run(lambda: [setattr(vms[n].store, "down", down) for n in numbers], wait)

    @rule(wait=waits)
    def forget_history(self, wait: float) -> None:
        self.run(lambda: setattr(self.tier.store, "oldest", self.tier.store.revision), wait)

    def run(self, change: Callable[[], object], wait: float) -> None:
        """Change something, then let time pass."""
        self.runner.run(self.change_and_wait(change, wait))

    async def change_and_wait(self, change: Callable[[], object], wait: float) -> None:
        change()
        await asyncio.sleep(wait)

    @invariant()
    def no_task_has_ended(self) -> None:
        assert not [task for vm in self.tier.vms.values() for task in vm.tasks if task.done()]

    def teardown(self) -> None:
        self.runner.run(self.end())
        self.runner.close()

    async def end(self) -> None:
        for vm in self.tier.vms.values():
            vm.store.down = vm.store.store.silent = False
        stable, _ = TIER_STABLE_APPLY
        vms = self.tier.vms.values()
        assert await _seconds_until_known(vms, self.value, stable) <= stable
        self.no_task_has_ended()
        self.tier.kill()


TierTest = TierMachine.TestCase
TierTest.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=12, deadline=None, database=None
)
