"""The store is silent to one machine for half a second, while the operator moves a route.

The exit code is 1 if a machine that is in touch again has a request run by the old service, later
than ``configApplyMs`` after the version was acknowledged.
"""

import asyncio
import sys
import time
from pathlib import Path
from typing import NamedTuple

from review.standins.caller import Caller, configuration, hosts, route
from review.standins.case import BROKEN, HELD, TROUBLE, run_case
from review.standins.replica import Replica
from review.standins.store import Store
from review.standins.vm import Vm
from review.standins.wire import Record

SERVICES = ("photo-vault", "billing-ledger")
ZONES = ("quetzal-a", "coban-a")
REPLICAS = 2  # of each service
VMS = 3
CYCLES = 5
SILENT_SECONDS = 0.5
CYCLE_SECONDS = 12.0
CONFIG_APPLY_SECONDS = 3.0
STABLE_WINDOW_SECONDS = 4.0
ANSWER_SECONDS = 0.5  # after which a request has been run; the work takes 10 ms


class Version(NamedTuple):
    """A version of the configuration and when the store acknowledged it."""

    acked_at: float
    number: int
    service: str


class Run(NamedTuple):
    """A request, when and where it was sent, and the service that ran it."""

    sent_at: float
    vm: str
    request_id: str
    service: str


class Operator:
    """Writes versions of the configuration."""

    def __init__(self, store: Store, record: Record) -> None:
        self.versions: list[Version] = []
        self._store = store
        self._record = record

    def publish(self, service: str, timeout_ms: int = 3000) -> None:
        """Write a version that sends the route to a service."""
        number = 3 * len(self.versions) + 4
        routes = [route("fetch", service, timeoutMs=timeout_ms)]
        self._store.write("config", "main", configuration(number, routes, list(SERVICES)))
        self.versions.append(Version(time.monotonic(), number, service))
        self._record.write("operator", f"version {number} acknowledged: /fetch/ to {service}")

    def allowed(self, sent_at: float) -> set[str]:
        """Return the services to which a request may go that is sent at a time."""
        due = [item for item in self.versions if item.acked_at <= sent_at - CONFIG_APPLY_SECONDS]
        known = [item for item in self.versions if item.acked_at <= sent_at + ANSWER_SECONDS]
        newer = known[len(due) :]
        return {version.service for version in (*due[-1:], *newer)}


async def send_requests(caller: Caller, vm: Vm, sent: dict[str, tuple[float, str]]) -> None:
    """Send requests to a VM until cancelled."""
    while True:
        sent_at = time.monotonic()
        answer = await caller.send("GET", "/fetch/1")
        if answer is not None:
            sent[answer.request_id] = (sent_at, vm.name)
        await asyncio.sleep(0.1)


async def run_cycle(store: Store, operator: Operator, vm: str, number: int, record: Record) -> None:
    """Change a time-out, then move the route while the store is silent to one machine."""
    old, new = SERVICES[number % 2], SERVICES[(number + 1) % 2]
    operator.publish(old, 2900)
    await asyncio.sleep(1.0)
    if TROUBLE:
        store.silent_for.add(vm)
        record.write("store", f"is silent to {vm}")
    await asyncio.sleep(SILENT_SECONDS / 2)
    operator.publish(new)
    await asyncio.sleep(SILENT_SECONDS / 2)
    if TROUBLE:
        store.silent_for.discard(vm)
        record.write("store", f"answers {vm} again")
    await asyncio.sleep(CYCLE_SECONDS - 1.0 - SILENT_SECONDS)


async def run(folder: Path, record: Record) -> int:
    """Return the exit code."""
    addresses = hosts()
    host = next(addresses)
    store = Store(host)
    operator = Operator(store, record)
    operator.publish(SERVICES[0])
    replicas = []
    for service in SERVICES:
        for number in range(REPLICAS):
            instance = f"i-{service[:4]}{number}"
            replicas.append(Replica(service, instance, ZONES[number % 2], host, record))
            await replicas[-1].start()
            store.write("servers", instance, replicas[-1].entry())
    vms = []
    for number in range(VMS):
        name, zone = f"edge-{number}", ZONES[number % 2]
        address = await store.listen(name)
        vms.append(Vm(name, zone, next(addresses), folder, address, record))
    callers = [Caller(vm, record) for vm in vms]
    sent: dict[str, tuple[float, str]] = {}
    silences: list[tuple[float, float, str]] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await asyncio.gather(*(vm.start() for vm in vms))
        for caller, vm in zip(callers, vms, strict=True):
            tasks.append(asyncio.create_task(send_requests(caller, vm, sent)))
        await asyncio.sleep(CONFIG_APPLY_SECONDS)
        for number in range(CYCLES):
            name = vms[number % VMS].name
            begin = time.monotonic() + 1.0
            silences.append((begin, begin + SILENT_SECONDS + 0.1, name))
            await run_cycle(store, operator, name, number, record)
    finally:
        for task in tasks:
            task.cancel()
        for caller in callers:
            caller.close()
        await asyncio.gather(*(vm.stop() for vm in vms))
    runs = [
        Run(*sent[request_id], request_id, replica.service)
        for replica in replicas
        for request_id, _ in replica.runs
        if request_id in sent
    ]
    return judge(runs, operator, silences if TROUBLE else [], record)


def judge(
    runs: list[Run], operator: Operator, silences: list[tuple[float, float, str]], record: Record
) -> int:
    """Write the result and return the exit code."""
    record.write("result", f"{len(runs)} requests were run")
    broken = []
    for item in sorted(runs):
        in_touch = not any(
            name == item.vm and begin <= item.sent_at <= end + STABLE_WINDOW_SECONDS
            for begin, end, name in silences
        )
        if in_touch and item.service not in operator.allowed(item.sent_at):
            broken.append(item)
    for item in broken[:40]:
        newest = [one for one in operator.versions if one.acked_at <= item.sent_at][-1]
        record.write(
            "result",
            f"{item.request_id}, sent to {item.vm} {item.sent_at - newest.acked_at:.2f} s after "
            f"the ack of version {newest.number} ({newest.service}), ran at {item.service}",
        )
    record.write("result", f"{len(broken)} requests were run as only an older version allows")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, run))
