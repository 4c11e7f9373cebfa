"""Finding the cause of a failed request from its id with the log of a real process.

The procedures are those of docs/OPERATIONS.md.
"""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

from auburncart.command.explain import lines_of
from auburncart.daemon.tests.soak.caller import Caller
from auburncart.daemon.tests.soak.environment import KINDS, Environment
from auburncart.daemon.tests.soak.history import Exchange
from auburncart.daemon.tests.soak.replica import Replica, ReplicaFaults

SEARCH, ONCE, FETCH = KINDS
LOG_SECONDS = 0.6  # after which a log line has been written
NEVER = 10_000.0  # slowdown factor: no answer before any deadline


class FailureTracingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.environment = Environment(1, 1, Path(self.folder.name), callers=0)
        await self.environment.start()

    async def asyncTearDown(self) -> None:
        await self.environment.close()
        self.folder.cleanup()

    def set_faults(self, service: str, faults: ReplicaFaults) -> list[Replica]:
        """Set the faults of all replicas of a service."""
        chosen = [one for one, _ in self.environment.replicas.values() if one.service == service]
        for replica in chosen:
            replica.faults = faults
        return chosen

    async def send(self, kind) -> tuple[Exchange, list[str]]:
        """Send a request; return its exchange and the log lines of its id."""
        caller = Caller(
            lambda: self.environment.vms[0],
            lambda: KINDS,
            self.environment.history,
            random.Random(2),
        )
        await caller.send(kind)
        caller.close()
        exchange = list(self.environment.history.exchanges.values())[-1]
        await asyncio.sleep(LOG_SECONDS)
        return exchange, lines_of(self.environment.vms[0].log_lines(), exchange.request_id)

    def line(self, lines: list[str], kind: str, *parts: str) -> None:
        """Assert that a log line of a kind contains all parts."""
        found = [line for line in lines if f" {kind} " in line]
        self.assertTrue(any(all(part in line for part in parts) for line in found), lines)

    async def test_an_order_whose_reply_was_lost_is_traced_to_its_replica(self) -> None:
        replicas = self.set_faults("o1", ReplicaFaults(lost_share=1.0))
        exchange, lines = await self.send(ONCE)
        self.assertEqual(exchange.status, 502)
        ran = next(arrival.instance for arrival in self.environment.history.arrivals if arrival.ran)
        address = next(one.proxy.address for one in replicas if one.instance == ran)
        self.line(lines, "Routed", "service=o1", "configuration=")
        self.line(lines, "TryFailed", f"replica={address}", "code=lost", "sent=True")
        self.line(lines, "Refused", "kind=once", "ran=unknown", address)

    async def test_missing_parts_are_traced_to_their_shard_and_its_slow_replica(self) -> None:
        replicas = self.set_faults("a2", ReplicaFaults(slowdown=NEVER))
        exchange, lines = await self.send(SEARCH)
        self.assertEqual(exchange.status, 200)
        self.assertEqual(exchange.headers["x-missing-parts"], "1")
        self.line(lines, "Answered", "missing=1", "missing_shards=['a2']", "no reply in time")
        addresses = [one.proxy.address for one in replicas]
        hedged = [line for line in lines if " Hedged " in line and "service=a2" in line]
        self.assertTrue(any(address in line for line in hedged for address in addresses), lines)

    async def test_an_order_that_timed_out_is_traced_to_its_replica(self) -> None:
        replicas = self.set_faults("o1", ReplicaFaults(slowdown=NEVER))
        exchange, lines = await self.send(ONCE)
        self.assertEqual(exchange.status, 504)
        ran = next(arrival.instance for arrival in self.environment.history.arrivals if arrival.ran)
        address = next(one.proxy.address for one in replicas if one.instance == ran)
        self.line(lines, "Refused", "code=timed_out", f"reply {address}", "ran=unknown")

    async def test_a_refusal_without_replicas_shows_the_age_of_their_list(self) -> None:
        for instance, (replica, _) in list(self.environment.replicas.items()):
            if replica.service == "f1":
                self.environment.store.remove("servers", instance)
        await asyncio.sleep(1.0)
        exchange, lines = await self.send(FETCH)
        self.assertEqual(exchange.status, 503)
        self.assertIn("retry-after", exchange.headers)
        self.line(lines, "Refused", "code=unavailable", "no replica may be asked", "ran=no")
        self.line(lines, "Refused", "replicas_age=")
        gone = [line for line in self.environment.vms[0].log_lines() if b"ReplicasChanged" in line]
        self.assertTrue(any(b'"change":"gone"' in line for line in gone))
