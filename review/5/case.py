"""The store is silent to a third of the machines while a crash is reported.

A request then comes again and again that crashes each replica that runs it. The exit code is 1 if
it reaches replicas in more than three retries, sent by machines that are in touch later than
``stableWindowMs`` after it has crashed the third.
"""

import asyncio
import sys
import time
from pathlib import Path

from review.standins.caller import Caller, configuration, hosts, route
from review.standins.case import BROKEN, HELD, TROUBLE, run_case
from review.standins.crashing import POISON, CrashingReplica
from review.standins.store import Store
from review.standins.vm import Vm
from review.standins.wire import Record

SERVICE = "photo-vault"
ZONES = ("quetzal-a", "coban-a")
REPLICAS = 9
VMS = 9
SILENT_VMS = 3  # 0.35 of the machines, rounded down
SILENT_SECONDS = 0.5
STABLE_WINDOW_SECONDS = 4.0
MAX_RETRIES = 3
CRASHES = 3
ROUNDS = 3  # in which the request comes to each of the machines
GAP_SECONDS = 0.4
PATH = f"/fetch/{POISON}"


async def send_poison(vm: Vm, record: Record, sent: dict[str, tuple[float, str]]) -> None:
    """Send the request to one machine, on a new connection."""
    caller = Caller(vm, record)
    sent_at = time.monotonic()
    answer = await caller.send("GET", PATH)
    if answer is not None:
        sent[answer.request_id] = (sent_at, vm.name)
    caller.close()


async def run(folder: Path, record: Record) -> int:
    """Return the exit code."""
    addresses = hosts()
    host = next(addresses)
    store = Store(host)
    store.write("config", "main", configuration(3, [route("fetch", SERVICE)], [SERVICE]))
    replicas = []
    for number in range(REPLICAS):
        replica = CrashingReplica(SERVICE, f"i-s{number}", ZONES[number % 2], host, record)
        await replica.start()
        store.write("servers", replica.instance, replica.entry())
        replicas.append(replica)
    vms = []
    for number in range(VMS):
        name, zone = f"edge-{number}", ZONES[number % 2]
        address = await store.listen(name)
        vms.append(Vm(name, zone, next(addresses), folder, address, record))
    sent: dict[str, tuple[float, str]] = {}
    cut, others = vms[:SILENT_VMS], vms[SILENT_VMS:]
    try:
        await asyncio.gather(*(vm.start() for vm in vms))
        await asyncio.sleep(STABLE_WINDOW_SECONDS)
        if TROUBLE:
            store.silent_for.update(vm.name for vm in cut)
            record.write("store", f"is silent to {[vm.name for vm in cut]}")
        await send_poison(others[0], record, sent)
        await asyncio.sleep(SILENT_SECONDS)
        store.silent_for.clear()
        record.write("store", "answers all machines")
        for vm in others[:3]:
            await send_poison(vm, record, sent)
            await asyncio.sleep(GAP_SECONDS)
        await asyncio.sleep(STABLE_WINDOW_SECONDS + 1.0)
        for _ in range(ROUNDS):
            for vm in vms:
                await send_poison(vm, record, sent)
                await asyncio.sleep(GAP_SECONDS)
    finally:
        await asyncio.gather(*(vm.stop() for vm in vms))
    return judge(replicas, sent, record)


def judge(
    replicas: list[CrashingReplica], sent: dict[str, tuple[float, str]], record: Record
) -> int:
    """Write the result and return the exit code."""
    crashes = sorted(
        (at, request_id) for replica in replicas for request_id, at in replica.crashes.items()
    )
    record.write("result", f"the request was sent {len(sent)} times, {len(crashes)} crashes")
    if len(crashes) < CRASHES:
        return HELD
    late_from = crashes[CRASHES - 1][0] + STABLE_WINDOW_SECONDS
    ran = {request_id for _, request_id in crashes}
    late = sorted(item for key, item in sent.items() if key in ran and item[0] > late_from)
    for sent_at, vm in late:
        after = sent_at - crashes[CRASHES - 1][0]
        record.write("result", f"a retry at {vm}, {after:.2f} s after the third crash, ran")
    record.write("result", f"{len(late)} such retries, {MAX_RETRIES} are allowed")
    return BROKEN if len(late) > MAX_RETRIES else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, run))
