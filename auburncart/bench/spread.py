"""Measures table propagation and control traffic: delay, links, messages and store calls.

Run ``python -m auburncart.bench.spread VMS DATA_CENTRES CHANGES CASE SEED``. It runs on virtual
time and prints one line of JSON. Cases: ``calm``; ``loss``: one message in ten is lost;
``readers``: the VMs that watch the store for one data centre stop when the table changes; ``cut``:
one data centre is cut off from the store and the other data centres for 20 s when the table
changes, and the delay counts from the end of the cut. Processor time is that of all VMs together,
which run in one process.
"""

import asyncio
import json
import random
import resource
import sys
import time

import async_solipsism

from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.change import Author, Proposal, TableEditor
from auburncart.standins.fakes import FakeStore
from auburncart.standins.memory_network import MemoryNetwork, Vm, make_vms
from auburncart.standins.platform import PlatformModel
from auburncart.state.shards import ShardMap
from auburncart.state.table import Row
from auburncart.state.work import Rank

__all__ = ["measure"]

SETTLE_SECONDS = 20.0
IDLE_SECONDS = 60.0
CHANGE_INTERVAL_SECONDS = 5.0
CUT_SECONDS = 20.0
LOSS_SHARE = 0.1
POLL_SECONDS = 0.005
MAX_PROPAGATION_SECONDS = 60.0
ROWS = 50
FLOORS = (0.0, 0.1, 0.05)


class _Run:
    """Runs one tier of VMs and collects its figures."""

    def __init__(self, vms: int, data_centres: int, case: str, seed: int) -> None:
        self.platform = PlatformModel()
        self.network = MemoryNetwork(seed)
        self.random = random.Random(seed)
        self.case = case
        self.initial_kilobytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.vms = make_vms(vms, data_centres, self.platform, self.network)
        self.editor = TableEditor(FakeStore(self.platform), Author("bench", ""))
        self.version = 0
        self.figures: dict[str, object] = {
            "vms": vms, "data_centres": data_centres, "case": case, "seed": seed
        }  # fmt: skip

    async def run(self, changes: int) -> dict[str, object]:
        """Start, measure and stop the tier, and return its figures."""
        await FakeStore(self.platform).write(SHARD_MAP, ShardMap("s1", 1, {}), "")
        await self._write_table()
        for vm in self.vms:
            vm.start()
        await asyncio.sleep(SETTLE_SECONDS)
        await self._measure_idle()
        if self.case == "loss":
            self.network.loss = LOSS_SHARE
        seconds = [await self._measure_change() for _ in range(changes)]
        self.figures["in_force_seconds"] = {
            "median": round(sorted(seconds)[len(seconds) // 2], 3),
            "most": round(max(seconds), 3),
            "changes": changes,
        }
        await asyncio.gather(*(vm.stop() for vm in self.vms))
        return self.figures

    async def _measure_idle(self) -> None:
        network, platform, count = self.network, self.platform, len(self.vms)
        messages, sent, calls = network.messages, network.sent_bytes, platform.calls
        start = time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        per_vm = count * IDLE_SECONDS
        links = [len(vm.group.bus.links) for vm in self.vms]
        growth = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - self.initial_kilobytes
        self.figures.update(
            links={"mean": round(sum(links) / count, 1), "most": max(links)},
            messages_per_vm_second=round((network.messages - messages) / per_vm, 2),
            bytes_per_vm_second=round((network.sent_bytes - sent) / per_vm),
            store_calls_per_second=round((platform.calls - calls) / IDLE_SECONDS, 2),
            processor_ms_per_vm_second=round((time.process_time() - start) * 1e3 / per_vm, 2),
            kilobytes_per_vm=round(growth / count),
        )

    async def _measure_change(self) -> float:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS * self.random.uniform(0.5, 1.5))
        start = loop.time()
        affected = self._inject_fault()
        await self._write_table()
        if self.case == "cut":
            await asyncio.sleep(CUT_SECONDS)
            start = loop.time()
        self._restore(affected if self.case == "cut" else [])
        excluded = affected if self.case == "readers" else []
        while any(vm.tables.version < self.version for vm in self.vms if vm not in excluded):
            if loop.time() - start > MAX_PROPAGATION_SECONDS:
                return MAX_PROPAGATION_SECONDS
            await asyncio.sleep(POLL_SECONDS)
        seconds = loop.time() - start
        self._restore(affected)
        return seconds

    def _inject_fault(self) -> list[Vm]:
        data_centre = self.random.choice(self.vms).group.membership.own.data_centre
        local_vms = [vm for vm in self.vms if vm.group.membership.own.data_centre == data_centre]
        affected = {
            "readers": [vm for vm in local_vms if vm.group.is_store_reader],
            "cut": local_vms,
        }.get(self.case, [])
        for vm in affected:
            vm.store.unreachable = True
            self.network.partitions[vm.address] = 1
            if self.case == "readers":
                self.network.paused.add(vm.address)
        return affected

    def _restore(self, affected: list[Vm]) -> None:
        for vm in affected:
            vm.store.unreachable = False
            self.network.partitions.pop(vm.address, None)
            self.network.paused.discard(vm.address)

    async def _write_table(self) -> None:
        self.version += 1
        rows = tuple(
            Row(f"customer-{number}", "search", Rank.URGENT, float(self.version))
            for number in range(ROWS)
        )
        change = Proposal(f"c{self.version}", rows, FLOORS, self.version - 1)
        await self.editor.apply(change, 0.0)


def measure(vms: int, data_centres: int, changes: int, case: str, seed: int) -> dict[str, object]:
    """Run one case on virtual time and return its figures."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(_Run(vms, data_centres, case, seed).run(changes))


if __name__ == "__main__":
    vms, data_centres, changes, case, seed = sys.argv[1:6]
    figures = measure(int(vms), int(data_centres), int(changes), case, int(seed))
    sys.stdout.write(json.dumps(figures) + "\n")
