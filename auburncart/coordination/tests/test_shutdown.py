"""Tests of graceful shutdown: VMs replaced under load, and shutdowns that end early."""

import asyncio
import itertools
import unittest

from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.shutdown import FrontEnd, RequestTracker, Shutdown, ShutdownTimes
from auburncart.standins.site import DEMO_TABLE
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

BALANCER_LAG_SECONDS = 1.5  # from readiness off to the last request of the load balancer
REQUEST_INTERVAL_SECONDS = 0.005
DRAIN_TIMEOUT_SECONDS = 10.0


class Port(FrontEnd):
    """A VM's port without sockets; requests sent after it has stopped are cut off."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.listening = True
        self.closing_after_reply = False

    def close_after_reply(self) -> None:
        self.closing_after_reply = True

    async def stop(self) -> None:
        self.listening = False

    async def send(self, number: int) -> bool:
        if not self.listening:
            return False
        with self.node.request_tracker.track():
            answer = await self.node.searches.search(search_request(number))
        return self.listening and answer.is_ok() and answer.ok.coverage.complete


class BalancedVms:
    """Three VMs behind a load balancer that learns of readiness with a delay."""

    def __init__(self) -> None:
        self.site = Site(shards=2)
        self.ports = [self.start(number) for number in range(3)]
        self.names = itertools.count(3)
        self.sent = 0
        self.cut_off = 0

    def start(self, number: int) -> Port:
        site = self.site
        node = Node(f"vm{number}", "dc1", site.store, site.dialer, site.policies, NullObserver())
        node.tables.install(DEMO_TABLE)
        node.catalogue.install(site.shard_map)
        return Port(node)

    async def balance(self) -> None:
        """Send searches to the VMs that were ready before the lag, in round-robin order."""
        tasks = set()
        view = list(self.ports)
        loop = asyncio.get_running_loop()
        while True:
            ready = [port for port in self.ports if port.node.ready]
            loop.call_later(BALANCER_LAG_SECONDS, view.__setitem__, slice(None), ready)
            for _ in range(20):
                self.sent += 1
                port = view[self.sent % len(view)]
                task = asyncio.create_task(self.count(port, self.sent))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def count(self, port: Port, number: int) -> None:
        if not await port.send(number):
            self.cut_off += 1

    async def replace_all(self, lag: float) -> int:
        """Replace each VM with a new one and return how many requests were cut off."""
        balancer = asyncio.create_task(self.balance())
        for place in range(len(self.ports)):
            old, new = self.ports[place], self.start(next(self.names))
            self.ports.append(new)
            await asyncio.sleep(2 * BALANCER_LAG_SECONDS)
            times = ShutdownTimes(lag, DRAIN_TIMEOUT_SECONDS)
            self.cut_off += await Shutdown(old.node.request_tracker, old, times).run()
            await old.node.stop()
        await asyncio.sleep(2 * BALANCER_LAG_SECONDS)
        balancer.cancel()
        return self.cut_off


class ReplaceTest(unittest.TestCase):
    @virtual_time
    async def test_no_request_is_cut_off_while_vms_are_replaced_one_by_one(self) -> None:
        vms = BalancedVms()
        self.assertEqual(await vms.replace_all(lag=2.0), 0)
        self.assertGreater(vms.sent, 2000)
        self.assertTrue(all(port.closing_after_reply for port in vms.ports[:3]))

    @virtual_time
    async def test_without_the_balancer_lag_requests_are_cut_off(self) -> None:
        self.assertGreater(await BalancedVms().replace_all(lag=0.0), 100)


class EndTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.port = Port(self.site.node)
        self.times = ShutdownTimes(2.0, DRAIN_TIMEOUT_SECONDS)

    async def slow_request(self) -> None:
        with self.site.node.request_tracker.track():
            await asyncio.sleep(100.0)

    @virtual_time
    async def test_timeout_ends_it_and_the_request_is_counted(self) -> None:
        request = asyncio.create_task(self.slow_request())
        started_at = asyncio.get_running_loop().time()
        cut_off = await Shutdown(self.site.node.request_tracker, self.port, self.times).run()
        self.assertEqual(cut_off, 1)
        self.assertAlmostEqual(asyncio.get_running_loop().time() - started_at, 12.0, 2)
        self.assertTrue((await asyncio.gather(request, return_exceptions=True))[0] is not None)

    @virtual_time
    async def test_second_signal_ends_it_at_once(self) -> None:
        request = asyncio.create_task(self.slow_request())
        await asyncio.sleep(0)
        shutdown = Shutdown(self.site.node.request_tracker, self.port, self.times)
        asyncio.get_running_loop().call_later(0.5, shutdown.skip_waits)
        started_at = asyncio.get_running_loop().time()
        self.assertEqual(await shutdown.run(), 1)
        self.assertAlmostEqual(asyncio.get_running_loop().time() - started_at, 0.5, 2)
        await asyncio.gather(request, return_exceptions=True)

    @virtual_time
    async def test_peers_are_notified_and_readiness_is_off_before_any_wait(self) -> None:
        request_tracker, seen = RequestTracker(lambda: True), []
        request_tracker.on_leaving(
            lambda: seen.append((request_tracker.ready, self.port.listening))
        )
        await Shutdown(request_tracker, self.port, self.times).run()
        self.assertEqual(seen, [(False, True)])
