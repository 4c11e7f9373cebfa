"""Tests that VMs share connections by seats through joins, leaves, crashes, pauses and outages."""

import asyncio
import random
import unittest

from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.seats import SeatShares
from auburncart.standins.fakes import FakeStore
from auburncart.standins.fleet import MemoryNetwork, Vm
from auburncart.standins.platform import PlatformModel, WriteFault
from auburncart.state.seat import Seat
from auburncart.state.shards import Replica, ShardMap
from auburncart.tests.virtual import virtual_time

REPLICAS = (
    Replica("10.1.0.1:80", "dc0", max_connections=25),
    Replica("10.1.0.2:80", "dc0", max_connections=7),
)


class Connections:
    """Replaces a VM's upstreams: holds as many connections as allowed, and closes idle ones."""

    def __init__(self, site: "Site", shares: SeatShares, seed: int) -> None:
        self._site = site
        self._shares = shares
        self._random = random.Random(seed)
        self.frozen = False
        self.counts = dict.fromkeys(REPLICAS, 0)

    def connection_counts(self) -> list[tuple[Replica, int]]:
        return list(self.counts.items())

    def trim_connections(self) -> None:
        for replica in REPLICAS:
            allowed = self._shares.max_connections(replica)
            busy = self.counts[replica] > allowed and self._random.random() < 0.5
            if not self.frozen and not busy:
                self.counts[replica] = allowed
        self._site.check()


class Site:
    """VMs of one data centre that share two replicas."""

    def __init__(self) -> None:
        self.platform = PlatformModel()
        self.network = MemoryNetwork()
        self.random = random.Random(7)
        self.vms: dict[Vm, Connections] = {}
        self.number = 0
        self.violations: list[tuple[int, Replica]] = []

    async def start(self, count: int) -> None:
        await FakeStore(self.platform).write(SHARD_MAP, ShardMap("s1", 1, {}), "")
        for _ in range(count):
            self.join()
        await asyncio.sleep(15)

    def join(self, number: int = 0, incarnation: int = 1) -> Vm:
        self.number += not number
        number = number or self.number
        vm = Vm(number, "dc0", self.platform, self.network, incarnation=incarnation)
        shares = SeatShares(Seat(vm.address, incarnation), "dc0", 1)
        self.vms[vm] = Connections(self, shares, number)
        vm.group.share_connections(shares, self.vms[vm])
        self.list_vms()
        vm.start()
        return vm

    async def leave(self, vm: Vm) -> None:
        connections = self.vms[vm]
        connections.frozen = True
        connections.counts = dict.fromkeys(REPLICAS, 0)
        await vm.stop()
        del self.vms[vm]
        self.list_vms()

    async def kill(self, vm: Vm) -> None:
        """Kill a VM: its connections close, and its seat stays."""
        vm.store.cut = True
        self.vms.pop(vm).frozen = True
        await vm.kill()
        self.list_vms()

    def pause(self, vm: Vm, paused: bool) -> None:
        self.vms[vm].frozen = paused
        vm.store.cut = paused
        if paused:
            self.network.paused.add(vm.address)
        else:
            self.network.paused.discard(vm.address)

    def list_vms(self) -> None:
        self.platform.set_members(
            [{"address": vm.address, "data_centre": "dc0"} for vm in self.vms]
        )

    def held(self, replica: Replica) -> int:
        return sum(connections.counts[replica] for connections in self.vms.values())

    def check(self) -> None:
        for replica in REPLICAS:
            if self.held(replica) > replica.max_connections:
                self.violations.append((self.held(replica), replica))

    async def seconds_to_full_use(self, limit: float) -> float:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while any(self.held(replica) < replica.max_connections for replica in REPLICAS):
            if loop.time() - started_at > limit:
                raise AssertionError(f"held {[self.held(replica) for replica in REPLICAS]}")
            await asyncio.sleep(0.05)
        return loop.time() - started_at

    async def stop(self) -> None:
        for vm in list(self.vms):
            await self.leave(vm)
        if self.violations:
            raise AssertionError(f"{len(self.violations)} violations, first {self.violations[0]}")


class SeatingTest(unittest.TestCase):
    @virtual_time
    async def test_all_connections_are_in_use_within_seconds_of_joins_and_leaves(self) -> None:
        site = Site()
        await site.start(3)
        await site.seconds_to_full_use(1.0)
        newcomer = site.join()
        await asyncio.sleep(10)
        self.assertGreater(site.vms[newcomer].counts[REPLICAS[0]], 5)
        await site.seconds_to_full_use(1.0)
        await site.leave(next(iter(site.vms)))
        await site.seconds_to_full_use(10.0)
        await site.stop()

    @virtual_time
    async def test_limits_hold_while_vms_join_leave_pause_and_are_partitioned(self) -> None:
        site = Site()
        await site.start(5)
        for _ in range(60):
            vm = site.random.choice(list(site.vms))
            step = site.random.choice(("join", "leave", "kill", "pause", "cut", "lost"))
            if step == "join" and len(site.vms) < 9:
                site.join()
            elif step in ("leave", "kill") and len(site.vms) > 3:
                await (site.leave if step == "leave" else site.kill)(vm)
            elif step == "pause":
                site.pause(vm, not site.vms[vm].frozen)
            elif step == "cut":
                for other in site.vms:
                    site.network.sides[other.address] = site.random.randrange(2)
            elif step == "lost":
                site.platform.fail_next_write(WriteFault.LOST_REPLY)
            await asyncio.sleep(site.random.uniform(0.1, 6.0))
        site.network.sides.clear()
        for vm in site.vms:
            site.pause(vm, False)
        await asyncio.sleep(180)
        await site.seconds_to_full_use(30.0)
        await site.stop()

    @virtual_time
    async def test_killed_vms_seat_is_reclaimed_only_when_the_platform_confirms_its_end(
        self,
    ) -> None:
        site = Site()
        await site.start(3)
        await site.kill(next(iter(site.vms)))
        await asyncio.sleep(60)
        self.assertLess(site.held(REPLICAS[0]), REPLICAS[0].max_connections)
        await asyncio.sleep(100)
        await site.seconds_to_full_use(10.0)
        await site.stop()

    @virtual_time
    async def test_process_restarted_in_an_outage_takes_its_seat_and_a_new_vm_is_not_ready(
        self,
    ) -> None:
        site = Site()
        await site.start(3)
        first, second, _ = site.vms
        site.platform.set_outage(True)
        await site.kill(first)
        await asyncio.sleep(2)
        seeds = {second.address}
        restarted = site.join(1, incarnation=2)
        new = site.join()
        for vm in (restarted, new):
            vm.group.membership.candidate_addresses.update(seeds)
        await site.seconds_to_full_use(20.0)
        self.assertEqual(restarted.group.not_ready_reason, "no table from the store or a peer")
        self.assertEqual(sum(site.vms[new].counts.values()), 0)
        self.assertIn("no seat", new.group.not_ready_reason)
        site.platform.set_outage(False)
        await asyncio.sleep(40)
        self.assertGreater(sum(site.vms[new].counts.values()), 0)
        await site.seconds_to_full_use(1.0)
        await site.stop()
