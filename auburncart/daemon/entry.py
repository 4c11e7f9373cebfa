"""The daemon on an entry VM: it puts the layers together and runs them."""

import asyncio
import random
import signal
import sys
import time
import uuid

import eliot

from auburncart.coordination import (
    Catalogue,
    ClaimHolder,
    Fleet,
    OrderService,
    SearchService,
    StoredClaims,
    TableKeeper,
    Upstream,
)
from auburncart.coordination.policies import Policies, baseline_policies
from auburncart.settings import EntrySettings
from auburncart.state import Replica
from auburncart.transport.loop import LoopBridge
from auburncart.transport.metrics import MetricsObserver
from auburncart.transport.store import HttpStore
from auburncart.transport.upstream import HttpUpstreamDialer
from auburncart.transport.web import CallerApplication, CallerServer

__all__ = ["Entry", "run_entry"]

ORDERS_SECONDS = 5.0


class Entry:
    """One entry VM's process: :meth:`start` and :meth:`stop` are called once each.

    :param settings: checked settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._metrics = MetricsObserver()
        self._store = HttpStore(settings.platform_address, settings.platform_token)
        self._dialer = HttpUpstreamDialer()
        self._policies = self._make_policies()
        self._catalogue = Catalogue()
        self._tables = TableKeeper()
        self._fleet = Fleet(self._make_upstream)
        self._searches = SearchService(
            self._catalogue, self._tables, self._fleet, self._policies, self._metrics
        )
        self._claims = StoredClaims(self._store)
        self._orders = self._make_orders()
        self._servers: list[CallerServer] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses that callers reach: the general one, then the urgent one."""
        return tuple(server.address for server in self._servers)

    async def start(self) -> None:
        """Follow the store and serve callers."""
        self._tasks.append(asyncio.create_task(self._tables.follow(self._store), name="table"))
        self._tasks.append(asyncio.create_task(self._catalogue.follow(self._store), name="shards"))
        bridge = LoopBridge(asyncio.get_running_loop())
        application = CallerApplication(
            self._settings.name, bridge, self._searches, self._orders, self._metrics
        )
        settings = self._settings
        ports = (
            (settings.general_address, settings.general_threads),
            (settings.urgent_address, settings.urgent_threads),
        )
        for address, threads in ports:
            server = CallerServer(address, application, threads)
            server.start()
            self._servers.append(server)

    async def stop(self) -> None:
        """Stop serving, then end every connection."""
        for server in self._servers:
            await asyncio.to_thread(server.stop)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._orders.close(ORDERS_SECONDS)
        await self._claims.close()
        await self._fleet.close()
        self._store.close()

    def _make_policies(self) -> Policies:
        return baseline_policies(self._settings.places, self._settings.connecting_vms)

    def _make_orders(self) -> OrderService:
        process = f"{self._settings.name}/{uuid.uuid4().hex[:12]}"
        rng = random.Random(process)
        return OrderService(
            ClaimHolder(process, self._claims, self._metrics, rng),
            self._catalogue,
            self._tables,
            self._fleet,
            self._policies.choice,
            self._metrics,
            epoch=time.time() - asyncio.get_running_loop().time(),
        )

    def _make_upstream(self, replica: Replica) -> Upstream:
        return Upstream(
            replica,
            local=replica.data_centre == self._settings.data_centre,
            name=self._settings.name,
            dialer=self._dialer,
            batching=self._policies.batching,
            limit=self._policies.limit,
            quarantine=self._policies.quarantine,
            observer=self._metrics,
        )


def start_log(log_file: str) -> None:
    """Send eliot's log to a file, to standard error for ``"-"``, or nowhere for ``""``."""
    if log_file == "-":
        eliot.to_file(sys.stderr)
    elif log_file:
        eliot.to_file(open(log_file, "a", encoding="utf-8"))  # noqa: SIM115


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry VM's daemon until it is told to stop by SIGTERM or SIGINT."""
    start_log(settings.log_file)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    entry = Entry(settings)
    await entry.start()
    await stopped.wait()
    await entry.stop()
