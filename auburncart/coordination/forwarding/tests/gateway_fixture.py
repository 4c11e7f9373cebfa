"""A gateway with stand-in replicas, for tests on virtual time."""

import asyncio
from collections.abc import Callable
from typing import Any

from auburncart.coordination.forwarding.attempts import ForwardingContext
from auburncart.coordination.forwarding.budget import BudgetBounds, RetryBudget
from auburncart.coordination.forwarding.choice import ShortestWait
from auburncart.coordination.forwarding.configuration import ActiveConfiguration
from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.gateway import Gateway
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import Changes, KindStore, Page
from auburncart.coordination.forwarding.quarantine import RequestQuarantine
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.request_limit import RequestShare, request_share
from auburncart.coordination.shutdown import RequestTracker
from auburncart.exception import StoreUnavailableError
from auburncart.standins.replicas import FakeReplicaDialer, ReplicaModel
from auburncart.state.configuration import CallerLimits, Configuration, Route, Service, Target
from auburncart.state.event import Event
from auburncart.state.forward import ForwardRequest
from auburncart.state.registration import Registration

__all__ = ["ListJournal", "GatewayFixture", "one_service", "request", "search", "whole_limit"]


class ListJournal(Journal):
    """Keeps every event in a list."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def record(self, event: Event) -> None:
        self.events.append(event)

    def of(self, kind: type) -> list:
        return [event for event in self.events if isinstance(event, kind)]


class NoStore(KindStore):
    """A store that is down."""

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        raise StoreUnavailableError("down", step="store")

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        raise StoreUnavailableError("down", step="store")

    async def put(self, kind: str, name: str, value: Any) -> None:
        raise StoreUnavailableError("down", step="store")

    async def delete(self, kind: str, name: str) -> None:
        raise StoreUnavailableError("down", step="store")


class GatewayFixture:
    """One VM's gateway; replicas are named ``SERVICE/NUMBER``.

    :param distance: distance of all replicas from this VM.
    :param replicas: replicas that are shared with other VMs.
    :param delegation: makes the delegation of shards to other VMs.
    :param request_share: returns this VM's share of a limit that a replica names, by default all.
    """

    def __init__(
        self,
        route: Route,
        connections: float = 4.0,
        store: KindStore | None = None,
        *,
        distance: int = 0,
        replicas: FakeReplicaDialer | None = None,
        delegation: Callable[["GatewayFixture"], Delegation] | None = None,
        request_share: Callable[[Registration, float], RequestShare] | None = None,
    ) -> None:
        self.journal = ListJournal()
        self.replicas = replicas or FakeReplicaDialer()
        self.registry = ReplicaRegistry(
            lambda data_centre: distance,
            self.replicas,
            lambda service, data_centre: connections,
            request_share or whole_limit,
            self.journal,
        )
        self.configuration = ActiveConfiguration(self.journal)
        names = [target.service for target in route.targets] + list(route.shards)
        services = {name: Service(name, 26) for name in names}
        self.configuration.install(Configuration(1, (route,), services, CallerLimits()))
        self.budget = RetryBudget(BudgetBounds(), lambda service: 1.0)
        self.quarantine = RequestQuarantine(store or NoStore(), self.journal)
        self.context = ForwardingContext(
            self.registry, ShortestWait(), self.budget, self.quarantine, self.journal
        )
        self.request_tracker = RequestTracker(lambda: True)
        self.gateway = Gateway(
            self.configuration,
            self.context,
            self.request_tracker,
            lambda: 0.0,
            delegation(self) if delegation else None,
        )

    def add(self, service: str, number: int, model: ReplicaModel | None = None) -> ReplicaModel:
        """Start a replica and register it."""
        instance = f"{service}/{number}"
        model = self.replicas.add(instance, model)
        self.registry.install(registration(service, number))
        return model

    def reached(self, instance: str) -> int:
        """Return the number of requests that reached a replica."""
        return sum(arrival.instance == instance for arrival in self.replicas.arrivals)


def whole_limit(replica: Registration, limit: float) -> RequestShare:
    """Return the share of the only VM."""
    return request_share(limit, "vm", (), ["vm"], replica.instance)


def registration(service: str, number: int, *, draining: bool = False) -> Registration:
    address = f"127.0.0.1:{1000 + number}"
    return Registration(f"{service}/{number}", service, address, "dc1", 2, draining)


def one_service(*, idempotent: bool = True, attempts: int = 2) -> Route:
    """Return a route to one service ``s``."""
    targets = (Target("s", 1.0),)
    return Route("r", "h", "/a/", idempotent, 2.0, 0.2, 0, attempts, targets)


def search(shards: int, min_share: float = 0.75) -> Route:
    """Return a search route over the shards ``s0``, ``s1`` and so on."""
    names = tuple(f"s{number}" for number in range(shards))
    return Route("r", "h", "/a/", True, 2.0, 0.1, 0, 2, (), names, 5, min_share)


def request(number: int = 1, *, seconds: float = 1.0) -> ForwardRequest:
    now = asyncio.get_running_loop().time()
    return ForwardRequest(f"id{number}", "GET", "h", "/a/b", b"/a/b", (), b"", now, now + seconds)
