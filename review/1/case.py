"""The store forgets its history for some seconds while replicas of a release leave.

The exit code is 1 if processes ended by themselves three times on two machines or more.
"""

import asyncio
import sys
from pathlib import Path

from review.standins.caller import Caller, configuration, hosts, route
from review.standins.case import BROKEN, HELD, TROUBLE, run_case
from review.standins.replica import Replica
from review.standins.store import HISTORY_SECONDS, Store
from review.standins.vm import Vm
from review.standins.wire import Record

SERVICE = "photo-vault"
PATHS = ("/fetch/one", "/fetch/two")
VMS = 4
STABLE_REPLICAS = 3
RELEASED_REPLICAS = 6  # of which each cycle has others
CYCLES = 10
BEAT_SECONDS = 1.2
DRAIN_SECONDS = 3.0
COLD_SECONDS = 3.0
FORGETFUL_SECONDS = 4.0  # for which the store keeps its history for a short time only
SHORT_HISTORY_SECONDS = 0.2
CYCLE_SECONDS = 9.5
ENDS = 3  # of a machine's process
ZONES = ("quetzal-a", "coban-a")


class Release:
    """Replaces some replicas by new ones, which are cold at first; the old ones drain."""

    def __init__(self, store: Store, host: str, record: Record) -> None:
        self._store = store
        self._host = host
        self._record = record
        self._count = 0
        self._current: list[Replica] = []

    async def start_new(self) -> None:
        """Start the next replicas; each reports every beat how long it is still cold."""
        self._current = []
        for number in range(RELEASED_REPLICAS):
            self._count += 1
            zone = ZONES[number % 2]
            replica = Replica(SERVICE, f"i-r{self._count:03}", zone, self._host, self._record)
            await replica.start()
            self._current.append(replica)
            asyncio.get_running_loop().create_task(self._warm_up(replica, number))

    async def _warm_up(self, replica: Replica, number: int) -> None:
        await asyncio.sleep(number * BEAT_SECONDS / RELEASED_REPLICAS)
        cold = COLD_SECONDS
        while cold > -BEAT_SECONDS:
            entry = replica.entry(cold_ms=int(1000 * max(0.0, cold)))
            self._store.write("servers", replica.instance, entry)
            await asyncio.sleep(BEAT_SECONDS)
            cold -= BEAT_SECONDS

    def drain(self) -> list[Replica]:
        """Let the current replicas report that they are draining."""
        for replica in self._current:
            self._store.write("servers", replica.instance, replica.entry("draining"))
        self._record.write("platform", f"{len(self._current)} replicas report draining")
        return self._current

    def leave(self, replicas: list[Replica]) -> None:
        """Let replicas that have drained exit, and remove their entries."""
        for replica in replicas:
            self._store.remove("servers", replica.instance)
            replica.stop()
        self._record.write("platform", f"{len(replicas)} replicas have left")


async def run_cycle(store: Store, release: Release, record: Record) -> None:
    """Replace the released replicas once, while the store forgets its history."""
    old = release.drain()
    await asyncio.sleep(DRAIN_SECONDS + 0.5)
    if TROUBLE:
        record.write("store", "drops its history, cuts the waiting watches, keeps 0.2 s of history")
        store.history_seconds = SHORT_HISTORY_SECONDS
        store.cut_watches()
    await asyncio.sleep(0.5)
    release.leave(old)
    await release.start_new()
    await asyncio.sleep(FORGETFUL_SECONDS - 0.5)
    store.history_seconds = HISTORY_SECONDS
    if TROUBLE:
        record.write("store", "keeps its history again")
    await asyncio.sleep(CYCLE_SECONDS - DRAIN_SECONDS - 0.5 - FORGETFUL_SECONDS)


async def run(folder: Path, record: Record) -> int:
    """Return the exit code."""
    addresses = hosts()
    host = next(addresses)
    store = Store(host)
    await store.start()
    store.write("config", "main", configuration(3, [route("fetch", SERVICE)], [SERVICE]))
    for number in range(STABLE_REPLICAS):
        replica = Replica(SERVICE, f"i-s{number}", ZONES[number % 2], host, record)
        await replica.start()
        store.write("servers", replica.instance, replica.entry())
    release = Release(store, host, record)
    await release.start_new()
    vms = [
        Vm(f"edge-{number}", ZONES[number % 2], next(addresses), folder, store.address, record)
        for number in range(VMS)
    ]
    callers = [Caller(vm, record) for vm in vms for _ in range(2)]
    tasks: list[asyncio.Task[None]] = []
    try:
        await asyncio.gather(*(vm.start() for vm in vms))
        tasks += [asyncio.create_task(caller.run(PATHS, 0.1)) for caller in callers]
        await asyncio.sleep(COLD_SECONDS)
        for _ in range(CYCLES):
            await run_cycle(store, release, record)
    finally:
        for task in tasks:
            task.cancel()
        for caller in callers:
            caller.close()
        await asyncio.gather(*(vm.stop() for vm in vms))
    return judge(vms, callers, record)


def judge(vms: list[Vm], callers: list[Caller], record: Record) -> int:
    """Write the result and return the exit code."""
    answers = [answer for caller in callers for answer in caller.answers]
    cut_off = sum(answer.status == 0 for answer in answers)
    record.write("result", f"{len(answers)} requests were sent, {cut_off} ended without an answer")
    for vm in vms:
        record.write("result", f"{vm.name} ended by itself {len(vm.own_ends)} times")
        for line in vm.logged("TaskFailed"):
            record.write("result", line)
    failing = sum(len(vm.own_ends) >= ENDS for vm in vms)
    record.write("result", f"{failing} of {VMS} machines ended {ENDS} times or more")
    return BROKEN if failing >= max(2, VMS // 10) else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, run))
