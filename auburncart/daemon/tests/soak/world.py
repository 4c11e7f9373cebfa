"""The world of one run: VMs, replicas, the store, the operator and the callers."""

import asyncio
import random
from pathlib import Path
from typing import Any

from auburncart.daemon.tests.soak.caller import HOST, Caller, Kind
from auburncart.daemon.tests.soak.ledger import ALL, Ledger, Span, Version
from auburncart.daemon.tests.soak.link import Link, Places
from auburncart.daemon.tests.soak.replica import POISON, Replica
from auburncart.daemon.tests.soak.store import Store
from auburncart.daemon.tests.soak.vm import Vm

__all__ = ["BOUNDS", "DRAIN_SECONDS", "LEAST_SHARE", "MOST_ATTEMPTS", "TOP", "World"]

BOUNDS = {
    "graceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56,
}  # fmt: skip
DRAIN_SECONDS = 3.0
LEAVE_SECONDS = 2.0  # for which a drained replica serves beyond its time
REUSE_SECONDS = 2.0  # after which its address may be another one's
LEAST_SHARE = 0.5
MOST_ATTEMPTS = 2
TOP = 5
DATA_CENTRES = ("dc1", "dc2")
SHARDS = (("a0", "a1", "a2", "a3"), ("b0", "b1", "b2"))  # before and after a repartition
# Most shards stand in one region, so that VMs of the other one have them asked there.
HOMES = {
    **dict.fromkeys(SHARDS[0][1:], ("dc1", "dc1")),
    **dict.fromkeys(SHARDS[1], ("dc2", "dc2")),
}
ONCE = ("o1", "o2")
FETCH = ("f1", "f2")
CALLERS = 10
BEAT_SECONDS = 0.05
HIGH_LAG_SECONDS = 0.15  # of this process: beyond it, its own clock is no witness
KINDS = (
    Kind("search", "GET", 1.5, 0.35),
    Kind("once", "POST", 3.0, 0.35),
    Kind("fetch", "GET", 2.0, 0.3),
)


class World:
    """Everything but the faults and the judgement.

    :param vms: number of VMs.
    :param folder: where logs are kept.
    :param callers: number of callers.
    """

    def __init__(self, seed: int, vms: int, folder: Path, callers: int = CALLERS) -> None:
        self._callers = callers
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self._places = Places()
        self.store = Store(self._places.port(), self.rng)
        self.vms = [
            Vm(
                f"vm{number}",
                DATA_CENTRES[number % 2],
                self._places,
                folder,
                self.store.address,
                BOUNDS,
            )
            for number in range(vms)
        ]
        self.replicas: dict[str, tuple[Replica, str]] = {}
        self.lags = 0
        self._routes = {"search": SHARDS[0], "once": (ONCE[0],), "fetch": (FETCH[0],)}
        self._number = 1
        self._instances = 0
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        await self.store.start()
        for service in (*SHARDS[0], *SHARDS[1], *ONCE, *FETCH):
            for data_centre in HOMES.get(service, DATA_CENTRES):
                await self.add_replica(service, data_centre)
        self.publish()
        await asyncio.gather(*(vm.start(first=True) for vm in self.vms))
        async with asyncio.timeout(30.0):
            while not all(vm.in_rotation for vm in self.vms):
                await asyncio.sleep(0.05)
        self._tasks.append(asyncio.create_task(self._watch_clock()))
        for _ in range(self._callers):
            caller = Caller(self.pick_vm, self._kinds, self.ledger, self.rng)
            self._tasks.append(asyncio.create_task(caller.run()))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(vm.close() for vm in self.vms))
        for replica, _ in self.replicas.values():
            replica.stop()
            replica.link.stop()
        self.store.stop()

    def time(self) -> float:
        return asyncio.get_running_loop().time()

    def trouble(self, vm: str, seconds: float, what: str) -> None:
        """Note that a VM, or all of them, are troubled from now on."""
        self.ledger.spans.append(Span(vm, self.time(), self.time() + seconds, what))

    def pick_vm(self) -> Vm:
        """Return a VM that takes callers; any one if none does."""
        return self.rng.choice([vm for vm in self.vms if vm.in_rotation] or self.vms)

    async def add_replica(
        self, service: str, data_centre: str, link: Link | None = None
    ) -> Replica:
        """Start a replica, and list it."""
        self._instances += 1
        instance = f"i-{self._instances}"
        address = self._places.port()
        if link is None:
            link = Link(self._places.port(), address)
            await link.start()
        replica = Replica(service, instance, self.ledger, self.rng, address, link)
        await replica.start()
        self.replicas[instance] = (replica, data_centre)
        self.store.write("servers", instance, replica.entry(data_centre))
        return replica

    async def replace(self, instance: str) -> None:
        """Drain a replica after another one has come, then give its address to a third one."""
        old, data_centre = self.replicas.pop(instance)
        await self.add_replica(old.service, data_centre)
        self.store.write("servers", instance, old.entry(data_centre, "draining"))
        self.ledger.drained[instance] = self.time()
        await asyncio.sleep(DRAIN_SECONDS + LEAVE_SECONDS)
        self.store.remove("servers", instance)
        old.stop()
        old.link.reset()
        await asyncio.sleep(REUSE_SECONDS)
        service = self.rng.choice([*ONCE, *FETCH])
        await self.add_replica(service, data_centre, old.link)

    def publish(self, **routes: tuple[str, ...]) -> None:
        """Put a configuration into the store as the operator does.

        :param routes: routes that change; an empty one goes.
        """
        self._routes = {
            name: services for name, services in {**self._routes, **routes}.items() if services
        }
        self._number += self.rng.randint(1, 3)
        listed = [self._route(name, services) for name, services in self._routes.items()]
        services = {service for services in self._routes.values() for service in services}
        body = {
            "configVersion": self._number,
            "routes": listed,
            "services": [{"name": name, "maxConns": 60} for name in sorted(services)],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 2000,
                "idleTimeoutMs": 5000,
            },
        }  # fmt: skip
        self.store.write("config", "main", body)
        self.ledger.versions.append(Version(self.time(), self._number, dict(self._routes)))

    async def send_poison(self, times: int, gap: float) -> None:
        """Let a caller send a request that crashes replicas, again and again."""
        caller = Caller(self.pick_vm, lambda: KINDS, self.ledger, self.rng)
        for _ in range(times):
            await caller.send(KINDS[2], f"{POISON}-{self._number}")
            caller.close()
            await asyncio.sleep(gap)

    def _route(self, name: str, services: tuple[str, ...]) -> dict[str, Any]:
        kind = next((kind for kind in KINDS if kind.route == name), KINDS[2])
        route = {
            "name": name, "host": HOST, "pathPrefix": f"/{name}/",
            "kind": "non_idempotent" if name == "once" else "idempotent",
            "timeoutMs": kind.seconds * 1000.0, "sloMs": 300, "priority": 1,
            "maxAttempts": MOST_ATTEMPTS,
        }  # fmt: skip
        if name == "search":
            return {**route, "gather": list(services), "topK": TOP, "minShare": LEAST_SHARE}
        if len(services) == 1:
            return {**route, "service": services[0]}
        return {**route, "targets": [{"service": name, "weight": 1} for name in services]}

    def _kinds(self) -> tuple[Kind, ...]:
        added = [name for name in self._routes if name.startswith("n")]
        return KINDS + tuple(Kind(name, "GET", KINDS[2].seconds, 0.1) for name in added)

    async def _watch_clock(self) -> None:
        """Note when this process itself is late, for its times are no evidence then."""
        while True:
            due = self.time() + BEAT_SECONDS
            await asyncio.sleep(BEAT_SECONDS)
            late = self.time() - due
            if late > HIGH_LAG_SECONDS:
                self.lags += 1
                span = Span(ALL, due, self.time() + late, f"the soak itself was {late:.2f} s late")
                self.ledger.spans.append(span)
