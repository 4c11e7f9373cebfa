"""A request that crashes replicas, beside the loss of many replicas for another reason."""

import asyncio
import itertools
import random
import unittest

from auburncart.coordination.forwarding.interfaces import ReplicaConnection
from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.quarantine import CRASHES
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    request,
    search,
)
from auburncart.coordination.forwarding.tests.test_quarantine import (
    STABLE_SECONDS,
    TIMES,
    CrashStore,
    crash_on_bad_path,
    crashing_request,
)
from auburncart.exception import StoreUnavailableError
from auburncart.standins.replicas import FakeReplicaDialer, ReplicaModel
from auburncart.state.registration import Registration
from auburncart.tests.virtual import virtual_time

SHARDS = 20
CONNECT_TIMEOUT_SECONDS = 0.3  # to a host that is dark
WRITE_SECONDS = 0.05
SEARCH_INTERVAL_SECONDS = 0.05
RUN_SECONDS = 0.3  # so that many searches are in flight
WARM_UP_SECONDS = 1.0


class DarkDialer(FakeReplicaDialer):
    """Connections to unreachable replicas time out instead of being refused."""

    async def connect(self, registration: Registration) -> ReplicaConnection:
        if not self.models[registration.instance].reachable:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
        return await super().connect(registration)


class LimitedStore(CrashStore):
    """A store that answers after some time and accepts only so many writes a second."""

    writes_per_second = float("inf")
    _second = 0
    _writes = 0

    async def put(self, kind: str, name: str, value: dict) -> None:
        await asyncio.sleep(WRITE_SECONDS)
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._second, self._writes = second, 0
        self._writes += 1
        if self._writes > self.writes_per_second:
            raise StoreUnavailableError("status 429", step="store", sent=False)
        await super().put(kind, name, value)


class MassCrash:
    """VMs that search all the time while a third of all replicas go dark.

    :param vms: number of VMs.
    :param writes_per_second: that the store accepts.
    """

    def __init__(self, vms: int, writes_per_second: float) -> None:
        self.store, self.replicas = LimitedStore(), DarkDialer()
        self.store.writes_per_second = writes_per_second
        route = search(SHARDS, min_share=0.5)
        self.vms = [
            GatewayFixture(route, store=self.store, replicas=self.replicas) for _ in range(vms)
        ]
        for vm in self.vms:
            for shard in route.shards:
                for number in range(6):
                    vm.add(shard, number, crash_on_bad_path(ReplicaModel(RUN_SECONDS)))
        self._numbers = itertools.count(1000)
        self._tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Watch the reports of crashes and begin to search."""
        for number, vm in enumerate(self.vms):
            watcher = KindWatcher(
                self.store, CRASHES, vm.quarantine, vm.journal, random.Random(number), TIMES
            )
            self._run(watcher.run())
            self._run(self._search(vm))

    def stop(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()

    def lose_replicas(self) -> None:
        """Lose a third of the replicas of each shard, with what they run."""
        for instance, model in self.replicas.models.items():
            if instance.endswith(("/0", "/1")):
                model.crash()

    async def refusal_seconds(self) -> float:
        """Return the seconds after the third crash until all VMs refuse the crashing request."""
        loop = asyncio.get_running_loop()
        crashed_at = float("inf")
        for number in itertools.count():
            vm = self.vms[number % len(self.vms)]
            self._run(vm.gateway.answer(crashing_request(next(self._numbers))))
            for _ in range(10):
                await asyncio.sleep(0.05)
                bad = [one.at for one in self.replicas.arrivals if one.request.path == "/a/bad"]
                if len(bad) > 2:
                    crashed_at = min(crashed_at, sorted(bad)[2])
                probe = crashing_request(0)
                if all(one.quarantine.retry_delay(probe) > 0.0 for one in self.vms):
                    return loop.time() - crashed_at
            if loop.time() > crashed_at + 60.0:
                break
        return float("inf")

    async def _search(self, vm: GatewayFixture) -> None:
        while True:
            # Each search differs, so that its answers excuse only its own crashes.
            number = next(self._numbers)
            asked = request(number)._replace(target=b"/a/b%d" % number, path=f"/a/b{number}")
            self._run(vm.gateway.answer(asked))
            await asyncio.sleep(SEARCH_INTERVAL_SECONDS)

    def _run(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class CrashesTogetherTest(unittest.TestCase):
    @virtual_time
    async def test_a_crashing_request_is_refused_in_time_beside_a_mass_crash(self) -> None:
        for vms, writes in ((8, 400.0), (8, 20.0)):
            with self.subTest(vms=vms, writes_per_second=writes):
                tier = MassCrash(vms, writes)
                tier.start()
                await asyncio.sleep(WARM_UP_SECONDS)
                tier.lose_replicas()
                await asyncio.sleep(0.02)
                seconds = await tier.refusal_seconds()
                self.assertLess(seconds, STABLE_SECONDS)
                tier.stop()
