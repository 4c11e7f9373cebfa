"""Measures how the cost of a VM's links to its peers grows: heartbeats, changes, restarts."""

import asyncio
import gc
import time
import tracemalloc
import warnings
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from auburncart.bench.control import make_map, make_table
from auburncart.bench.fit import Point, Slope, fit
from auburncart.bench.run import loop_factory
from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.table import TABLE
from auburncart.protocol.platform import encode_value, object_path
from auburncart.standins.memory_network import MemoryNetwork, Vm, make_vms
from auburncart.standins.platform import PlatformModel

__all__ = ["PEER_SIZES", "TierCost", "measure_tier", "peer_slopes"]

PEER_SIZES = (3, 10, 30, 100)
DATA_CENTRES = 3
SETTLE_SECONDS = 20.0
IDLE_SECONDS = 20.0
CHANGES = 10
RESTARTS = 5
RESTART_INTERVAL_SECONDS = 4.0
MAX_PROPAGATION_SECONDS = 60.0
POLL_SECONDS = 0.01
FIRST_UNUSED_VERSION = CHANGES + 2  # first table version after those of the measured changes
ROWS = 10
REPLICAS = 106


class ResourceUsage(NamedTuple):
    """Resources that all VMs of a tier used during one interval.

    :param cpu: processor time in seconds.
    :param seconds: length of the interval, in virtual seconds.
    :param calls: calls to the store.
    """

    cpu: float
    seconds: float
    sent_bytes: int
    messages: int
    calls: int


class TierCost(NamedTuple):
    """Resources that a tier of one size uses.

    :param propagation_seconds: longest time until a change was in force on all VMs.
    """

    idle: ResourceUsage
    changes: ResourceUsage
    restarts: ResourceUsage
    propagation_seconds: float


class _Tier:
    """VMs that share a platform and an in-memory network with the real message encoding."""

    def __init__(self, count: int) -> None:
        self.platform = PlatformModel()
        self.network = MemoryNetwork()
        self.vms = make_vms(count, DATA_CENTRES, self.platform, self.network)
        self._count = count
        self._etag = ""

    async def start(self) -> None:
        body = encode_value(SHARD_MAP, make_map(REPLICAS))
        await self.platform.write(object_path(SHARD_MAP), body, "")
        await self.change(1)
        for vm in self.vms:
            vm.start()
        await asyncio.sleep(SETTLE_SECONDS)

    async def change(self, version: int) -> None:
        body = encode_value(TABLE, make_table(ROWS, version))
        self._etag = await self.platform.write(object_path(TABLE), body, self._etag)

    async def propagation_seconds(self, version: int) -> float:
        """Change the table and return the time until it is in force on every VM."""
        loop = asyncio.get_running_loop()
        before = loop.time()
        await self.change(version)
        while any(_version(vm) != version for vm in self.vms):
            if loop.time() > before + MAX_PROPAGATION_SECONDS:
                raise RuntimeError(f"table version {version} was not in force on all VMs in time")
            await asyncio.sleep(POLL_SECONDS)
        return loop.time() - before

    async def restart(self, number: int) -> None:
        index = number % self._count
        old = self.vms[index]
        await old.kill()
        data_centre = f"dc{index % DATA_CENTRES}"
        self.vms[index] = Vm(index, data_centre, self.platform, self.network, (), number + 2)
        self.vms[index].start()

    async def stop(self) -> None:
        await asyncio.gather(*(vm.stop() for vm in self.vms))

    async def measure_usage(self, work: Callable[[], Awaitable[None]]) -> ResourceUsage:
        loop = asyncio.get_running_loop()
        network, platform = self.network, self.platform
        before = time.process_time(), loop.time()
        counts = network.sent_bytes, network.messages, platform.calls
        await work()
        return ResourceUsage(
            time.process_time() - before[0],
            loop.time() - before[1],
            network.sent_bytes - counts[0],
            network.messages - counts[1],
            platform.calls - counts[2],
        )


def peer_slopes() -> list[Slope]:
    """Return the cost of tiers of several sizes on virtual time, with the real encoding."""
    costs = {size: measure_tier(size) for size in PEER_SIZES}
    memory = [Point(size, _run(_measure_memory(size)) / size) for size in PEER_SIZES]
    return [
        _slope("idle", "bytes/s sent by a VM", costs, lambda c, n: _rate(c.idle.sent_bytes, c, n)),
        _slope("idle", "messages/s sent by a VM", costs, lambda c, n: _rate(c.idle.messages, c, n)),
        _slope("idle", "us of a core a second", costs, lambda c, n: _rate(c.idle.cpu * 1e6, c, n)),
        _slope("idle", "store calls/s, all VMs", costs, lambda c, n: c.idle.calls / IDLE_SECONDS),
        _slope(
            "a change of the table",
            "bytes sent by a VM",
            costs,
            lambda c, n: _above_idle(c.changes, c.idle, "sent_bytes") / CHANGES / n,
        ),
        _slope(
            "a change of the table",
            "us of a core of a VM",
            costs,
            lambda c, n: _above_idle(c.changes, c.idle, "cpu") / CHANGES / n * 1e6,
        ),
        _slope(
            "a VM lost and replaced",
            "bytes sent by a VM",
            costs,
            lambda c, n: _above_idle(c.restarts, c.idle, "sent_bytes") / RESTARTS / n,
        ),
        _slope(
            "a VM lost and replaced",
            "us of a core of a VM",
            costs,
            lambda c, n: _above_idle(c.restarts, c.idle, "cpu") / RESTARTS / n * 1e6,
        ),
        _slope(
            "a change in force everywhere", "seconds", costs, lambda c, n: c.propagation_seconds
        ),
        fit("membership and links", "VMs", "bytes of memory of a VM", memory),
    ]


def measure_tier(size: int) -> TierCost:
    """Return the cost of a tier of one size on virtual time."""
    return _run(_measure_cost(size))


def _slope(
    name: str,
    unit: str,
    costs: dict[int, TierCost],
    value: Callable[[TierCost, int], float],
) -> Slope:
    points = [Point(size, value(cost, size)) for size, cost in costs.items()]
    return fit(f"peers, {name}", "VMs", unit, points)


def _version(vm: Vm) -> int:
    return vm.tables.table.version if vm.tables.table else 0


def _rate(amount: float, cost: TierCost, vms: int) -> float:
    return amount / cost.idle.seconds / vms


def _above_idle(usage: ResourceUsage, idle: ResourceUsage, field: str) -> float:
    """Return the usage beyond that of an idle interval of the same length."""
    return getattr(usage, field) - getattr(idle, field) / idle.seconds * usage.seconds


def _run(work):  # type: ignore[no-untyped-def]
    with warnings.catch_warnings(), asyncio.Runner(loop_factory=loop_factory()) as runner:
        warnings.simplefilter("ignore")
        return runner.run(work)


async def _measure_cost(size: int) -> TierCost:
    tier = _Tier(size)
    await tier.start()

    async def idle() -> None:
        await asyncio.sleep(IDLE_SECONDS)

    async def changes() -> None:
        for number in range(CHANGES):
            await tier.change(number + 2)
            await asyncio.sleep(1.0)

    async def restarts() -> None:
        for number in range(RESTARTS):
            await tier.restart(number)
            await asyncio.sleep(RESTART_INTERVAL_SECONDS)

    cost = TierCost(
        idle=await tier.measure_usage(idle),
        changes=await tier.measure_usage(changes),
        restarts=await tier.measure_usage(restarts),
        propagation_seconds=max(
            [await tier.propagation_seconds(FIRST_UNUSED_VERSION + number) for number in range(3)]
        ),
    )
    await tier.stop()
    return cost


async def _measure_memory(size: int) -> int:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tier = _Tier(size)
    await tier.start()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    await tier.stop()
    return used
