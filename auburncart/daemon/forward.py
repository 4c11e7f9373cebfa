"""The daemon of a VM that forwards requests, which assembles the layers and runs them."""

import asyncio
import random
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from auburncart.coordination.forwarding.attempts import ForwardingContext
from auburncart.coordination.forwarding.budget import BudgetBounds, RetryBudget
from auburncart.coordination.forwarding.choice import ShortestWait
from auburncart.coordination.forwarding.configuration import ActiveConfiguration
from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.gateway import Gateway
from auburncart.coordination.forwarding.helper_links import MergeLink
from auburncart.coordination.forwarding.interfaces import VmListener
from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.kinds import KindSink
from auburncart.coordination.forwarding.merging import MergeServer, merging_wanted
from auburncart.coordination.forwarding.quarantine import CRASHES, RequestQuarantine
from auburncart.coordination.forwarding.relay import RelayClient, RelayedStore, RelayServer
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.reply_memory import ReplyMemory
from auburncart.coordination.forwarding.roster import ENTRY_VMS, Roster
from auburncart.coordination.forwarding.shard_owners import ShardOwners
from auburncart.coordination.forwarding.share import LimitShares
from auburncart.coordination.forwarding.sinks import ConfigurationSink, ReplicaSink
from auburncart.coordination.forwarding.watch_times import watch_times
from auburncart.coordination.shutdown import RequestTracker, Shutdown, ShutdownTimes
from auburncart.exception import SettingsError
from auburncart.platform.messages import PlatformCallerCodec, PlatformReplicaCodec
from auburncart.platform.store import CONFIGURATION, REPLICAS, PlatformKindStoreCodec
from auburncart.settings.forward import ForwardSettings
from auburncart.state.configuration import CallerLimits, Configuration
from auburncart.state.crash import CrashReport
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import (
    DependencyLost,
    ReadinessChanged,
    Reloaded,
    Started,
    Stopped,
    Suspended,
    TaskFailed,
)
from auburncart.state.registration import Registration
from auburncart.transport.clock import suspended_seconds
from auburncart.transport.forward_metrics import ForwardMetrics
from auburncart.transport.front import ForwardServer, ReadinessServer
from auburncart.transport.journal import EliotJournal
from auburncart.transport.kinds import HttpKindStore
from auburncart.transport.replica import HttpReplicaDialer

__all__ = ["ForwardDaemon", "run_forward"]

BALANCER_LAG_SECONDS = 2.2  # two failed probes a second apart remove a VM, plus network delay
STOP_MARGIN_SECONDS = 0.5  # before the process is killed, to close connections and write the log
UNREGISTER_TIMEOUT_SECONDS = 0.25  # half of the margin; the store replies in milliseconds
EXIT_FAILED = 1
REPLY_MEMORY_SHARE = 0.25  # of the process's memory; bodies are copied once to be forwarded
MERGE_CHECK_INTERVAL_SECONDS = 1.0  # VMs and replicas that start together take seconds to appear
DECLINE_CHECK_INTERVAL_SECONDS = 0.5  # an outage of the store is noticed only after seconds
CLOCK_CHECK_INTERVAL_SECONDS = 0.5  # half of the balancer's probe interval
MIN_SUSPENSION_SECONDS = 0.5  # no peer gives up its connections after a shorter one
METRICS_PATH = "/metrics"
RELOADABLE = ("grace_seconds",)  # settings that are read again whenever they are needed
KIND_TYPES: dict[str, type] = {
    CONFIGURATION: Configuration,
    REPLICAS: Registration,
    CRASHES: CrashReport,
}


class ForwardDaemon:
    """The process of one VM; :meth:`start` and :meth:`stop` are each called once.

    :param settings: checked settings.
    """

    def __init__(self, settings: ForwardSettings) -> None:
        self._settings = settings
        self.failed = asyncio.Event()
        self._log = EliotJournal(sys.stdout.fileno(), settings.name)
        self._journal = ForwardMetrics(self._log)
        self._times = watch_times(settings.stable_seconds, settings.apply_seconds)
        self._store = HttpKindStore(
            settings.store_address,
            PlatformKindStoreCodec(),
            self._journal.count_store_call,
            self._times,
        )
        self._configuration = ActiveConfiguration(self._journal)
        self._registry = ReplicaRegistry(
            settings.distance,
            HttpReplicaDialer(
                PlatformReplicaCodec(),
                ReplyMemory(int(REPLY_MEMORY_SHARE * settings.memory_bytes)),
            ),
            self._connection_share,
            lambda replica, limit: self._shares.requests(replica, limit),
            self._journal,
        )
        self._replicas = ReplicaSink(self._registry, settings.stable_seconds)
        bounds = settings.bounds
        self._budget = RetryBudget(
            BudgetBounds(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds),
            lambda service: self._shares.slack(service),
        )
        self._quarantine = RequestQuarantine(self._store, self._journal)
        self._request_tracker = RequestTracker(
            lambda: (
                self._configuration.table is not None
                and self._replicas.listed
                and self._quarantine.listed
            )
        )
        context = ForwardingContext(
            self._registry, ShortestWait(), self._budget, self._quarantine, self._journal
        )
        own = EntryVm(
            settings.name, settings.data_centre, settings.relay_address, settings.merge_address
        )
        self._roster = Roster(self._store, own, self._journal, first_start=settings.first_start)
        self._relayed = RelayedStore(
            self._store, _relay_client, self._roster, self._journal, self._times
        )
        self._watchers = (
            self._make_watcher(CONFIGURATION, ConfigurationSink(self._configuration)),
            self._make_watcher(REPLICAS, self._replicas),
            self._make_watcher(CRASHES, self._quarantine),
        )
        self._owners = ShardOwners(
            self._all_shards, self._registry, self._roster, settings.distance
        )
        self._shares = LimitShares(
            own, self._roster, self._registry, self._owners, self._all_shards, settings.regions
        )
        self._delegation = Delegation(
            settings.name,
            self._registry,
            self._roster,
            settings.distance,
            self._owners,
            self._open_merge_link,
            self._journal,
        )
        self._merge_server = MergeServer(
            context,
            self._request_tracker,
            lambda: self._watchers[1].connected,
            self._delegation,
        )
        self._gateway = Gateway(
            self._configuration,
            context,
            self._request_tracker,
            lambda: self._watchers[1].age,
            self._delegation,
        )
        self._front = ForwardServer(
            settings.front_address, self._gateway, PlatformCallerCodec(), self._caller_limits
        )
        self._readiness = ReadinessServer(settings.ready_address, lambda: self._gateway.ready, {})
        self._metrics = ReadinessServer(
            settings.metrics_address,
            lambda: self._gateway.ready,
            {METRICS_PATH: self._journal.render_metrics},
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[VmListener] = []
        self._register_gauges()

    async def start(self) -> None:
        """Watch the store and serve callers."""
        background_tasks: tuple[Callable[[], Coroutine[Any, Any, None]], ...] = (
            self._log.run,
            self._registry.run,
            lambda: self._roster.run(self._relayed),
            self._delegation.run,
            self._serve_relay,
            self._serve_merging,
            self._monitor_vm,
            *(watcher.run for watcher in self._watchers),
        )
        for run in background_tasks:
            task = asyncio.create_task(run())
            task.add_done_callback(self._on_task_done)
            self._tasks.append(task)
        await self._readiness.start()
        await self._metrics.start()
        await self._front.start()
        settings = self._settings
        self._journal.record(Started(settings.name, settings.data_centre, settings.front_address))

    async def shut_down(self) -> None:
        """Drain the requests in flight, then close all connections."""
        started_at = asyncio.get_running_loop().time()
        drain_timeout = self._settings.grace_seconds - BALANCER_LAG_SECONDS - STOP_MARGIN_SECONDS
        times = ShutdownTimes(BALANCER_LAG_SECONDS, max(0.0, drain_timeout))
        cut_off = await Shutdown(self._request_tracker, self._front, times).run()
        await self._unregister()
        seconds = asyncio.get_running_loop().time() - started_at
        self._journal.record(Stopped(seconds, cut_off))
        await self.stop()

    async def stop(self) -> None:
        """Stop serving immediately, then close all connections."""
        await self._front.stop()
        await self._readiness.stop()
        await self._metrics.stop()
        for task in self._tasks:
            task.cancel()
        self._delegation.close()
        for listener in self._listeners:
            await listener.stop()
        self._registry.close()
        self._store.close()
        self._log.flush()

    async def _unregister(self) -> None:
        """Unregister this VM; a store that does not reply must not delay the shutdown."""
        try:
            async with asyncio.timeout(UNREGISTER_TIMEOUT_SECONDS):
                await self._roster.unregister()
        except TimeoutError:
            reason = f"did not unregister this VM within {UNREGISTER_TIMEOUT_SECONDS} s"
            self._journal.record(DependencyLost(f"store {ENTRY_VMS}", reason))

    async def _serve_relay(self) -> None:
        """Relay store changes to other VMs once the tier is large enough to relay."""
        await self._roster.wait_until_relaying()
        # Imported only here, to save the library's memory on the VMs of a small tier.
        from auburncart.transport.relay import RelayListener

        kinds = dict(zip(KIND_TYPES, self._watchers, strict=True))
        server = RelayServer(kinds, self._roster)
        await self._start_listener(RelayListener(self._settings.relay_address, server))

    async def _serve_merging(self) -> None:
        """Query shards for other VMs once shards have owners, or some VMs lack their replicas."""
        wanted = False
        while not wanted:
            await asyncio.sleep(MERGE_CHECK_INTERVAL_SECONDS)
            wanted = self._owners.active or merging_wanted(
                self._configuration.table,
                self._registry,
                self._roster.members,
                self._settings.data_centre,
                self._settings.regions,
            )
        # Imported only here, as for the relay.
        from auburncart.transport.merge import MergeListener

        listener = MergeListener(self._settings.merge_address, self._merge_server)
        await self._start_listener(listener)
        self._request_tracker.on_leaving(listener.announce)
        while True:
            listener.announce()
            await asyncio.sleep(DECLINE_CHECK_INTERVAL_SECONDS)

    async def _start_listener(self, listener: VmListener) -> None:
        await listener.start()
        self._listeners.append(listener)

    def _open_merge_link(self, vm: EntryVm) -> MergeLink:
        from auburncart.transport.merge import WebSocketMergeLink

        return WebSocketMergeLink(vm, self._journal)

    async def _monitor_vm(self) -> None:
        """Log suspensions of the VM and changes of its readiness."""
        suspended, ready = suspended_seconds(), False
        while True:
            if self._gateway.ready != ready:
                ready = not ready
                self._journal.record(ReadinessChanged(ready, self._readiness_reason()))
            await asyncio.sleep(CLOCK_CHECK_INTERVAL_SECONDS)
            suspended_for = suspended_seconds() - suspended
            if suspended_for >= MIN_SUSPENSION_SECONDS:
                suspended += suspended_for
                self._journal.record(Suspended(suspended_for))
                # The other ends may have given up idle connections meanwhile.
                self._registry.close_idle()
                self._store.close_idle()

    def _readiness_reason(self) -> str:
        reasons = {
            "leaving": self._request_tracker.leaving,
            "no configuration": self._configuration.table is None,
            "no list of replicas": not self._replicas.listed,
            "no list of crashes": not self._quarantine.listed,
        }
        return ", ".join(reason for reason, holds in reasons.items() if holds)

    def reload(self, settings: ForwardSettings) -> None:
        """Apply reloaded settings, as far as that is possible without a restart.

        :param settings: checked settings.
        """
        pairs = zip(self._settings._fields, self._settings, settings, strict=True)
        changed = tuple(name for name, old, new in pairs if old != new)
        self._settings = settings
        after_restart = tuple(name for name in changed if name not in RELOADABLE)
        self._journal.record(Reloaded(changed, "", after_restart))

    def refuse_reload(self, error: SettingsError) -> None:
        """Keep the current settings, because the reloaded ones have errors."""
        self._journal.record(Reloaded((), str(error)))

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """End the process if a permanent task has failed; a restart may recover."""
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self._journal.record(TaskFailed(task.get_name(), f"{type(error).__name__}: {error}"))
        self.failed.set()

    def _register_gauges(self) -> None:
        configuration, replicas, _ = self._watchers
        add_gauge = self._journal.add_gauge
        add_gauge(
            "configuration_version",
            "Version in force",
            lambda: float(self._configuration.version),
        )
        add_gauge(
            "configuration_age_seconds", "Since the store confirmed it", lambda: configuration.age
        )
        add_gauge(
            "replicas_age_seconds", "Since the store confirmed the list", lambda: replicas.age
        )
        add_gauge("replicas", "Replicas known", lambda: float(self._registry.size))
        add_gauge("ready", "Whether callers are asked for", lambda: float(self._gateway.ready))
        add_gauge(
            "in_flight", "Requests being answered", lambda: float(self._request_tracker.in_flight)
        )
        add_gauge("caller_connections", "Open ones", lambda: float(len(self._front.connections)))
        add_gauge(
            "retry_budget_least",
            "Extra requests left for the service with the fewest",
            lambda: self._budget.min_remaining,
        )
        add_gauge("log_lines_dropped", "Since the start", lambda: float(self._log.dropped_total))
        add_gauge(
            "replica_connections",
            "Open ones",
            lambda: float(sum(pool.connections for pool in self._registry.pools)),
        )

    def _make_watcher(self, kind: str, sink: KindSink) -> KindWatcher:
        rng = random.Random(f"{self._settings.name}/{kind}")
        return KindWatcher(self._relayed, kind, sink, self._journal, rng, self._times)

    def _caller_limits(self) -> CallerLimits:
        table = self._configuration.table
        return table.configuration.limits if table else CallerLimits()

    def _all_shards(self) -> frozenset[str]:
        table = self._configuration.table
        return table.shards if table else frozenset()

    def _connection_share(self, service: str, data_centre: str) -> float:
        table = self._configuration.table
        limits = table.configuration.services.get(service) if table else None
        if limits is None:
            return 1.0
        return self._shares.connections(service, data_centre, limits.max_connections)


def _relay_client() -> RelayClient:
    from auburncart.transport.relay import WebSocketRelayClient

    return WebSocketRelayClient(KIND_TYPES | {ENTRY_VMS: EntryVm})


async def run_forward(load: Callable[[], ForwardSettings]) -> int:
    """Run the daemon until SIGTERM or SIGINT; SIGHUP reloads its settings.

    :param load: reads and checks the settings.
    :return: exit code.
    :raises SettingsError: the settings have errors at the start.
    """
    stopped, changed = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # Installed before the settings are first read, so that no change is missed.
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    daemon = ForwardDaemon(load())
    await daemon.start()
    reload_task = asyncio.create_task(_reload(daemon, load, changed))
    event_tasks = [asyncio.create_task(event.wait()) for event in (stopped, daemon.failed)]
    await asyncio.wait(event_tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in event_tasks:
        task.cancel()
    if daemon.failed.is_set():
        await daemon.stop()
        return EXIT_FAILED
    await daemon.shut_down()
    reload_task.cancel()
    return 0


async def _reload(
    daemon: ForwardDaemon, load: Callable[[], ForwardSettings], changed: asyncio.Event
) -> None:
    """Reload the settings after each SIGHUP; runs until cancelled."""
    while True:
        await changed.wait()
        changed.clear()
        try:
            daemon.reload(load())
        except SettingsError as error:
            daemon.refuse_reload(error)
