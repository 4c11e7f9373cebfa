"""A small site of fakes on virtual time, for tests of the whole decision path."""

import asyncio
import random

from auburncart.coordination import (
    Catalogue,
    ClaimHolder,
    Fleet,
    OrderService,
    Policies,
    SearchService,
    SilentObserver,
    StoredClaims,
    TableKeeper,
    Upstream,
    baseline_policies,
)
from auburncart.standins.fakes import FakeDialer, FakeStore
from auburncart.standins.platform import PlatformModel
from auburncart.standins.site import DEMO_TABLE, demo_hits, make_shard_map
from auburncart.standins.upstream import UpstreamModel, UpstreamShape
from auburncart.state import Replica, SearchRequest

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
    ) -> None:
        self.policies = policies or baseline_policies(places=8, vms=3)
        self.models: dict[str, UpstreamModel] = {}
        shapes = []
        for shard in range(shards):
            for copy in range(replicas):
                name = f"shard-{shard:02}"
                shape = UpstreamShape(f"10.0.{shard}.{copy}:80", "s1", {name: demo_hits(name)})
                self.models[shape.address] = UpstreamModel(shape, seed=shard * 10 + copy)
                shapes.append(shape)
        self.shard_map = make_shard_map(shapes, ["dc1"] * len(shapes), batch_limit)
        self.platform = PlatformModel()
        self.store = FakeStore(self.platform)
        self.dialer = FakeDialer(self.models)
        self.catalogue = Catalogue()
        self.catalogue.install(self.shard_map)
        self.tables = TableKeeper()
        self.tables.install(DEMO_TABLE)
        self.fleet = Fleet(self._make_upstream)
        self.observer = SilentObserver()
        self.searches = SearchService(
            self.catalogue, self.tables, self.fleet, self.policies, self.observer
        )
        self.claims = StoredClaims(self.store)
        self.orders = OrderService(
            ClaimHolder("vm1", self.claims, self.observer, random.Random(1)),
            self.catalogue,
            self.tables,
            self.fleet,
            self.policies.choice,
            self.observer,
            epoch=0.0,
        )

    async def close(self) -> None:
        await self.fleet.close()

    def _make_upstream(self, replica: Replica) -> Upstream:
        return Upstream(
            replica,
            local=True,
            name="vm1",
            dialer=self.dialer,
            batching=self.policies.batching,
            limit=self.policies.limit,
            quarantine=self.policies.quarantine,
            observer=SilentObserver(),
        )
