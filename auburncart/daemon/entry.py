"""The daemon on an entry VM: it puts the layers together and runs them."""

import asyncio
import signal
import sys

import eliot

from auburncart.coordination import Node
from auburncart.coordination.gate import EveryRankGate, OneRankGate
from auburncart.coordination.policies import Policies, baseline_policies
from auburncart.settings import EntrySettings
from auburncart.state import Rank
from auburncart.transport.loop import LoopBridge
from auburncart.transport.metrics import MetricsObserver
from auburncart.transport.store import HttpStore
from auburncart.transport.upstream import HttpUpstreamDialer
from auburncart.transport.web import CallerApplication, CallerServer

__all__ = ["Entry", "run_entry"]


class Entry:
    """One entry VM's process: :meth:`start` and :meth:`stop` are called once each.

    :param settings: checked settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._metrics = MetricsObserver()
        self._store = HttpStore(settings.platform_address, settings.platform_token)
        self._node = Node(
            settings.name,
            settings.data_centre,
            self._store,
            HttpUpstreamDialer(),
            self._make_policies(),
            self._metrics,
        )
        self._servers: list[CallerServer] = []

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses that callers reach: the general one, then the urgent one."""
        return tuple(server.address for server in self._servers)

    async def start(self) -> None:
        """Follow the store and serve callers."""
        self._node.start()
        bridge = LoopBridge(asyncio.get_running_loop())
        settings = self._settings
        ports = (
            (settings.general_address, settings.general_threads, EveryRankGate()),
            (
                settings.urgent_address,
                settings.urgent_threads,
                OneRankGate(self._node.tables, Rank.URGENT),
            ),
        )
        for address, threads, gate in ports:
            application = CallerApplication(
                settings.name, bridge, gate, self._node.searches, self._node.orders, self._metrics
            )
            server = CallerServer(address, application, threads, bridge.time)
            server.start()
            self._servers.append(server)

    async def stop(self) -> None:
        """Stop serving, then end every connection."""
        for server in self._servers:
            await asyncio.to_thread(server.stop)
        await self._node.stop()
        self._store.close()

    def _make_policies(self) -> Policies:
        return baseline_policies(self._settings.places, self._settings.connecting_vms)


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
