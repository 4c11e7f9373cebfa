"""Replies of the store that are lost without a sign: how late a change made meanwhile is known."""

import asyncio
import random
import unittest

from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.tests.gateway_fixture import ListJournal
from auburncart.coordination.forwarding.tests.store_fixture import FakeStore, LossyStore
from auburncart.coordination.forwarding.tests.test_relay import RecordingSink, Tier, Vm
from auburncart.coordination.forwarding.watch_times import WatchTimes, watch_times
from auburncart.tests.virtual import virtual_time

KIND = "things"
BOUNDS = ((1.0, 1.0), (4.0, 3.0), (5.0, 3.0), (6.0, 5.0), (20.0, 10.0))  # stable, apply
SILENCES = (0.001, 0.5, 3.0, 9.0)
PHASES = 12  # moments within a watch at which a silence begins
CHECK_SECONDS = 0.01
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


async def _seconds_until_known(vm: "_Watch | Vm", value: int, most: float) -> float:
    started = asyncio.get_running_loop().time()
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
            seconds = await _seconds_until_known(watch, 2, stable)
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
        self.assertLessEqual(await _seconds_until_known(watch, 2, 4.0), 4.0)

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
                for vm in tier.vms.values():
                    # The readers are the last to be asked: all others learn from them.
                    seconds = await _seconds_until_known(vm, phase + 2, stable)
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
