"""A world of tasks on virtual time: real decisions over the stand-ins' models."""

import asyncio
from collections.abc import Awaitable, Callable

from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.policies import Policies, baseline_policies, default_policies
from auburncart.coordination.table import TABLE
from auburncart.exception import AuburncartError
from auburncart.protocol.platform import encode_value, object_path
from auburncart.scenario.language import Command
from auburncart.scenario.pause import Freezer, FrozenDialer, FrozenStore
from auburncart.scenario.world import (
    Outcome,
    World,
    key_of,
    outcome_of_order,
    outcome_of_refusal,
    outcome_of_search,
)
from auburncart.standins.fakes import (
    FakeBus,
    FakeDialer,
    FakeMembership,
    FakeNetwork,
    FakeStore,
)
from auburncart.standins.platform import PlatformModel, WriteFault
from auburncart.standins.site import DEMO_TABLE, demo_hits, make_shard_map, publish
from auburncart.standins.upstream import UpstreamModel, UpstreamShape
from auburncart.state.member import Member
from auburncart.state.order import OrderRequest
from auburncart.state.search import SearchRequest
from auburncart.state.shards import ShardMap
from auburncart.state.table import TableDocument
from auburncart.state.upstream import UpstreamCondition

__all__ = ["VirtualWorld"]

PLACES = 16
FIRST_SNAPSHOT = "s1"

POLICIES: dict[str, Callable[[int], Policies]] = {
    "baseline": lambda vms: baseline_policies(PLACES, vms),
    "default": lambda vms: default_policies(vms),
}


class _Vm:
    """One VM with its own way to the store and to the upstreams."""

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
        self.freezer = Freezer()
        self.store = FakeStore(platform)
        self.dialer = FakeDialer(models)
        self.starts = 0
        self.node: Node | None = None

    @property
    def member(self) -> Member:
        """This VM as the others know it."""
        return Member(self.name, self.data_centre, self.starts)

    def start(self, policies: Policies, members: tuple[Member, ...]) -> None:
        """Start a new process of this VM, which knows nothing of an earlier one."""
        self.starts += 1
        self.freezer.thaw()
        store = FrozenStore(self.store, self.freezer)
        dialer = FrozenDialer(self.dialer, self.freezer)
        name = f"{self.name}.{self.starts}"
        self.node = Node(name, self.data_centre, store, dialer, policies, NullObserver())
        bus = FakeBus(self.member, self._network)
        self.node.route_claims_to_owners(FakeMembership(self.member, members), bus)
        policies.quarantine.exchange_losses(bus)
        self.node.start()

    async def stop(self) -> None:
        """End the process at once."""
        self._network.buses.pop(self.name, None)
        node, self.node = self.node, None
        if node is not None:
            await node.stop()


class VirtualWorld(World):
    """Everything in one loop; a VM or an upstream is a few objects."""

    def __init__(self) -> None:
        self._began = asyncio.get_running_loop().time()
        self._platform = PlatformModel()
        self._models: dict[str, UpstreamModel] = {}
        self._addresses: dict[str, str] = {}
        self._network = FakeNetwork()
        self._vms: dict[str, _Vm] = {}
        self._requests: dict[str, set[asyncio.Task]] = {}
        self._map: ShardMap | None = None
        self._counted: dict[str, int] = {}
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
        """Return seconds since the scenario began."""
        return asyncio.get_running_loop().time() - self._began

    async def act(self, command: Command) -> None:
        """Do what a command says."""
        await self._actions[command.verb](command)

    async def search(self, command: Command) -> Outcome:
        """Send a search to a VM."""
        options = command.options
        request = SearchRequest(
            options.get("as", f"line{command.line}"),
            options.get("customer", "ladera"),
            options.get("kind", "closure"),
            options.get("query", "net"),
            self._deadline(options),
        )
        node = self._node(command)
        result = await self._asked(command.words[0], node.searches.search(request))
        if result.is_error():
            return outcome_of_refusal(result.error)
        return outcome_of_search(result.ok)

    async def order(self, command: Command) -> Outcome:
        """Send an order to a VM."""
        options = command.options
        request = OrderRequest(
            options.get("as", f"line{command.line}"),
            key_of(options["key"], self._began),
            options.get("customer", "ladera"),
            options.get("kind", "closure"),
            options.get("shard", "shard-00"),
            options.get("text", "mend the net"),
            self._deadline(options),
            options.get("repeat") == "yes",
        )
        node = self._node(command)
        result = await self._asked(command.words[0], node.orders.order(request))
        if result.is_error():
            return outcome_of_refusal(result.error)
        return outcome_of_order(result.ok)

    async def effects(self, key: str) -> int:
        """Return how often an order took effect."""
        done = [effect for model in self._models.values() for effect in model.effects]
        return sum(effect.key == key_of(key, self._began) for effect in done)

    async def lost_upstreams(self) -> int:
        """Return how many upstreams are down."""
        return sum(not model.alive for model in self._models.values())

    async def sub_queries(self, upstream: str) -> int:
        """Return how many sub-queries an upstream got since the last ``count``."""
        return self._model(upstream).sub_queries - self._counted.get(upstream, 0)

    async def table_version(self, vm: str) -> int:
        """Return the version of the table in force on a VM."""
        node = self._vms[vm].node
        table = node.tables.table if node else None
        return table.version if table else 0

    async def close(self) -> None:
        """End all VMs."""
        for vm in self._vms.values():
            vm.freezer.thaw()
            await vm.stop()

    async def _asked(self, vm: str, call):  # type: ignore[no-untyped-def]
        """Run a request that ends with its VM: its caller then knows nothing of the outcome."""
        task = asyncio.ensure_future(call)
        self._requests.setdefault(vm, set()).add(task)
        try:
            return await task
        except asyncio.CancelledError:
            raise AuburncartError("the connection broke", step="reply", peer=vm) from None
        finally:
            self._requests[vm].discard(task)

    def _deadline(self, options: dict[str, str]) -> float:
        return asyncio.get_running_loop().time() + float(options.get("seconds", "1"))

    def _node(self, command: Command) -> Node:
        vm = self._vms.get(command.words[0])
        if vm is None or vm.node is None:
            raise AuburncartError("no such VM runs", step="connect", peer=command.words[0])
        return vm.node

    def _model(self, name: str) -> UpstreamModel:
        return self._models[self._addresses[name]]

    async def _site(self, command: Command) -> None:
        options = command.options
        self._policies = options.get("policies", "default")
        centres = [f"dc{number + 1}" for number in range(int(options.get("data_centres", "1")))]
        shapes, places = [], []
        for shard in range(int(options.get("shards", "4"))):
            for copy in range(int(options.get("replicas", "2"))):
                name = f"shard-{shard:02}"
                shape = UpstreamShape(
                    f"10.0.{shard}.{copy}:80", FIRST_SNAPSHOT, {name: demo_hits(name)}
                )
                self._models[shape.address] = UpstreamModel(
                    shape, int(options.get("seed", "0")) * 1000 + shard * 10 + copy
                )
                self._addresses[f"{name}/{copy}"] = shape.address
                shapes.append(shape)
                places.append(centres[copy % len(centres)])
        self._map = make_shard_map(shapes, places, int(options.get("batch", "1")))
        await publish(self._platform, self._map, DEMO_TABLE)
        for number in range(int(options.get("vms", "1"))):
            name = f"vm{number + 1}"
            centre = centres[number % len(centres)]
            self._vms[name] = _Vm(name, centre, self._platform, self._models, self._network)
        for vm in self._vms.values():
            self._run(vm)
        await asyncio.sleep(0.1)

    def _run(self, vm: _Vm) -> None:
        members = tuple(other.member for other in self._vms.values())
        vm.start(POLICIES[self._policies](max(1, len(self._vms))), members)

    async def _start(self, command: Command) -> None:
        self._run(self._vms[command.words[0]])
        await asyncio.sleep(0.1)

    async def _stop(self, command: Command) -> None:
        await self._vms[command.words[0]].stop()

    async def _kill(self, command: Command) -> None:
        what, name = command.words
        if what == "upstream":
            self._model(name).kill()
            return
        for task in self._requests.get(name, set()):
            task.cancel()
        await self._vms[name].stop()

    async def _restart(self, command: Command) -> None:
        what, name = command.words
        if what == "upstream":
            self._model(name).restart()
        else:
            self._run(self._vms[name])

    async def _freeze(self, command: Command) -> None:
        self._vms[command.words[0]].freezer.freeze()

    async def _thaw(self, command: Command) -> None:
        self._vms[command.words[0]].freezer.thaw()

    async def _cut(self, command: Command) -> None:
        vm, other = command.words
        if other == "store":
            self._vms[vm].store.cut = True
        elif other in self._vms:
            self._network.cut(vm, other)
        else:
            self._vms[vm].dialer.cut.add(self._addresses[other])

    async def _heal(self, command: Command) -> None:
        self._network.heal()
        for vm in self._vms.values():
            vm.store.cut = False
            vm.dialer.cut.clear()

    async def _slow(self, command: Command) -> None:
        self._model(command.words[0]).set_slow(float(command.words[1]))

    async def _condition(self, command: Command) -> None:
        self._model(command.words[0]).set_condition(UpstreamCondition(command.words[1]))

    async def _poison(self, command: Command) -> None:
        for model in self._models.values():
            model.set_crash_text(command.words[0])

    async def _outage(self, command: Command) -> None:
        self._platform.set_outage(command.words[0] == "on")

    async def _lose(self, command: Command) -> None:
        self._platform.fail_next_write(WriteFault(f"lost_{command.words[0]}"))

    async def _count(self, command: Command) -> None:
        self._counted = {name: self._model(name).sub_queries for name in self._addresses}

    async def _publish(self, command: Command) -> None:
        """Publish a snapshot; upstreams keep the old one for ``keep=yes``."""
        assert self._map is not None
        old, new = self._map.snapshot, command.words[0]
        kept = (old, new) if command.options.get("keep") == "yes" else (new,)
        for model in self._models.values():
            model.set_snapshots(*kept)
        self._map = self._map._replace(snapshot=new, version=self._map.version + 1)
        path = object_path(SHARD_MAP)
        etag = self._platform.objects[path].etag
        await self._platform.write(path, encode_value(SHARD_MAP, self._map), etag)

    async def _apply(self, command: Command) -> None:
        """Write a table in which every row of a kind has a new weight."""
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
