"""The daemon of an entry VM, which assembles the layers and runs them."""

import asyncio
import signal
import sys
import time
import zlib

import eliot
from eliot import log_message

from auburncart.coordination.node import Node
from auburncart.coordination.policies import Policies, default_policies
from auburncart.coordination.rank_filter import AnyRankFilter, RankFilter, SingleRankFilter
from auburncart.coordination.shutdown import Shutdown, ShutdownTimes
from auburncart.daemon.peering import Peering
from auburncart.settings.entry import EntrySettings
from auburncart.state.work import Rank
from auburncart.transport.loop import LoopBridge
from auburncart.transport.metrics import MetricsObserver
from auburncart.transport.store import HttpStore
from auburncart.transport.upstream import HttpUpstreamDialer
from auburncart.transport.web import CallerApplication, CallerPorts, CallerServer

__all__ = ["EXIT_CUT_OFF", "Entry", "run_entry"]

EXIT_CUT_OFF = 4


class Entry:
    """The process of one entry VM; :meth:`start` and :meth:`stop` are each called once.

    :param settings: checked settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._metrics = MetricsObserver()
        self._store = HttpStore(settings.platform_address, settings.platform_token)
        epoch = time.time() - asyncio.get_running_loop().time()
        self._peering = self._make_peering(epoch)
        self._node = Node(
            settings.name,
            settings.data_centre,
            self._store,
            HttpUpstreamDialer(),
            self._make_policies(),
            self._metrics,
            epoch,
            self._peering.tables if self._peering else None,
            self._peering.catalogue if self._peering else None,
        )
        if self._peering is not None:
            self._peering.attach(self._node)
        self._ports = CallerPorts(())
        self._shutdown: Shutdown | None = None

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses for callers: the general one, then the urgent one."""
        return self._ports.addresses

    @property
    def ready(self) -> bool:
        """Whether callers can be answered."""
        return self._node.ready

    async def wait_until_ready(self) -> None:
        """Wait until callers can be answered."""
        await self._node.wait_until_ready()

    async def start(self) -> None:
        """Watch the store and serve callers."""
        self._node.start(follow_store=self._peering is None)
        if self._peering is not None:
            await self._peering.start()
        bridge = LoopBridge(asyncio.get_running_loop())
        settings = self._settings
        ports = (
            (settings.general_address, settings.general_threads, AnyRankFilter()),
            (
                settings.urgent_address,
                settings.urgent_threads,
                SingleRankFilter(self._node.tables, Rank.URGENT),
            ),
        )
        servers = []
        for address, threads, rank_filter in ports:
            application = self._make_application(bridge, rank_filter)
            servers.append(CallerServer(address, application, threads, bridge.time))
            servers[-1].start()
        self._ports = CallerPorts(tuple(servers))

    async def shut_down(self) -> int:
        """Drain the requests in flight, then close all connections.

        :return: number of requests cut off at the end of the drain timeout.
        """
        settings = self._settings
        times = ShutdownTimes(settings.balancer_lag_seconds, settings.shutdown_seconds)
        self._shutdown = Shutdown(self._node.request_tracker, self._ports, times)
        cut_off = await self._shutdown.run()
        unsettled = await self._node.orders.close(0.0 if cut_off else settings.shutdown_seconds)
        log_message(message_type="orders_closed", unsettled=unsettled)
        await self.stop()
        return cut_off

    def skip_waits(self) -> None:
        """End the waits of a shutdown in progress."""
        if self._shutdown is not None:
            self._shutdown.skip_waits()

    async def stop(self) -> None:
        """Stop serving immediately, then close all connections."""
        await self._ports.stop()
        await self._node.stop()
        if self._peering is not None:
            await self._peering.stop()
        self._store.close()

    def _make_application(self, bridge: LoopBridge, rank_filter: RankFilter) -> CallerApplication:
        node = self._node
        return CallerApplication(
            self._settings.name,
            bridge,
            rank_filter,
            node.searches,
            node.orders,
            self._metrics,
            node.request_tracker,
        )

    def _make_policies(self) -> Policies:
        peering = self._peering
        policies = default_policies(
            self._settings.connecting_vms,
            peering.data_centre_vms if peering else None,
            peering.tier_vms if peering else None,
            seed=zlib.crc32(self._settings.name.encode()),
            tolerance=self._settings.load_tolerance,
        )
        return peering.share_limits(policies) if peering else policies

    def _make_peering(self, epoch: float) -> Peering | None:
        if not self._settings.peer_address:
            return None
        return Peering(self._settings, self._store, self._metrics, epoch)


def start_log(log_file: str) -> None:
    """Write eliot's log to a file, to standard error for ``"-"``, or nowhere for ``""``."""
    if log_file == "-":
        eliot.to_file(sys.stderr)
    elif log_file:
        eliot.to_file(open(log_file, "a", encoding="utf-8"))  # noqa: SIM115


async def run_entry(settings: EntrySettings) -> int:
    """Run the daemon of an entry VM until SIGTERM or SIGINT.

    A second signal ends the shutdown immediately.

    :return: exit code.
    """
    start_log(settings.log_file)
    stopped = asyncio.Event()
    entry = Entry(settings)

    def on_signal() -> None:
        if stopped.is_set():
            entry.skip_waits()
        stopped.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await entry.start()
    await stopped.wait()
    return EXIT_CUT_OFF if await entry.shut_down() else 0
