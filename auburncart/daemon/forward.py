"""The daemon of a VM that passes requests on: it puts the layers together and runs them."""

import asyncio
import random
import signal
import sys
from collections.abc import Callable

from auburncart.coordination.forwarding.attempts import Tools
from auburncart.coordination.forwarding.budget import BudgetBounds, RetryBudget
from auburncart.coordination.forwarding.choice import LeastWait
from auburncart.coordination.forwarding.configuration import ConfigurationKeeper
from auburncart.coordination.forwarding.directory import Directory
from auburncart.coordination.forwarding.gateway import Gateway
from auburncart.coordination.forwarding.kinds import KindFollower, KindSink
from auburncart.coordination.forwarding.sinks import ConfigurationSink, ReplicaSink
from auburncart.coordination.shutdown import Drain, Shutdown, ShutdownTimes
from auburncart.platform.messages import PlatformCallerDialect, PlatformReplicaDialect
from auburncart.platform.store import CONFIGURATION, REPLICAS, PlatformKindDialect
from auburncart.settings.forward import ForwardSettings
from auburncart.state.configuration import CallerLimits
from auburncart.state.event import Started, Stopped
from auburncart.transport.forward_metrics import ForwardMetrics
from auburncart.transport.front import ForwardServer, ReadinessServer
from auburncart.transport.journal import EliotJournal
from auburncart.transport.kinds import HttpKindStore
from auburncart.transport.replica import LoopReplicaDialer

__all__ = ["ForwardDaemon", "run_forward"]

BALANCER_LAG_SECONDS = 2.2  # two questions a second apart take a VM out, and the way of the last
STOP_MARGIN_SECONDS = 0.5  # before the process is killed: ends connections and writes the log
METRICS_PATH = "/metrics"
DEFAULT_VMS = 9  # that share budgets and connections, before the VMs know of each other


class ForwardDaemon:
    """One VM's process: :meth:`start` and :meth:`stop` are called once each.

    :param settings: checked settings.
    """

    def __init__(self, settings: ForwardSettings) -> None:
        self._settings = settings
        self._log = EliotJournal(sys.stdout.fileno())
        self._journal = ForwardMetrics(self._log)
        self._store = HttpKindStore(
            settings.store_address, PlatformKindDialect(), self._journal.store_called
        )
        self._keeper = ConfigurationKeeper(self._journal)
        self._directory = Directory(
            settings.distance,
            LoopReplicaDialer(PlatformReplicaDialect()),
            self._share,
            self._journal,
        )
        self._replicas = ReplicaSink(self._directory)
        bounds = settings.bounds
        budget = RetryBudget(
            BudgetBounds(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds),
            lambda: DEFAULT_VMS,
        )
        self._drain = Drain(lambda: self._keeper.table is not None and self._replicas.listed)
        tools = Tools(self._directory, LeastWait(), budget, self._journal)
        self._followers = (
            self._follow(CONFIGURATION, ConfigurationSink(self._keeper)),
            self._follow(REPLICAS, self._replicas),
        )
        self._gateway = Gateway(self._keeper, tools, self._drain, lambda: self._followers[1].age)
        self._front = ForwardServer(
            settings.front_address, self._gateway, PlatformCallerDialect(), self._limits
        )
        self._readiness = ReadinessServer(settings.ready_address, lambda: self._gateway.ready, {})
        self._metrics = ReadinessServer(
            settings.metrics_address,
            lambda: self._gateway.ready,
            {METRICS_PATH: self._journal.page},
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._watch_values()

    async def start(self) -> None:
        """Follow the store and serve callers."""
        runs: tuple[Callable[[], object], ...] = (
            self._log.run,
            self._directory.run,
            *(follower.run for follower in self._followers),
        )
        self._tasks += [asyncio.create_task(run()) for run in runs]  # type: ignore[arg-type]
        await self._readiness.start()
        await self._metrics.start()
        await self._front.start()
        settings = self._settings
        self._journal.record(Started(settings.name, settings.data_centre, settings.front_address))

    async def shut_down(self) -> None:
        """Leave without cutting a request off, then end every connection."""
        began = asyncio.get_running_loop().time()
        bound = self._settings.grace_seconds - BALANCER_LAG_SECONDS - STOP_MARGIN_SECONDS
        times = ShutdownTimes(BALANCER_LAG_SECONDS, max(0.0, bound))
        cut_off = await Shutdown(self._drain, self._front, times).run()
        seconds = asyncio.get_running_loop().time() - began
        self._journal.record(Stopped(seconds, cut_off))
        await self.stop()

    async def stop(self) -> None:
        """Stop serving at once, then end every connection."""
        await self._front.stop()
        await self._readiness.stop()
        await self._metrics.stop()
        for task in self._tasks:
            task.cancel()
        self._directory.close()
        self._store.close()
        self._log.flush()

    def _watch_values(self) -> None:
        configuration, replicas = self._followers
        watch = self._journal.watch
        watch("configuration_version", "Version in force", lambda: float(self._keeper.version))
        watch(
            "configuration_age_seconds", "Since the store confirmed it", lambda: configuration.age
        )
        watch("replicas_age_seconds", "Since the store confirmed the list", lambda: replicas.age)
        watch("replicas", "Replicas known", lambda: float(self._directory.size))
        watch("ready", "Whether callers are asked for", lambda: float(self._gateway.ready))
        watch("in_flight", "Requests being answered", lambda: float(self._drain.in_flight))
        watch("caller_connections", "Open ones", lambda: float(len(self._front.connections)))
        watch("log_lines_dropped", "Since the start", lambda: float(self._log.dropped_total))
        watch(
            "replica_connections",
            "Open ones",
            lambda: float(sum(pool.connections for pool in self._directory.pools)),
        )

    def _follow(self, kind: str, sink: KindSink) -> KindFollower:
        rng = random.Random(f"{self._settings.name}/{kind}")
        return KindFollower(self._store, kind, sink, self._journal, rng)

    def _limits(self) -> CallerLimits:
        table = self._keeper.table
        return table.configuration.limits if table else CallerLimits()

    def _share(self, service: str) -> int:
        table = self._keeper.table
        known = table.configuration.services.get(service) if table else None
        return max(1, known.most_connections // DEFAULT_VMS) if known else 1


async def run_forward(settings: ForwardSettings) -> None:
    """Run the daemon until it is told to stop by SIGTERM or SIGINT."""
    daemon = ForwardDaemon(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await daemon.start()
    await stopped.wait()
    await daemon.shut_down()
