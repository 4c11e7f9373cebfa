"""From a failed request's id to its cause, by the log of a real process alone.

The ways are those of docs/OPERATIONS.md.
"""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

from auburncart.command.explain import lines_of
from auburncart.daemon.tests.soak.caller import Caller
from auburncart.daemon.tests.soak.ledger import Exchange
from auburncart.daemon.tests.soak.replica import Replica, Troubles
from auburncart.daemon.tests.soak.world import KINDS, World

SEARCH, ONCE, FETCH = KINDS
LOG_SECONDS = 0.6  # after which a line has been written
NEVER = 10_000.0  # times as slow as usual: no answer before any deadline


class ThreeWaysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.world = World(1, 1, Path(self.folder.name), callers=0)
        await self.world.start()

    async def asyncTearDown(self) -> None:
        await self.world.close()
        self.folder.cleanup()

    def trouble(self, service: str, troubles: Troubles) -> list[Replica]:
        """Trouble all replicas of a service."""
        chosen = [one for one, _ in self.world.replicas.values() if one.service == service]
        for replica in chosen:
            replica.troubles = troubles
        return chosen

    async def send(self, kind) -> tuple[Exchange, list[str]]:
        """Send a request; return its exchange, and what the log says of its id."""
        caller = Caller(
            lambda: self.world.vms[0], lambda: KINDS, self.world.ledger, random.Random(2)
        )
        await caller.send(kind)
        caller.close()
        exchange = list(self.world.ledger.exchanges.values())[-1]
        await asyncio.sleep(LOG_SECONDS)
        return exchange, lines_of(self.world.vms[0].lines(), exchange.request_id)

    def line(self, lines: list[str], kind: str, *parts: str) -> None:
        """Assert that a line of a kind has some parts."""
        found = [line for line in lines if f" {kind} " in line]
        self.assertTrue(any(all(part in line for part in parts) for line in found), lines)

    async def test_an_order_whose_answer_was_lost_leads_to_its_replica(self) -> None:
        replicas = self.trouble("o1", Troubles(lose=1.0))
        exchange, lines = await self.send(ONCE)
        self.assertEqual(exchange.status, 502)
        ran = next(arrival.instance for arrival in self.world.ledger.arrivals if arrival.ran)
        address = next(one.link.address for one in replicas if one.instance == ran)
        self.line(lines, "Routed", "service=o1", "configuration=")
        self.line(lines, "TryFailed", f"replica={address}", "code=lost", "sent=True")
        self.line(lines, "Refused", "kind=once", "ran=unknown", address)

    async def test_missing_parts_lead_to_their_shard_and_its_slow_replica(self) -> None:
        replicas = self.trouble("a2", Troubles(slow=NEVER))
        exchange, lines = await self.send(SEARCH)
        self.assertEqual(exchange.status, 200)
        self.assertEqual(exchange.fields["x-missing-parts"], "1")
        self.line(lines, "Answered", "missing=1", "missing_shards=['a2']", "no reply in time")
        addresses = [one.link.address for one in replicas]
        hedged = [line for line in lines if " Hedged " in line and "service=a2" in line]
        self.assertTrue(any(address in line for line in hedged for address in addresses), lines)

    async def test_an_order_given_up_at_its_limit_leads_to_its_replica(self) -> None:
        replicas = self.trouble("o1", Troubles(slow=NEVER))
        exchange, lines = await self.send(ONCE)
        self.assertEqual(exchange.status, 504)
        ran = next(arrival.instance for arrival in self.world.ledger.arrivals if arrival.ran)
        address = next(one.link.address for one in replicas if one.instance == ran)
        self.line(lines, "Refused", "code=timed_out", f"reply {address}", "ran=unknown")

    async def test_a_refusal_for_want_of_replicas_tells_the_age_of_their_list(self) -> None:
        for instance, (replica, _) in list(self.world.replicas.items()):
            if replica.service == "f1":
                self.world.store.remove("servers", instance)
        await asyncio.sleep(1.0)
        exchange, lines = await self.send(FETCH)
        self.assertEqual(exchange.status, 503)
        self.assertIn("retry-after", exchange.fields)
        self.line(lines, "Refused", "code=unavailable", "no replica may be asked", "ran=no")
        self.line(lines, "Refused", "replicas_age=")
        gone = [line for line in self.world.vms[0].lines() if b"ReplicasChanged" in line]
        self.assertTrue(any(b'"change":"gone"' in line for line in gone))
