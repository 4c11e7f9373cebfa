import asyncio
import random
import unittest
from typing import Any

from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.kinds import (
    Changes,
    Entry,
    KindSink,
    KindStore,
    Page,
)
from auburncart.coordination.forwarding.relay import RelayClient, RelayedStore, RelayServer
from auburncart.coordination.forwarding.roster import Roster
from auburncart.coordination.forwarding.tests.gateway_fixture import ListJournal
from auburncart.coordination.forwarding.tests.store_fixture import LossyStore
from auburncart.coordination.forwarding.watch_times import WatchTimes, watch_times
from auburncart.exception import HistoryLostError, LinkError, StoreUnavailableError
from auburncart.state.entryvm import EntryVm
from auburncart.tests.virtual import virtual_time

VMS = 20
MAX_WAIT_SECONDS = 30.0
MAX_CONFIGURATION_SECONDS = 5.0  # within which a change must be in force with so many VMs
TIMES = watch_times(6.0, MAX_CONFIGURATION_SECONDS)


class StoreModel(KindStore):
    """Objects of one kind, and the registered VMs."""

    def __init__(self) -> None:
        self.revision = 1
        self.history: list[Entry] = []
        self.members: dict[str, Any] = {}
        self.changed = asyncio.Event()
        self.calls = 0
        self.oldest = 0

    def write(self, name: str, value: Any) -> None:
        self.revision += 1
        self.history.append(Entry(name, value, self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        self.calls += 1
        if kind == "entry-vms":
            entries = tuple(Entry(name, value, 1) for name, value in self.members.items())
            return Page(entries, False, self.revision)
        latest = {entry.name: entry for entry in self.history}
        return Page(tuple(latest.values()), False, self.revision)

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        self.calls += 1
        if revision < self.oldest:
            raise HistoryLostError("history lost", step="store")
        deadline = asyncio.get_running_loop().time() + wait
        while self.revision <= revision:
            try:
                async with asyncio.timeout_at(deadline):
                    await self.changed.wait()
            except TimeoutError:
                break
        entries = tuple(entry for entry in self.history if entry.revision > revision)
        return Changes(entries, self.revision)

    async def put(self, kind: str, name: str, value: Any) -> None:
        self.calls += 1
        self.members[name] = EntryVm(name, value["data_centre"], value["address"])

    async def delete(self, kind: str, name: str) -> None:
        self.members.pop(name, None)


class InterruptibleStore(KindStore):
    """The store as one VM reaches it: silent while ``cut_off``, refuses calls while ``down``."""

    def __init__(self, store: StoreModel, times: WatchTimes) -> None:
        self.store = LossyStore(store, times)
        self.times = times
        self.cut_off = False
        self.down = False

    async def answer_of(self, call: Any, seconds: float) -> Any:
        if self.down:
            call.close()
            raise StoreUnavailableError("status 503", step="store", sent=False)
        try:
            async with asyncio.timeout(seconds + self.times.call):
                answer = await call
                while self.cut_off:
                    await asyncio.sleep(0.1)
                return answer
        except TimeoutError as error:
            raise StoreUnavailableError("silent", step="reply") from error

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        return await self.answer_of(self.store.list(kind, after, stale=stale), 0.0)

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        return await self.answer_of(self.store.changes(kind, revision, wait), wait)

    async def put(self, kind: str, name: str, value: Any) -> None:
        await self.answer_of(self.store.put(kind, name, value), 0.0)

    async def delete(self, kind: str, name: str) -> None:
        await self.answer_of(self.store.delete(kind, name), 0.0)


class RecordingSink(KindSink):
    def __init__(self) -> None:
        self.values: dict[str, tuple[Any, float]] = {}
        self.outages = 0

    def replace(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self.apply_change(entry)

    def apply_change(self, entry: Entry) -> None:
        self.values[entry.name] = (entry.value, asyncio.get_running_loop().time())

    def confirm(self) -> None:
        pass

    def store_recovered(self, failed_at: float) -> None:
        self.outages += 1


class Vm:
    def __init__(self, tier: "Tier", number: int, *, first_start: bool) -> None:
        own = EntryVm(f"vm{number}", "dc1", f"127.0.0.1:{number}")
        self.up = True
        self.journal = ListJournal()
        self.store = InterruptibleStore(tier.store, tier.times)
        self.roster = Roster(self.store, own, self.journal, first_start=first_start)
        relayed = RelayedStore(self.store, lambda: tier, self.roster, self.journal, tier.times)
        self.sink = RecordingSink()
        self.watcher = KindWatcher(
            relayed, "things", self.sink, self.journal, random.Random(number), tier.times
        )
        self.server = RelayServer({"things": self.watcher}, self.roster)
        self.tasks = [
            asyncio.create_task(self.roster.run(relayed)),
            asyncio.create_task(self.watcher.run()),
        ]


class Tier(RelayClient):
    """VMs of one data centre, with no latency between them."""

    def __init__(self, times: WatchTimes = TIMES) -> None:
        self.times = times
        self.store = StoreModel()
        self.start(first_start=True)

    def start(self, *, first_start: bool, store_down: bool = False) -> None:
        """Start all VMs; the store answers them unless ``store_down``."""
        self.vms = {
            f"127.0.0.1:{number}": Vm(self, number, first_start=first_start)
            for number in range(VMS)
        }
        for vm in self.vms.values():
            vm.store.down = store_down

    def kill(self) -> None:
        """End all VMs without a shutdown."""
        for vm in self.vms.values():
            for task in vm.tasks:
                task.cancel()

    @property
    def readers(self) -> list[Vm]:
        first = next(iter(self.vms.values()))
        return [self.vms[vm.address] for vm in first.roster.store_readers()]

    async def list(self, address: str, kind: str) -> Page:
        try:
            return self.vms[address].server.list(kind)
        except StoreUnavailableError as error:
            raise LinkError("not fresh", step="relay") from error

    async def changes(self, address: str, kind: str, revision: int, wait: float) -> Changes:
        vm = self.vms[address]
        if not vm.up:
            raise LinkError("no answer", step="relay")
        try:
            return await vm.server.changes(kind, revision, wait)
        except StoreUnavailableError as error:
            raise LinkError("not fresh", step="relay") from error

    async def time_to_spread(self, value: Any, *, excluded: tuple[Vm, ...] = ()) -> float:
        """Write a value and return the seconds until all VMs have it."""
        started_at = asyncio.get_running_loop().time()
        self.store.write("main", value)
        vms = [vm for vm in self.vms.values() if vm not in excluded]
        while any(vm.sink.values.get("main", (None, 0))[0] != value for vm in vms):
            if asyncio.get_running_loop().time() - started_at > MAX_WAIT_SECONDS:
                break
            await asyncio.sleep(0.05)
        return asyncio.get_running_loop().time() - started_at


class RelayTest(unittest.TestCase):
    @virtual_time
    async def test_few_vms_call_the_store_and_all_receive_a_change(self) -> None:
        tier = Tier()
        await asyncio.sleep(3.0)
        tier.store.calls = 0
        self.assertLess(await tier.time_to_spread(1), 1.0)
        await asyncio.sleep(20.0)
        self.assertLess(tier.store.calls, VMS + 20)

    @virtual_time
    async def test_vms_that_restart_together_wait_for_their_readers(self) -> None:
        tier = Tier()
        await asyncio.sleep(3.0)
        await tier.time_to_spread(1)
        tier.kill()
        tier.store.calls = 0
        tier.start(first_start=False)
        self.assertLess(await tier.time_to_spread(2), 2.0)
        # Each VM lists the others once; a registration that is in the store is not repeated.
        self.assertLess(tier.store.calls, VMS + 20)

    @virtual_time
    async def test_vms_that_restart_while_the_store_is_down_do_not_take_themselves_for_alone(
        self,
    ) -> None:
        """Each would otherwise use the connections and extra requests of the whole tier."""
        tier = Tier()
        await asyncio.sleep(3.0)
        await tier.time_to_spread(1)
        tier.kill()
        tier.start(first_start=False, store_down=True)
        await asyncio.sleep(2.0)
        self.assertTrue(all(vm.roster.vm_count > 1 for vm in tier.vms.values()))
        tier.store.calls = 0
        for vm in tier.vms.values():
            vm.store.down = False
        self.assertLess(await tier.time_to_spread(2), 3.0)
        self.assertTrue(all(vm.roster.vm_count == VMS for vm in tier.vms.values()))
        self.assertLess(tier.store.calls, VMS + 20)

    @virtual_time
    async def test_a_vm_without_readers_starts_on_its_own(self) -> None:
        tier = Tier()
        await asyncio.sleep(3.0)
        await tier.time_to_spread(1)
        readers = tier.readers
        tier.kill()
        tier.start(first_start=False)
        for reader in readers:
            down = tier.vms[reader.roster._own.address]
            down.up = False
            down.store.cut_off = True
        excluded = tuple(vm for vm in tier.vms.values() if not vm.up)
        self.assertLess(await tier.time_to_spread(2, excluded=excluded), 4.0)

    @virtual_time
    async def test_a_vm_whose_registration_was_lost_registers_again(self) -> None:
        tier = Tier()
        await asyncio.sleep(3.0)
        tier.store.members.pop("vm3")
        await asyncio.sleep(40.0)
        self.assertIn("vm3", tier.store.members)
        self.assertTrue(all(len(vm.roster.members) == VMS for vm in tier.vms.values()))

    @virtual_time
    async def test_a_reader_cut_off_from_the_store_does_not_delay_the_others(self) -> None:
        for number in range(2):
            tier = Tier()
            await asyncio.sleep(3.0)
            await tier.time_to_spread(1)
            reader = tier.readers[number]
            reader.store.cut_off = True
            seconds = await tier.time_to_spread(2, excluded=(reader,))
            self.assertLess(seconds, 1.0)

    @virtual_time
    async def test_vms_ask_the_store_in_time_if_all_readers_are_cut_off(self) -> None:
        tier = Tier()
        await asyncio.sleep(3.0)
        await tier.time_to_spread(1)
        for reader in tier.readers:
            reader.store.cut_off = True
        seconds = await tier.time_to_spread(2, excluded=tuple(tier.readers))
        self.assertLess(seconds, MAX_CONFIGURATION_SECONDS)

    @virtual_time
    async def test_vms_ask_the_store_in_time_if_all_readers_are_down(self) -> None:
        tier = Tier()
        await asyncio.sleep(3.0)
        await tier.time_to_spread(1)
        for reader in tier.readers:
            reader.up = False
        seconds = await tier.time_to_spread(2)
        self.assertLess(seconds, MAX_CONFIGURATION_SECONDS)

    @virtual_time
    async def test_a_lost_history_leads_to_a_new_list(self) -> None:
        tier = Tier()
        await asyncio.sleep(3.0)
        await tier.time_to_spread(1)
        tier.store.write("main", 2)
        tier.store.oldest = tier.store.revision + 1
        await asyncio.sleep(0.0)
        tier.store.oldest = tier.store.revision
        self.assertLess(await tier.time_to_spread(3), 2.0)


class LaggingStore(KindStore):
    """Lists what each of its pages says in turn; all watches find their history lost."""

    def __init__(self, *pages: Page) -> None:
        self.pages = list(pages)

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        return self.pages.pop(0) if len(self.pages) > 1 else self.pages[0]

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        await asyncio.sleep(0.5)
        raise HistoryLostError("history lost", step="relay")

    async def put(self, kind: str, name: str, value: Any) -> None:
        raise NotImplementedError

    async def delete(self, kind: str, name: str) -> None:
        raise NotImplementedError


class NewListTest(unittest.TestCase):
    @virtual_time
    async def test_a_list_older_than_what_is_known_is_not_used(self) -> None:
        """A reader that is behind still lists a replica which this VM knows has left."""
        known = Page((Entry("main", "left", 9),), False, 9)
        older = Page((Entry("main", "here", 5),), False, 7)
        newer = Page((Entry("main", "new", 11),), False, 11)
        sink = RecordingSink()
        store = LaggingStore(known, older, older, newer)
        watcher = KindWatcher(store, "things", sink, ListJournal(), random.Random(1), TIMES)
        task = asyncio.create_task(watcher.run())
        values = []
        for _ in range(60):
            await asyncio.sleep(0.1)
            values.append(sink.values["main"][0])
        task.cancel()
        self.assertEqual(list(dict.fromkeys(values)), ["left", "new"])
