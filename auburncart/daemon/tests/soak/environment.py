"""The environment of one run: VMs, replicas, the store, the operator and the callers."""

import asyncio
import random
from pathlib import Path
from typing import Any

from auburncart.daemon.tests.soak.caller import HOST, Caller, RequestKind
from auburncart.daemon.tests.soak.history import ALL, FaultPeriod, History, Version
from auburncart.daemon.tests.soak.replica import POISON, Replica
from auburncart.daemon.tests.soak.store import Store
from auburncart.daemon.tests.soak.tcp_proxy import AddressPool, TcpProxy
from auburncart.daemon.tests.soak.vm import Vm

__all__ = ["BOUNDS", "DRAIN_SECONDS", "MAX_ATTEMPTS", "MIN_SHARE", "TOP_K", "Environment"]

BOUNDS = {
    "graceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56,
}  # fmt: skip
DRAIN_SECONDS = 3.0
DRAINED_LIFE_SECONDS = 2.0  # for which a replica keeps serving after its drain time
ADDRESS_REUSE_SECONDS = 2.0  # after which its address may be given to another replica
MIN_SHARE = 0.5
MAX_ATTEMPTS = 2
TOP_K = 5
DATA_CENTRES = ("dc1", "dc2")
SHARDS = (("a0", "a1", "a2", "a3"), ("b0", "b1", "b2"))  # before and after a repartition
# Most shards are in one region, so that VMs of the other region delegate queries to it.
REPLICA_DATA_CENTRES = {
    **dict.fromkeys(SHARDS[0][1:], ("dc1", "dc1")),
    **dict.fromkeys(SHARDS[1], ("dc2", "dc2")),
}
ONCE = ("o1", "o2")
FETCH = ("f1", "f2")
CALLERS = 10
CLOCK_CHECK_SECONDS = 0.05
MAX_LAG_SECONDS = 0.15  # of this process; beyond it the recorded times are unreliable
KINDS = (
    RequestKind("search", "GET", 1.5, 0.35),
    RequestKind("once", "POST", 3.0, 0.35),
    RequestKind("fetch", "GET", 2.0, 0.3),
)


class Environment:
    """All processes and stand-ins of one run, without the faults and the checks.

    :param vms: number of VMs.
    :param folder: folder for settings and logs.
    :param callers: number of callers.
    """

    def __init__(self, seed: int, vms: int, folder: Path, callers: int = CALLERS) -> None:
        self._callers = callers
        self.rng = random.Random(seed)
        self.history = History()
        self._addresses = AddressPool()
        self.store = Store(self._addresses.next_address(), self.rng)
        self.vms = [
            Vm(
                f"vm{number}",
                DATA_CENTRES[number % 2],
                self._addresses,
                folder,
                self.store.address,
                BOUNDS,
            )
            for number in range(vms)
        ]
        self.replicas: dict[str, tuple[Replica, str]] = {}
        self.late_ticks = 0
        self._routes = {"search": SHARDS[0], "once": (ONCE[0],), "fetch": (FETCH[0],)}
        self._version = 1
        self._instances = 0
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        await self.store.start()
        for service in (*SHARDS[0], *SHARDS[1], *ONCE, *FETCH):
            for data_centre in REPLICA_DATA_CENTRES.get(service, DATA_CENTRES):
                await self.add_replica(service, data_centre)
        self.publish()
        await asyncio.gather(*(vm.start(first_start=True) for vm in self.vms))
        async with asyncio.timeout(30.0):
            while not all(vm.in_rotation for vm in self.vms):
                await asyncio.sleep(0.05)
        self._tasks.append(asyncio.create_task(self._watch_clock()))
        for _ in range(self._callers):
            caller = Caller(self.pick_vm, self._kinds, self.history, self.rng)
            self._tasks.append(asyncio.create_task(caller.run()))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(vm.close() for vm in self.vms))
        for replica, _ in self.replicas.values():
            replica.end()
            replica.proxy.stop()
        self.store.stop()

    def time(self) -> float:
        return asyncio.get_running_loop().time()

    def record_fault(self, vm: str, seconds: float, fault: str) -> None:
        """Record a fault of one VM, of one replica's proxy, or of all, from now on."""
        self.history.fault_periods.append(
            FaultPeriod(vm, self.time(), self.time() + seconds, fault)
        )

    def pick_vm(self) -> Vm:
        """Return a random VM in rotation, or any VM if none is."""
        return self.rng.choice([vm for vm in self.vms if vm.in_rotation] or self.vms)

    async def add_replica(
        self, service: str, data_centre: str, proxy: TcpProxy | None = None
    ) -> Replica:
        """Start a replica and register it in the store."""
        self._instances += 1
        instance = f"i-{self._instances}"
        address = self._addresses.next_address()
        if proxy is None:
            proxy = TcpProxy(self._addresses.next_address(), address)
            await proxy.start()
        replica = Replica(service, instance, self.history, self.rng, address, proxy)
        await replica.start()
        self.replicas[instance] = (replica, data_centre)
        self.store.write("servers", instance, replica.entry(data_centre))
        return replica

    async def replace(self, instance: str) -> None:
        """Drain a replica after starting its replacement, then reuse its address for another."""
        old, data_centre = self.replicas.pop(instance)
        await self.add_replica(old.service, data_centre)
        self.store.write("servers", instance, old.entry(data_centre, "draining"))
        self.history.drained[instance] = self.time()
        await asyncio.sleep(DRAIN_SECONDS + DRAINED_LIFE_SECONDS)
        self.store.remove("servers", instance)
        old.end()
        old.proxy.reset()
        await asyncio.sleep(ADDRESS_REUSE_SECONDS)
        service = self.rng.choice([*ONCE, *FETCH])
        await self.add_replica(service, data_centre, old.proxy)

    def publish(self, **routes: tuple[str, ...]) -> None:
        """Write a configuration to the store, as the operator does.

        :param routes: changed routes; an empty one is removed.
        """
        self._routes = {
            name: services for name, services in {**self._routes, **routes}.items() if services
        }
        self._version += self.rng.randint(1, 3)
        listed = [self._route(name, services) for name, services in self._routes.items()]
        services = {service for services in self._routes.values() for service in services}
        body = {
            "configVersion": self._version,
            "routes": listed,
            "services": [{"name": name, "maxConns": 60} for name in sorted(services)],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 2000,
                "idleTimeoutMs": 5000,
            },
        }  # fmt: skip
        self.store.write("config", "main", body)
        self.history.versions.append(Version(self.time(), self._version, dict(self._routes)))

    async def leave(self, instance: str) -> None:
        """Let a replica end after saying so in its replies only, and start its replacement."""
        old, data_centre = self.replicas.pop(instance)
        await self.add_replica(old.service, data_centre)
        old.faults = old.faults._replace(leaving=True)
        await asyncio.sleep(DRAIN_SECONDS + DRAINED_LIFE_SECONDS)
        self.store.remove("servers", instance)
        old.end()
        old.proxy.reset()
        old.proxy.stop()

    async def send_poison(
        self,
        times: int,
        gap: float,
        route: str = "fetch",
        *,
        hosts: int = 0,
        varies_query: bool = False,
    ) -> None:
        """Send a request that crashes replicas repeatedly.

        :param hosts: number of addresses it comes from, 0 for that of all callers.
        :param varies_query: whether each repetition has another query.
        """
        kind = next(kind for kind in KINDS if kind.route == route)
        addresses = [self._addresses.caller_host(number) for number in range(hosts)]
        callers = [
            Caller(self.pick_vm, lambda: KINDS, self.history, self.rng, host)
            for host in addresses or [""]
        ]
        name = f"{POISON}-{self._version}"
        for number in range(times):
            caller = callers[number % len(callers)]
            if varies_query:
                await caller.send(kind, f"{name}-q{hosts}", f"page={number}")
            else:
                await caller.send(kind, name)
            caller.close()
            await asyncio.sleep(gap)

    def _route(self, name: str, services: tuple[str, ...]) -> dict[str, Any]:
        kind = next((kind for kind in KINDS if kind.route == name), KINDS[2])
        route = {
            "name": name, "host": HOST, "pathPrefix": f"/{name}/",
            "kind": "non_idempotent" if name == "once" else "idempotent",
            "timeoutMs": kind.seconds * 1000.0, "sloMs": 300, "priority": 1,
            "maxAttempts": MAX_ATTEMPTS,
        }  # fmt: skip
        if name == "search":
            return {**route, "gather": list(services), "topK": TOP_K, "minShare": MIN_SHARE}
        if len(services) == 1:
            return {**route, "service": services[0]}
        return {**route, "targets": [{"service": name, "weight": 1} for name in services]}

    def _kinds(self) -> tuple[RequestKind, ...]:
        added = [name for name in self._routes if name.startswith("n")]
        return KINDS + tuple(RequestKind(name, "GET", KINDS[2].seconds, 0.1) for name in added)

    async def _watch_clock(self) -> None:
        """Record when this process itself is late, because its times are unreliable then."""
        while True:
            due = self.time() + CLOCK_CHECK_SECONDS
            await asyncio.sleep(CLOCK_CHECK_SECONDS)
            late = self.time() - due
            if late > MAX_LAG_SECONDS:
                self.late_ticks += 1
                period = FaultPeriod(
                    ALL, due, self.time() + late, f"the soak itself was {late:.2f} s late"
                )
                self.history.fault_periods.append(period)
