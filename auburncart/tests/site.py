"""A small site of fakes on virtual time, for tests of the whole decision path."""

import asyncio

from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.policies import Policies, baseline_policies
from auburncart.standins.fakes import FakeDialer, FakeStore
from auburncart.standins.platform import PlatformModel
from auburncart.standins.site import DEMO_TABLE, demo_hits, make_shard_map
from auburncart.standins.upstream import UpstreamModel, UpstreamShape
from auburncart.state.search import SearchRequest

__all__ = ["Site", "search_request"]


def search_request(
    number: int = 1, *, kind: str = "closure", seconds: float = 1.0
) -> SearchRequest:
    """Return a search over all shards with a deadline that many seconds from now."""
    deadline = asyncio.get_running_loop().time() + seconds
    return SearchRequest(f"r{number}", "ladera", kind, "net", deadline)


class Site:
    """One VM's services over fake upstreams: ``shards`` shards with ``replicas`` replicas each."""

    def __init__(
        self,
        shards: int = 4,
        replicas: int = 2,
        policies: Policies | None = None,
        batch_limit: int = 1,
        data_centres: tuple[str, ...] = ("dc1",),
    ) -> None:
        self.policies = policies or baseline_policies(max_concurrent=8, vms=3)
        self.models: dict[str, UpstreamModel] = {}
        shapes = []
        places = []
        for shard in range(shards):
            for copy in range(replicas):
                name = f"shard-{shard:02}"
                shape = UpstreamShape(f"10.0.{shard}.{copy}:80", "s1", {name: demo_hits(name)})
                self.models[shape.address] = UpstreamModel(shape, seed=shard * 10 + copy)
                shapes.append(shape)
                places.append(data_centres[copy % len(data_centres)])
        self.shard_map = make_shard_map(shapes, places, batch_limit)
        self.platform = PlatformModel()
        self.store = FakeStore(self.platform)
        self.dialer = FakeDialer(self.models)
        self.node = Node("vm1", "dc1", self.store, self.dialer, self.policies, NullObserver())
        self.node.catalogue.install(self.shard_map)
        self.node.tables.install(DEMO_TABLE)
        self.tables = self.node.tables
        self.catalogue = self.node.catalogue
        self.upstreams = self.node.upstreams
        self.searches = self.node.searches
        self.orders = self.node.orders

    async def close(self) -> None:
        await self.node.stop()
