"""A scenario's environment on virtual time: the coordination code runs over stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable

from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.policies import Policies, baseline_policies, default_policies
from auburncart.coordination.table import TABLE
from auburncart.exception import AuburncartError
from auburncart.protocol.platform import encode_value, object_path
from auburncart.scenario.environment import (
    Environment,
    Outcome,
    idempotency_key,
    order_outcome,
    refusal_outcome,
    search_outcome,
)
from auburncart.scenario.freeze import FreezableDialer, FreezableStore, FreezeSwitch
from auburncart.scenario.language import Command
from auburncart.standins.fakes import (
    FakeBus,
    FakeDialer,
    FakeMembership,
    FakeNetwork,
    FakeStore,
)
from auburncart.standins.platform import PlatformModel, WriteFault
from auburncart.standins.site import DEMO_TABLE, demo_hits, make_shard_map, publish
from auburncart.standins.upstream import UpstreamModel, UpstreamProfile
from auburncart.state.member import Member
from auburncart.state.order import OrderRequest
from auburncart.state.search import SearchRequest
from auburncart.state.shards import ShardMap
from auburncart.state.table import TableDocument
from auburncart.state.upstream import UpstreamCondition

__all__ = ["VirtualTimeEnvironment"]

MAX_CONCURRENT_REQUESTS = 16
FIRST_SNAPSHOT = "s1"

POLICIES: dict[str, Callable[[int], Policies]] = {
    "baseline": lambda vms: baseline_policies(MAX_CONCURRENT_REQUESTS, vms),
    "default": lambda vms: default_policies(vms),
}


class _Vm:
    """One VM with its own connections to the store and to the upstreams."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        platform: PlatformModel,
        models: dict[str, UpstreamModel],
        network: FakeNetwork,
    ) -> None:
        self._network = network
        self.name = name
        self.data_centre = data_centre
        self.freeze_switch = FreezeSwitch()
        self.store = FakeStore(platform)
        self.dialer = FakeDialer(models)
        self.incarnation = 0
        self.node: Node | None = None

    @property
    def member(self) -> Member:
        """The membership entry of this VM's current process."""
        return Member(self.name, self.data_centre, self.incarnation)

    def start(self, policies: Policies, members: tuple[Member, ...]) -> None:
        """Start a new process of this VM, without any state of an earlier one."""
        self.incarnation += 1
        self.freeze_switch.thaw()
        store = FreezableStore(self.store, self.freeze_switch)
        dialer = FreezableDialer(self.dialer, self.freeze_switch)
        name = f"{self.name}.{self.incarnation}"
        self.node = Node(name, self.data_centre, store, dialer, policies, NullObserver())
        bus = FakeBus(self.member, self._network)
        self.node.route_claims_to_owners(FakeMembership(self.member, members), bus)
        policies.quarantine.exchange_losses(bus)
        self.node.start()

    async def stop(self) -> None:
        """Stop the process at once."""
        self._network.buses.pop(self.name, None)
        node, self.node = self.node, None
        if node is not None:
            await node.stop()


class VirtualTimeEnvironment(Environment):
    """Runs VMs, upstreams and the platform as objects in one event loop."""

    def __init__(self) -> None:
        self._started_at = asyncio.get_running_loop().time()
        self._platform = PlatformModel()
        self._models: dict[str, UpstreamModel] = {}
        self._addresses: dict[str, str] = {}
        self._network = FakeNetwork()
        self._vms: dict[str, _Vm] = {}
        self._requests: dict[str, set[asyncio.Task]] = {}
        self._shard_map: ShardMap | None = None
        self._counted_sub_queries: dict[str, int] = {}
        self._policies = "default"
        self._actions: dict[str, Callable[[Command], Awaitable[None]]] = {
            "site": self._site,
            "start": self._start,
            "stop": self._stop,
            "kill": self._kill,
            "restart": self._restart,
            "freeze": self._freeze,
            "thaw": self._thaw,
            "cut": self._cut,
            "heal": self._heal,
            "slow": self._slow,
            "condition": self._condition,
            "poison": self._poison,
            "outage": self._outage,
            "lose": self._lose,
            "publish": self._publish,
            "apply": self._apply,
            "count": self._count,
        }

    def time(self) -> float:
        """Return the seconds since the scenario started."""
        return asyncio.get_running_loop().time() - self._started_at

    async def act(self, command: Command) -> None:
        """Run a command other than a request, ``wait`` or ``expect``."""
        await self._actions[command.verb](command)

    async def search(self, command: Command) -> Outcome:
        """Send a search to a VM and return its outcome."""
        options = command.options
        request = SearchRequest(
            options.get("as", f"line{command.line}"),
            options.get("customer", "ladera"),
            options.get("kind", "closure"),
            options.get("query", "net"),
            self._deadline(options),
        )
        node = self._node(command)
        result = await self._run_request(command.words[0], node.searches.search(request))
        if result.is_error():
            return refusal_outcome(result.error)
        return search_outcome(result.ok)

    async def order(self, command: Command) -> Outcome:
        """Send an order to a VM and return its outcome."""
        options = command.options
        request = OrderRequest(
            options.get("as", f"line{command.line}"),
            idempotency_key(options["key"], self._started_at),
            options.get("customer", "ladera"),
            options.get("kind", "closure"),
            options.get("shard", "shard-00"),
            options.get("text", "mend the net"),
            self._deadline(options),
            options.get("repeat") == "yes",
        )
        node = self._node(command)
        result = await self._run_request(command.words[0], node.orders.order(request))
        if result.is_error():
            return refusal_outcome(result.error)
        return order_outcome(result.ok)

    async def effects(self, key: str) -> int:
        """Return how often an order took effect, summed over all upstreams."""
        done = [effect for model in self._models.values() for effect in model.effects]
        return sum(effect.key == idempotency_key(key, self._started_at) for effect in done)

    async def lost_upstreams(self) -> int:
        """Return the number of upstreams that are down."""
        return sum(not model.alive for model in self._models.values())

    async def sub_queries(self, upstream: str) -> int:
        """Return the number of sub-queries that an upstream received since the last ``count``."""
        return self._upstream_model(upstream).sub_queries - self._counted_sub_queries.get(
            upstream, 0
        )

    async def table_version(self, vm: str) -> int:
        """Return the version of the table in force on a VM, 0 for none."""
        node = self._vms[vm].node
        table = node.tables.table if node else None
        return table.version if table else 0

    async def close(self) -> None:
        """Stop all VMs."""
        for vm in self._vms.values():
            vm.freeze_switch.thaw()
            await vm.stop()

    async def _run_request(self, vm: str, call):  # type: ignore[no-untyped-def]
        """Run a request that is cancelled if its VM is killed; its outcome is then not known."""
        task = asyncio.ensure_future(call)
        self._requests.setdefault(vm, set()).add(task)
        try:
            return await task
        except asyncio.CancelledError:
            raise AuburncartError("connection lost", step="reply", peer=vm) from None
        finally:
            self._requests[vm].discard(task)

    def _deadline(self, options: dict[str, str]) -> float:
        return asyncio.get_running_loop().time() + float(options.get("seconds", "1"))

    def _node(self, command: Command) -> Node:
        vm = self._vms.get(command.words[0])
        if vm is None or vm.node is None:
            raise AuburncartError("VM is not running", step="connect", peer=command.words[0])
        return vm.node

    def _upstream_model(self, name: str) -> UpstreamModel:
        return self._models[self._addresses[name]]

    async def _site(self, command: Command) -> None:
        options = command.options
        self._policies = options.get("policies", "default")
        data_centres = [
            f"dc{number + 1}" for number in range(int(options.get("data_centres", "1")))
        ]
        profiles, upstream_data_centres = [], []
        for shard in range(int(options.get("shards", "4"))):
            for replica in range(int(options.get("replicas", "2"))):
                name = f"shard-{shard:02}"
                profile = UpstreamProfile(
                    f"10.0.{shard}.{replica}:80", FIRST_SNAPSHOT, {name: demo_hits(name)}
                )
                self._models[profile.address] = UpstreamModel(
                    profile, int(options.get("seed", "0")) * 1000 + shard * 10 + replica
                )
                self._addresses[f"{name}/{replica}"] = profile.address
                profiles.append(profile)
                upstream_data_centres.append(data_centres[replica % len(data_centres)])
        self._shard_map = make_shard_map(
            profiles, upstream_data_centres, int(options.get("batch", "1"))
        )
        await publish(self._platform, self._shard_map, DEMO_TABLE)
        for number in range(int(options.get("vms", "1"))):
            name = f"vm{number + 1}"
            data_centre = data_centres[number % len(data_centres)]
            self._vms[name] = _Vm(name, data_centre, self._platform, self._models, self._network)
        for vm in self._vms.values():
            self._start_vm(vm)
        await asyncio.sleep(0.1)

    def _start_vm(self, vm: _Vm) -> None:
        members = tuple(other.member for other in self._vms.values())
        vm.start(POLICIES[self._policies](max(1, len(self._vms))), members)

    async def _start(self, command: Command) -> None:
        self._start_vm(self._vms[command.words[0]])
        await asyncio.sleep(0.1)

    async def _stop(self, command: Command) -> None:
        await self._vms[command.words[0]].stop()

    async def _kill(self, command: Command) -> None:
        target, name = command.words
        if target == "upstream":
            self._upstream_model(name).kill()
            return
        for task in self._requests.get(name, set()):
            task.cancel()
        await self._vms[name].stop()

    async def _restart(self, command: Command) -> None:
        target, name = command.words
        if target == "upstream":
            self._upstream_model(name).restart()
        else:
            self._start_vm(self._vms[name])

    async def _freeze(self, command: Command) -> None:
        self._vms[command.words[0]].freeze_switch.freeze()

    async def _thaw(self, command: Command) -> None:
        self._vms[command.words[0]].freeze_switch.thaw()

    async def _cut(self, command: Command) -> None:
        vm, other = command.words
        if other == "store":
            self._vms[vm].store.unreachable = True
        elif other in self._vms:
            self._network.cut(vm, other)
        else:
            self._vms[vm].dialer.unreachable.add(self._addresses[other])

    async def _heal(self, command: Command) -> None:
        self._network.heal()
        for vm in self._vms.values():
            vm.store.unreachable = False
            vm.dialer.unreachable.clear()

    async def _slow(self, command: Command) -> None:
        self._upstream_model(command.words[0]).set_slowdown(float(command.words[1]))

    async def _condition(self, command: Command) -> None:
        self._upstream_model(command.words[0]).set_condition(UpstreamCondition(command.words[1]))

    async def _poison(self, command: Command) -> None:
        for model in self._models.values():
            model.set_crash_text(command.words[0])

    async def _outage(self, command: Command) -> None:
        self._platform.set_outage(command.words[0] == "on")

    async def _lose(self, command: Command) -> None:
        self._platform.fail_next_write(WriteFault(f"lost_{command.words[0]}"))

    async def _count(self, command: Command) -> None:
        self._counted_sub_queries = {
            name: self._upstream_model(name).sub_queries for name in self._addresses
        }

    async def _publish(self, command: Command) -> None:
        """Publish a snapshot; with ``keep=yes`` upstreams still serve the old one, too."""
        assert self._shard_map is not None
        old, new = self._shard_map.snapshot, command.words[0]
        served = (old, new) if command.options.get("keep") == "yes" else (new,)
        for model in self._models.values():
            model.set_snapshots(*served)
        self._shard_map = self._shard_map._replace(
            snapshot=new, version=self._shard_map.version + 1
        )
        path = object_path(SHARD_MAP)
        etag = self._platform.objects[path].etag
        await self._platform.write(path, encode_value(SHARD_MAP, self._shard_map), etag)

    async def _apply(self, command: Command) -> None:
        """Write a table with a new weight in every row of a kind."""
        path = object_path(TABLE)
        stored = self._platform.objects[path]
        table = DEMO_TABLE.table
        weight = float(command.options.get("weight", "2"))
        rows = tuple(
            row._replace(weight=weight) if row.kind == command.words[0] else row
            for row in table.rows
        )
        version = int(command.options["version"])
        document = TableDocument(table._replace(rows=rows, version=version))
        await self._platform.write(path, encode_value(TABLE, document), stored.etag)
