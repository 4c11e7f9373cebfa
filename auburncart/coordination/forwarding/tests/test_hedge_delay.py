"""Hedge requests to replicas of other regions must leave early enough to be of use."""

import asyncio
import unittest

from auburncart.coordination.forwarding.attempts import HEDGE_DELAY_SHARE
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    registration,
    request,
    search,
)
from auburncart.standins.replicas import ReplicaModel
from auburncart.state.event import Hedged
from auburncart.state.forward import MergedAnswer, Reply
from auburncart.tests.virtual import virtual_time

SHARDS = 8
LATENCY_TARGET = 0.127
REMOTE_SECONDS = 0.060  # a round trip of 40 ms, and the work of a replica that is a little slow


class HedgeDelayTest(unittest.TestCase):
    async def build(self) -> GatewayFixture:
        """Build a gateway with one replica of each shard here, and one in another region."""
        fixture = GatewayFixture(search(SHARDS)._replace(latency_target=LATENCY_TARGET))
        fixture.registry._distance = lambda data_centre: 0 if data_centre == "dc1" else 2
        for number in range(SHARDS):
            reply = Reply(200, b"OK", (), bytes([number]) * 16, b"%d" % number)
            for place, seconds in ((1, 0.007), (2, REMOTE_SECONDS)):
                fixture.replicas.add(
                    f"s{number}/{place}", ReplicaModel(seconds, lambda asked, reply=reply: reply)
                )
                entry = registration(f"s{number}", place)._replace(data_centre=f"dc{place}")
                fixture.registry.install(entry)
        for number in range(20):
            await fixture.gateway.answer(request(100 + number))
            await asyncio.sleep(1.0)
        return fixture

    @virtual_time
    async def test_a_paused_replica_is_replaced_by_one_of_another_region_in_time(self) -> None:
        fixture = await self.build()
        fixture.replicas.models["s3/1"].service_seconds = 0.25
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(answer.missing, 0)
        self.assertEqual(len(fixture.journal.of(Hedged)), 1)

    @virtual_time
    async def test_replicas_that_reply_as_usual_are_not_hedged(self) -> None:
        fixture = await self.build()
        for number in range(SHARDS):
            fixture.replicas.models[f"s{number}/1"].service_seconds = 0.016
        await fixture.gateway.answer(request())
        self.assertEqual(fixture.journal.of(Hedged), [])

    @virtual_time
    async def test_the_reserve_of_the_budget_is_not_spent_on_early_hedges(self) -> None:
        fixture = await self.build()
        while fixture.budget.remaining("s3") >= fixture.budget.reserve("s3"):
            fixture.budget.spend("s3")
        fixture.replicas.models["s3/1"].service_seconds = 0.25
        await fixture.gateway.answer(request())
        (hedged,) = fixture.journal.of(Hedged)
        self.assertTrue(hedged.started)
        self.assertGreaterEqual(hedged.waited, HEDGE_DELAY_SHARE * LATENCY_TARGET)
