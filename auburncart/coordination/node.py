"""The services of one VM, independent of the store, the transport and the front ends."""

import asyncio
import random
import uuid
from collections.abc import Callable

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.circuit_breaker import CircuitBreakerStore
from auburncart.coordination.claims import StoredClaims
from auburncart.coordination.drain import UsableChoice
from auburncart.coordination.holder import ClaimHolder
from auburncart.coordination.interfaces import Membership, PeerBus, Store, UpstreamDialer
from auburncart.coordination.observer import Observer
from auburncart.coordination.order import OrderService
from auburncart.coordination.owner import OwnedClaims
from auburncart.coordination.policies import Policies
from auburncart.coordination.rate_limited_admission import RateLimitedAdmission
from auburncart.coordination.search import SearchService
from auburncart.coordination.shutdown import RequestTracker
from auburncart.coordination.table import CurrentTable
from auburncart.coordination.upstream import Upstream
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.state.shards import Replica

__all__ = ["Node"]


class Node:
    """The services of one VM: :meth:`start` and :meth:`stop` are called once each.

    :param name: name of the VM's process, unique in the tier.
    :param data_centre: data centre in which it runs.
    :param store: the platform's store.
    :param dialer: opens connections to upstreams.
    :param policies: the policies of this VM.
    :param observer: receives events.
    :param epoch: seconds since the epoch at loop time 0.
    :param tables: the table in force, if it is shared with a :class:`PeerGroup`.
    :param catalogue: the shard map in force, if it is shared with a :class:`PeerGroup`.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        store: Store,
        dialer: UpstreamDialer,
        policies: Policies,
        observer: Observer,
        epoch: float = 0.0,
        tables: CurrentTable | None = None,
        catalogue: Catalogue | None = None,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._store = store
        self._dialer = dialer
        rate_limited = RateLimitedAdmission(policies.admission, policies.rate_limiter)
        self._policies = policies = policies._replace(admission=rate_limited)
        self._observer = observer
        self._catalogue = catalogue or Catalogue()
        self._tables = tables or CurrentTable()
        self._readiness_checks: list[Callable[[], bool]] = []
        self._request_tracker = RequestTracker(self._can_serve)
        policies.admission.bind(self._tables, self._catalogue)
        self._upstreams = UpstreamRegistry(self._make_upstream)
        self._searches = SearchService(
            self._catalogue, self._tables, self._upstreams, policies, observer
        )
        guarded = CircuitBreakerStore(store, Backoff(random.Random(f"{name}/store")))
        self._claims = StoredClaims(guarded, random.Random(f"{name}/claims"))
        self._holder = self._make_holder()
        self._orders = self._make_orders(epoch)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def name(self) -> str:
        """Name of the VM's process."""
        return self._name

    @property
    def data_centre(self) -> str:
        """Data centre in which the VM runs."""
        return self._data_centre

    @property
    def ready(self) -> bool:
        """Whether new requests should be sent here: a table and a shard map are in force."""
        return self._request_tracker.ready

    @property
    def request_tracker(self) -> RequestTracker:
        """The tracker of the requests in flight."""
        return self._request_tracker

    @property
    def tables(self) -> CurrentTable:
        """The table in force."""
        return self._tables

    @property
    def catalogue(self) -> Catalogue:
        """The shard map in force."""
        return self._catalogue

    @property
    def upstreams(self) -> UpstreamRegistry:
        """The upstreams."""
        return self._upstreams

    @property
    def searches(self) -> SearchService:
        """The service that answers searches."""
        return self._searches

    @property
    def orders(self) -> OrderService:
        """The service that executes orders."""
        return self._orders

    def add_readiness_check(self, check: Callable[[], bool]) -> None:
        """Report the VM as ready only while ``check()`` is true as well."""
        self._readiness_checks.append(check)

    async def wait_until_ready(self) -> None:
        """Wait for the first table and the first shard map."""
        await self._tables.wait()
        await self._catalogue.wait()

    def start(self, *, follow_store: bool = True) -> None:
        """Start to follow the store, with one task for each object.

        :param follow_store: False if a :class:`PeerGroup` updates the table and the shard map.
        """
        status = self._policies.draining.follow(
            self._store, self._catalogue, random.Random(f"{self._name}/status")
        )
        self._tasks.append(asyncio.create_task(status, name="upstream status"))
        self._tasks.append(asyncio.create_task(self._policies.rate_limiter.run(), name="rates"))
        if not follow_store:
            return
        tables = self._tables.follow(self._store, random.Random(f"{self._name}/table"))
        shards = self._catalogue.follow(self._store, random.Random(f"{self._name}/shards"))
        self._tasks.append(asyncio.create_task(tables, name="table"))
        self._tasks.append(asyncio.create_task(shards, name="shards"))

    def exchange_losses(self, bus: PeerBus) -> None:
        """Exchange with the other VMs which queries crashed an upstream."""
        self._policies.quarantine.exchange_losses(bus)

    def route_claims_to_owners(self, membership: Membership, bus: PeerBus) -> None:
        """Let one VM write each bucket of claims; call this before :meth:`start`."""
        self._holder.set_claims(
            OwnedClaims(self._claims, membership, bus, self._catalogue.data_centres)
        )

    async def stop(self) -> None:
        """End the tasks, the orders in flight and all connections to upstreams."""
        await self._orders.close(0.0)
        await self._claims.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._upstreams.close()

    def _can_serve(self) -> bool:
        in_force = self._tables.table is not None and self._catalogue.current is not None
        return in_force and all(check() for check in self._readiness_checks)

    def _make_holder(self) -> ClaimHolder:
        process = f"{self._name}/{uuid.uuid4().hex[:12]}"
        return ClaimHolder(process, self._claims, self._observer, random.Random(self._name))

    def _make_orders(self, epoch: float) -> OrderService:
        return OrderService(
            self._holder,
            self._catalogue,
            self._tables,
            self._upstreams,
            self._policies.admission,
            UsableChoice(self._policies.choice, self._policies.draining),
            self._observer,
            epoch,
        )

    def _make_upstream(self, replica: Replica) -> Upstream:
        return Upstream(
            replica,
            local=replica.data_centre == self._data_centre,
            name=self._name,
            dialer=self._dialer,
            batching=self._policies.batching,
            limit=self._policies.connection_limit,
            quarantine=self._policies.quarantine,
            observer=self._observer,
            in_flight_limit=self._policies.in_flight_limit(replica),
            redialing=self._policies.redialing,
            on_draining=self._policies.draining.start_drain,
        )
