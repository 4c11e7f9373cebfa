"""What replicas say about themselves: not before some time, and leaving."""

import asyncio
import unittest

from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    one_service,
    registration,
    request,
    search,
)
from auburncart.coordination.forwarding.tests.large_tier import LIMIT, run_large_tier
from auburncart.coordination.forwarding.tests.test_request_limit import max_requests
from auburncart.standins.replicas import ReplicaModel, misdirected_reply, ok_reply, shed_reply
from auburncart.state.event import ReplicaPaused, ReplicasChanged
from auburncart.state.failure import Ran, Refusal
from auburncart.state.forward import ForwardedReply, ForwardRequest, MergedAnswer, Reply
from auburncart.tests.virtual import virtual_time

TOLD_SECONDS = 0.5  # after a reply, until the requests that it excludes count
START_SECONDS = 20.0


def error_reply(request: ForwardRequest) -> Reply:
    return Reply(500, b"", (), b"", b"proof")


def limited_reply(request: ForwardRequest) -> Reply:
    return Reply(429, b"", (), b"", not_run=True)


class PauseTest(unittest.TestCase):
    def arrivals_in_pause(self, fixture: GatewayFixture, instance: str, pause: float) -> int:
        """Return the arrivals at a replica in the pause that began with its first one."""
        times = [item.at for item in fixture.replicas.arrivals if item.instance == instance]
        return sum(TOLD_SECONDS < at - times[0] < pause for at in times)

    @virtual_time
    async def test_a_replica_gets_no_requests_until_its_pause_is_over(self) -> None:
        for route in (one_service(), one_service(idempotent=False), search(20)):
            fixture = GatewayFixture(route)
            services = [target.service for target in route.targets] or route.shards
            for service in services:
                for number in range(2):
                    fixture.add(service, number, ReplicaModel(reply=shed_reply)).retry_after = 4.0
            await asyncio.sleep(START_SECONDS)
            for number in range(100):
                asyncio.create_task(fixture.gateway.answer(request(number)))
                await asyncio.sleep(0.05)
            await asyncio.sleep(2.0)
            for instance in fixture.replicas.models:
                self.assertLessEqual(self.arrivals_in_pause(fixture, instance, 4.0), 2)
            fixture.registry.close()

    @virtual_time
    async def test_the_answers_to_earlier_requests_do_not_end_a_pause(self) -> None:
        """A replica that worked on some requests and turned others away got one after each."""
        earlier = {f"id{number}": 0.6 + 0.2 * number for number in range(10)}
        model = ReplicaModel(
            reply=lambda request: (ok_reply if request.request_id in earlier else shed_reply)(
                request
            )
        )
        model.retry_after = 3.0
        model.service_time = lambda request: earlier.get(request.request_id, 0.01)
        fixture = GatewayFixture(one_service(attempts=1), connections=20.0)
        fixture.add("s", 1, model)
        await asyncio.sleep(START_SECONDS)
        tasks = []
        for number in range(80):
            tasks.append(asyncio.create_task(fixture.gateway.answer(request(number, seconds=9.0))))
            await asyncio.sleep(0.0 if number < len(earlier) else 0.05)
        self.assertLessEqual(self.arrivals_in_pause(fixture, "s/1", 3.0), 2)
        for task in tasks:
            task.cancel()

    @virtual_time
    async def test_a_pause_of_all_replicas_is_refused_at_once(self) -> None:
        fixture = GatewayFixture(one_service())
        for number in range(2):
            fixture.add("s", number, ReplicaModel(reply=shed_reply)).retry_after = 9.0
        await asyncio.sleep(START_SECONDS)
        for number in range(3):
            await fixture.gateway.answer(request(number))
        reached = len(fixture.replicas.arrivals)
        began = asyncio.get_running_loop().time()
        answer = await fixture.gateway.answer(request(9))
        assert isinstance(answer, Refusal)
        self.assertIs(answer.ran, Ran.NO)
        self.assertGreater(answer.retry_after, 4.0)
        self.assertEqual(asyncio.get_running_loop().time(), began)
        self.assertEqual(len(fixture.replicas.arrivals), reached)

    @virtual_time
    async def test_a_replica_is_asked_again_by_one_request_first(self) -> None:
        fixture = GatewayFixture(one_service(attempts=1))
        model = fixture.add("s", 1, ReplicaModel(0.3, reply=shed_reply))
        model.retry_after = 2.0
        await fixture.gateway.answer(request(0))
        await asyncio.sleep(2.5)
        tasks = [
            asyncio.create_task(fixture.gateway.answer(request(number, seconds=9.0)))
            for number in range(1, 5)
        ]
        await asyncio.sleep(0.2)
        self.assertEqual(fixture.reached("s/1"), 2)
        for task in tasks:
            task.cancel()

    @virtual_time
    async def test_a_pause_is_logged_and_other_statuses_name_none(self) -> None:
        for reply, paused in ((shed_reply, 1), (limited_reply, 0), (error_reply, 0)):
            fixture = GatewayFixture(one_service(attempts=1))
            fixture.add("s", 1, ReplicaModel(reply=reply)).retry_after = 3.0
            await fixture.gateway.answer(request(1))
            self.assertEqual(len(fixture.journal.of(ReplicaPaused)), paused)
            fixture.registry.close()

    @virtual_time
    async def test_a_very_long_pause_is_tried_again_after_some_minutes(self) -> None:
        fixture = GatewayFixture(one_service(attempts=1))
        fixture.add("s", 1, ReplicaModel(reply=shed_reply)).retry_after = 1e12
        for number in range(2000):
            await fixture.gateway.answer(request(number))
            await asyncio.sleep(1.0)
        self.assertGreater(fixture.reached("s/1"), 1)
        self.assertLess(fixture.reached("s/1"), 10)


class LeavingTest(unittest.TestCase):
    def _fixture(self) -> GatewayFixture:
        """Return a VM with a replica that says that it leaves, and another one."""
        fixture = GatewayFixture(one_service())
        self.model = fixture.add("s", 1)
        self.model.leaving = True
        return fixture

    @virtual_time
    async def test_a_replica_that_leaves_gets_no_more_requests(self) -> None:
        replies = (ok_reply, error_reply, shed_reply, limited_reply)
        for reply in replies:
            fixture = self._fixture()
            self.model.reply = reply
            fixture.add("s", 2)
            for number in range(50):
                await fixture.gateway.answer(request(number))
                await asyncio.sleep(0.1)
            self.assertLessEqual(fixture.reached("s/1"), 1)
            changes = [event.change for event in fixture.journal.of(ReplicasChanged)]
            self.assertEqual(changes.count("leaving"), fixture.reached("s/1"))
            fixture.registry.close()

    @virtual_time
    async def test_a_shard_whose_only_replica_leaves_is_left_out(self) -> None:
        fixture = GatewayFixture(search(10))
        for number, shard in enumerate(search(10).shards):
            part = Reply(200, b"OK", (), b"r" * 16, shard.encode())
            fixture.add(shard, 1, ReplicaModel(reply=lambda asked, part=part: part))
            fixture.replicas.models[f"{shard}/1"].leaving = number < 2
        first = await fixture.gateway.answer(request(1))
        second = await fixture.gateway.answer(request(2))
        assert isinstance(first, MergedAnswer) and isinstance(second, MergedAnswer)
        self.assertEqual((first.missing, second.missing), (0, 2))

    @virtual_time
    async def test_a_leaving_replica_that_is_listed_again_stays_unused(self) -> None:
        fixture = self._fixture()
        await fixture.gateway.answer(request(1))
        fixture.registry.remove("s/1")
        fixture.registry.install(registration("s", 1))
        self.assertIsInstance(await fixture.gateway.answer(request(2)), Refusal)
        self.assertEqual(fixture.reached("s/1"), 1)

    @virtual_time
    async def test_a_replica_that_starts_again_is_used_again(self) -> None:
        fixture = self._fixture()
        await fixture.gateway.answer(request(1))
        self.model.leaving = False
        fixture.registry.install(registration("s", 1)._replace(started_at_ms=5))
        self.assertIsInstance(await fixture.gateway.answer(request(2)), ForwardedReply)

    @virtual_time
    async def test_the_next_owner_of_a_leaving_replicas_address_is_used(self) -> None:
        fixture = self._fixture()
        await fixture.gateway.answer(request(1))
        fixture.replicas.add("s/9")
        fixture.registry.remove("s/1")
        fixture.registry.install(registration("s", 1)._replace(instance="s/9"))
        self.assertIsInstance(await fixture.gateway.answer(request(2)), ForwardedReply)
        self.assertEqual(fixture.reached("s/9"), 1)

    @virtual_time
    async def test_another_replica_at_the_address_does_not_speak_for_the_one_meant(self) -> None:
        fixture = GatewayFixture(one_service())
        fixture.add("s", 1, ReplicaModel(reply=misdirected_reply)).leaving = True
        await fixture.gateway.answer(request(1))
        changes = [event.change for event in fixture.journal.of(ReplicasChanged)]
        self.assertNotIn("leaving", changes)

    @virtual_time
    async def test_requests_in_flight_and_queued_are_served_when_a_replica_leaves(self) -> None:
        fixture = GatewayFixture(one_service(), 2.0)
        model = fixture.add("s", 1, ReplicaModel(0.2))
        fixture.add("s", 2, ReplicaModel(0.2))
        tasks = [asyncio.create_task(fixture.gateway.answer(request(n))) for n in range(8)]
        await asyncio.sleep(0.1)
        model.leaving = True
        answers = await asyncio.gather(*tasks)
        self.assertTrue(all(isinstance(answer, ForwardedReply) for answer in answers))
        self.assertLessEqual(fixture.reached("s/1"), 2)


class LargeTierTest(unittest.TestCase):
    @virtual_time
    async def test_a_tier_keeps_to_what_a_tenth_of_its_replicas_announce(self) -> None:
        figures = await run_large_tier(48, 60, 12.0)
        self.assertGreaterEqual(figures.credit, 0.95)
        self.assertLessEqual(figures.most_limited, max_requests(LIMIT))
        self.assertLessEqual(figures.most_paused, 2)
        self.assertEqual(figures.late_leaving, 0)
