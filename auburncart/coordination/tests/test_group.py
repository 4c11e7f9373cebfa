import asyncio
import unittest

from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.change import Author, Proposal, TableEditor
from auburncart.coordination.overlay import ring_neighbours
from auburncart.standins.fakes import FakeStore
from auburncart.standins.memory_network import MemoryNetwork, Vm, make_vms
from auburncart.standins.platform import PlatformModel
from auburncart.state.member import Condition
from auburncart.state.shards import ShardMap
from auburncart.state.table import Row, Table, TableDocument
from auburncart.state.work import Rank
from auburncart.tests.virtual import virtual_time

IN_FORCE_SECONDS = 7.0
SETTLE_SECONDS = 8.0


class Tier:
    """VMs in several data centres over one platform."""

    def __init__(self, count: int, data_centres: int = 3) -> None:
        self.platform = PlatformModel()
        self.network = MemoryNetwork()
        self.vms = make_vms(count, data_centres, self.platform, self.network)
        self.editor = TableEditor(FakeStore(self.platform), Author("ana", "10.0.0.1"))
        self.version = 0

    async def start(self) -> None:
        await FakeStore(self.platform).write(SHARD_MAP, ShardMap("s1", 1, {}), "")
        await self.change()
        for vm in self.vms:
            vm.start()
        await asyncio.sleep(SETTLE_SECONDS)

    async def change(self) -> None:
        self.version += 1
        rows = (Row("*", "closure", Rank.URGENT, float(self.version)),)
        proposal = Proposal(f"c{self.version}", rows, (0.0, 0.1, 0.05), self.version - 1)
        await self.editor.apply(proposal, 0.0)

    async def wait_until_in_force(self, vms: list[Vm], limit: float) -> float:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while any(vm.tables.version < self.version for vm in vms):
            if loop.time() - started_at > limit:
                missing = [vm.address for vm in vms if vm.tables.version < self.version]
                raise AssertionError(f"not in force after {limit} s on {missing}")
            await asyncio.sleep(0.01)
        return loop.time() - started_at

    async def stop(self) -> None:
        await asyncio.gather(*(vm.stop() for vm in self.vms))


class SynchroniserTest(unittest.TestCase):
    async def check_changes_under_loss(self, count: int, loss: float, changes: int) -> None:
        tier = Tier(count)
        await tier.start()
        tier.network.loss = loss
        for _ in range(changes):
            await tier.change()
            await tier.wait_until_in_force(tier.vms, IN_FORCE_SECONDS)
            await asyncio.sleep(1.0)
        await tier.stop()

    @virtual_time
    async def test_table_reaches_9_vms_with_10_percent_message_loss(self) -> None:
        await self.check_changes_under_loss(9, 0.1, 10)

    @virtual_time
    async def test_table_reaches_60_vms_with_10_percent_message_loss(self) -> None:
        await self.check_changes_under_loss(60, 0.1, 3)

    @virtual_time
    async def test_table_reaches_all_vms_when_both_readers_crash_as_it_changes(self) -> None:
        tier = Tier(9)
        await tier.start()
        local = [vm for vm in tier.vms if vm.group.membership.own.data_centre == "dc0"]
        crashed = [vm for vm in local if vm.group.is_store_reader][:2]
        self.assertEqual(len(crashed), 2)
        await asyncio.gather(*(vm.kill() for vm in crashed))
        tier.vms = [vm for vm in tier.vms if vm not in crashed]
        await tier.change()
        await tier.wait_until_in_force(tier.vms, IN_FORCE_SECONDS)
        await tier.stop()

    @virtual_time
    async def test_partitioned_data_centre_keeps_its_table_and_catches_up_later(self) -> None:
        tier = Tier(9)
        await tier.start()
        isolated = [vm for vm in tier.vms if vm.group.membership.own.data_centre == "dc1"]
        others = [vm for vm in tier.vms if vm not in isolated]
        for vm in isolated:
            tier.network.partitions[vm.address] = 1
            vm.store.unreachable = True
        await tier.change()
        await tier.wait_until_in_force(others, IN_FORCE_SECONDS)
        await asyncio.sleep(60)
        self.assertEqual({vm.tables.version for vm in isolated}, {1})
        self.assertEqual({len(vm.group.membership.live("dc1")) for vm in isolated}, {3})
        tier.network.partitions.clear()
        await tier.wait_until_in_force(isolated, 15.0)
        await asyncio.sleep(10)
        self.assertEqual({vm.tables.version for vm in tier.vms}, {2})
        self.assertEqual(len({vm.group.membership.digests for vm in tier.vms}), 1)
        await tier.stop()

    @virtual_time
    async def test_older_table_from_a_restored_store_or_a_peer_is_ignored(self) -> None:
        tier = Tier(3, 1)
        await tier.start()
        await tier.change()
        await tier.wait_until_in_force(tier.vms, IN_FORCE_SECONDS)
        path = "/v1/objects/table/current"
        rows = (Row("*", "closure", Rank.URGENT, 9.0),)
        old = TableDocument(Table(1, rows))
        await tier.vms[0].store.write(
            type(SHARD_MAP)("table", "current"), old, tier.platform.objects[path].etag
        )
        late = Vm(77, "dc0", tier.platform, tier.network, (tier.vms[0].address,))
        late.tables.install(old)
        late.start()
        tier.vms.append(late)
        await asyncio.sleep(60)
        self.assertEqual({vm.tables.version for vm in tier.vms}, {2})
        await tier.editor.apply(Proposal("lift", rows, (0.0, 0.1, 0.05), 1, above=2), 0.0)
        tier.version = 3
        await tier.wait_until_in_force(tier.vms, IN_FORCE_SECONDS)
        await tier.stop()

    @virtual_time
    async def test_vm_started_in_an_outage_gets_the_table_from_peers_or_is_not_ready(self) -> None:
        tier = Tier(6, 2)
        await tier.start()
        tier.platform.set_outage(True)
        late = Vm(77, "dc0", tier.platform, tier.network, (tier.vms[0].address,))
        alone = Vm(78, "dc0", tier.platform, tier.network)
        tier.network.partitions[alone.address] = 1
        for vm in (late, alone):
            vm.start()
        await tier.wait_until_in_force([late], IN_FORCE_SECONDS)
        await asyncio.sleep(1)
        self.assertTrue(late.group.ready)
        self.assertFalse(alone.group.ready)
        self.assertIn("no table from the store or a peer", alone.group.not_ready_reason)
        tier.vms += [late, alone]
        await tier.stop()

    @virtual_time
    async def test_store_calls_do_not_grow_with_the_number_of_vms(self) -> None:
        calls = {}
        for count in (4, 24):
            tier = Tier(count, 1)
            await tier.start()
            await asyncio.sleep(40)
            before = tier.platform.calls
            await asyncio.sleep(120)
            calls[count] = tier.platform.calls - before
            await tier.stop()
        self.assertLess(calls[24] / 24, calls[4] / 4 / 2)


class MembershipTest(unittest.TestCase):
    @virtual_time
    async def test_conditions_of_crashed_leaving_and_restarted_vms(self) -> None:
        tier = Tier(6, 1)
        await tier.start()
        killed, left, *others = tier.vms
        await killed.kill()
        left.group.leave()
        await asyncio.sleep(1)
        membership = others[0].group.membership
        self.assertEqual(membership.condition(left.address), Condition.LEAVING)
        self.assertNotIn(left.address, [member.address for member in membership.live("dc0")])
        await left.stop()
        await asyncio.sleep(14)
        for vm in others:
            membership = vm.group.membership
            self.assertEqual(membership.condition(killed.address), Condition.GONE)
            self.assertEqual(membership.condition(left.address), Condition.ENDED)
            self.assertEqual(membership.max_active_vms("dc0"), 5)
        again = Vm(0, "dc0", tier.platform, tier.network, (others[0].address,), incarnation=2)
        again.start()
        await asyncio.sleep(3)
        for vm in others:
            found = [
                rejoined
                for rejoined in vm.group.membership.live("dc0")
                if rejoined.address == again.address
            ]
            self.assertEqual([rejoined.incarnation for rejoined in found], [2])
        tier.vms = [again, *others]
        await tier.stop()

    @virtual_time
    async def test_vm_restarted_with_a_lower_incarnation_rejoins(self) -> None:
        tier = Tier(3, 1)
        await tier.start()
        await tier.vms[0].kill()
        await asyncio.sleep(12)
        again = Vm(0, "dc0", tier.platform, tier.network, incarnation=0)
        again.start()
        await asyncio.sleep(5)
        self.assertEqual(len(tier.vms[1].group.membership.live("dc0")), 3)
        self.assertGreater(again.group.membership.own.incarnation, 1)
        tier.vms[0] = again
        await tier.stop()

    @virtual_time
    async def test_paused_vm_is_gone_and_refutes_that_when_it_resumes(self) -> None:
        tier = Tier(6, 1)
        await tier.start()
        paused, *others = tier.vms
        tier.network.paused.add(paused.address)
        await asyncio.sleep(14)
        for vm in others:
            self.assertEqual(vm.group.membership.condition(paused.address), Condition.GONE)
            self.assertEqual(vm.group.membership.max_active_vms("dc0"), 6)
        tier.network.paused.clear()
        await asyncio.sleep(15)
        for vm in tier.vms:
            self.assertEqual(len(vm.group.membership.live("dc0")), 6)
        await tier.stop()

    @virtual_time
    async def test_number_of_links_is_bounded_and_all_vms_are_connected(self) -> None:
        for count in (3, 24, 60):
            tier = Tier(count, 1)
            await tier.start()
            await asyncio.sleep(16)
            max_links = max(len(vm.group.bus.links) for vm in tier.vms)
            self.assertLessEqual(max_links, 14)
            self.assertEqual({len(vm.group.membership.live("dc0")) for vm in tier.vms}, {count})
            await tier.stop()

    def test_ring_of_213_has_diameter_and_degree_of_at_most_8(self) -> None:
        names = [f"10.0.{number}.1:7000" for number in range(213)]
        neighbours: dict[str, set[str]] = {name: set() for name in names}
        for name in names:
            for other in ring_neighbours(name, names):
                neighbours[name].add(other)
                neighbours[other].add(name)
        self.assertLessEqual(max(map(len, neighbours.values())), 8)
        seen = {names[0]}
        distance = 0
        while len(seen) < len(names):
            seen |= {other for name in seen for other in neighbours[name]}
            distance += 1
        self.assertLessEqual(distance, 8)


class InvalidTableTest(unittest.TestCase):
    @virtual_time
    async def test_invalid_stored_table_is_ignored_and_a_valid_one_applies_later(self) -> None:
        tier = Tier(3, 1)
        await tier.start()
        path = "/v1/objects/table/current"
        good = tier.platform.objects[path]
        for body in (b"{", b"[]", b'[[1,[["*"]],[0,0,0]],[],0]'):
            await tier.platform.write(path, body, tier.platform.objects[path].etag)
            await asyncio.sleep(30)
        self.assertEqual({vm.tables.version for vm in tier.vms}, {1})
        await tier.platform.write(path, good.body, tier.platform.objects[path].etag)
        await tier.change()
        await tier.wait_until_in_force(tier.vms, 15.0)
        await tier.stop()
