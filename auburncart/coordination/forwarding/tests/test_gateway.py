import asyncio
import unittest
from collections.abc import Callable

from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    one_service,
    request,
    search,
)
from auburncart.standins.replicas import (
    FakeReplicaDialer,
    ReplicaModel,
    misdirected_reply,
    ok_reply,
    shed_reply,
)
from auburncart.state.event import ReplicasChanged
from auburncart.state.failure import Ran, Refusal, RefusalCode
from auburncart.state.forward import ForwardedReply, ForwardRequest, MergedAnswer, Reply
from auburncart.tests.virtual import virtual_time


def reset_connection(request: ForwardRequest) -> None:
    return None


def in_turn(*replies: Callable[[ForwardRequest], Reply]) -> Callable[[ForwardRequest], Reply]:
    remaining = iter(replies)
    return lambda request: next(remaining)(request)


def stamped(number: int):
    def reply(request: ForwardRequest) -> Reply:
        return Reply(200, b"OK", (), bytes([number]) * 16, b"proof%d" % number)

    return reply


class OneServiceTest(unittest.TestCase):
    @virtual_time
    async def test_the_reply_is_forwarded_unchanged(self) -> None:
        fixture = GatewayFixture(one_service())
        fixture.add("s", 1)
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, ForwardedReply)
        self.assertEqual(answer.reply, ok_reply(request()))

    @virtual_time
    async def test_a_replica_whose_address_was_taken_over_is_asked_once(self) -> None:
        fixture = GatewayFixture(one_service())
        await asyncio.sleep(10.0)
        fixture.add("s", 1, ReplicaModel(reply=misdirected_reply))
        fixture.add("s", 2, ReplicaModel(service_seconds=0.1))
        answers = [await fixture.gateway.answer(request(number)) for number in range(20)]
        self.assertTrue(all(isinstance(answer, ForwardedReply) for answer in answers))
        self.assertEqual(fixture.reached("s/1"), 1)
        changes = [event.change for event in fixture.journal.of(ReplicasChanged)]
        self.assertIn("address taken by other", changes)

    @virtual_time
    async def test_an_order_that_may_have_run_is_not_retried(self) -> None:
        fixture = GatewayFixture(one_service(idempotent=False))
        fixture.add("s", 1, ReplicaModel(reply=reset_connection))
        fixture.add("s", 2, ReplicaModel(reply=reset_connection))
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.ran), (RefusalCode.FAILED, Ran.UNKNOWN))
        self.assertEqual(len(fixture.replicas.arrivals), 1)

    @virtual_time
    async def test_an_order_that_was_shed_is_retried_at_another_replica(self) -> None:
        fixture = GatewayFixture(one_service(idempotent=False))
        fixture.add("s", 1, ReplicaModel(service_seconds=0.001, reply=shed_reply))
        await asyncio.sleep(10.0)
        second = fixture.add("s", 2)
        for number in range(4):
            fixture.budget.record_request("s")
            self.assertIsInstance(await fixture.gateway.answer(request(number)), ForwardedReply)
        self.assertEqual(second.executed, 4)

    @virtual_time
    async def test_an_order_is_resent_to_a_replica_on_a_new_connection_only(self) -> None:
        """A late copy of the first refusal would else be taken for the second one's reply."""
        for connections in (1, 4):
            fixture = GatewayFixture(one_service(idempotent=False, attempts=3), connections)
            await asyncio.sleep(11.0)
            fixture.add("s", 1, ReplicaModel(0.001, in_turn(ok_reply, shed_reply, ok_reply)))
            fixture.add("s", 2).reachable = False
            self.assertIsInstance(await fixture.gateway.answer(request(1)), ForwardedReply)
            answer = await fixture.gateway.answer(request(2))
            self.assertIsInstance(answer, ForwardedReply)
            self.assertEqual(fixture.reached("s/1"), 3)
            self.assertEqual(fixture.replicas.resent_on_connection, 0)

    @virtual_time
    async def test_an_order_that_all_replicas_shed_is_refused_as_not_run(self) -> None:
        fixture = GatewayFixture(one_service(idempotent=False))
        fixture.add("s", 1, ReplicaModel(reply=shed_reply))
        fixture.add("s", 2, ReplicaModel(reply=shed_reply))
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.ran), (RefusalCode.OVERLOADED, Ran.NO))
        self.assertGreater(answer.retry_after, 0.0)

    @virtual_time
    async def test_no_more_replicas_are_asked_than_the_route_allows(self) -> None:
        fixture = GatewayFixture(one_service(attempts=2))
        await asyncio.sleep(10.0)
        for number in range(5):
            fixture.add("s", number, ReplicaModel(reply=reset_connection))
        await fixture.gateway.answer(request())
        self.assertEqual(len(fixture.replicas.arrivals), 2)

    @virtual_time
    async def test_a_request_is_refused_at_the_timeout_of_its_route(self) -> None:
        fixture = GatewayFixture(one_service())
        fixture.add("s", 1, ReplicaModel(service_seconds=60.0))
        started_at = asyncio.get_running_loop().time()
        answer = await fixture.gateway.answer(request(seconds=30.0))
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.ran), (RefusalCode.TIMED_OUT, Ran.UNKNOWN))
        self.assertAlmostEqual(asyncio.get_running_loop().time() - started_at, 2.0, delta=0.1)
        self.assertEqual(answer.peer, "127.0.0.1:1001")

    @virtual_time
    async def test_work_is_cancelled_when_the_caller_disconnects(self) -> None:
        fixture = GatewayFixture(one_service())
        model = fixture.add("s", 1, ReplicaModel(service_seconds=60.0))
        task = asyncio.create_task(fixture.gateway.answer(request()))
        await asyncio.sleep(0.1)
        self.assertEqual(model.in_flight, 1)
        task.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(model.in_flight, 0)

    @virtual_time
    async def test_a_draining_replica_gets_no_new_requests(self) -> None:
        fixture = GatewayFixture(one_service())
        fixture.add("s", 1)
        fixture.add("s", 2)
        old = fixture.registry.candidates("s")[0].registration
        fixture.registry.install(old._replace(draining=True))
        for number in range(10):
            self.assertIsInstance(await fixture.gateway.answer(request(number)), ForwardedReply)
        self.assertEqual(fixture.reached(old.instance), 0)

    @virtual_time
    async def test_a_request_without_a_replica_is_refused_at_once_as_not_run(self) -> None:
        fixture = GatewayFixture(one_service())
        started_at = asyncio.get_running_loop().time()
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.ran), (RefusalCode.UNAVAILABLE, Ran.NO))
        self.assertEqual(asyncio.get_running_loop().time(), started_at)

    @virtual_time
    async def test_vms_whose_share_is_below_one_connection_keep_none(self) -> None:
        """60 VMs send orders to a replica that accepts 20 connections from all of them."""
        replicas = FakeReplicaDialer()
        for number in range(60):
            route = one_service(idempotent=False, attempts=1)
            vm = GatewayFixture(route, 20 / 60, replicas=replicas)
            vm.add("s", 0).max_connections = 20
            self.assertIsInstance(await vm.gateway.answer(request(number)), ForwardedReply)
        self.assertEqual(replicas.models["s/0"].connections, 0)

    @virtual_time
    async def test_a_success_without_a_stamp_is_not_forwarded(self) -> None:
        fixture = GatewayFixture(one_service(idempotent=False))
        fixture.add("s", 1, ReplicaModel(reply=lambda request: Reply(200, b"OK", (), b"x")))
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.ran), (RefusalCode.FAILED, Ran.UNKNOWN))


class SearchTest(unittest.TestCase):
    @virtual_time
    async def test_the_greatest_records_of_all_parts_are_merged(self) -> None:
        fixture = GatewayFixture(search(8))
        for number in range(8):
            fixture.add(f"s{number}", 1, ReplicaModel(reply=stamped(number)))
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(answer.body, b"".join(bytes([n]) * 16 for n in (7, 6, 5, 4, 3)))
        self.assertEqual((len(answer.stamps), answer.missing), (8, 0))

    @virtual_time
    async def test_a_late_part_is_reported_as_missing_at_the_latency_target(self) -> None:
        fixture = GatewayFixture(search(8))
        for number in range(8):
            fixture.add(f"s{number}", 1, ReplicaModel(reply=stamped(number)))
        fixture.replicas.models["s3/1"].service_seconds = 60.0
        started_at = asyncio.get_running_loop().time()
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertEqual((answer.missing, list(answer.failures)), (1, ["s3"]))
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.1)

    @virtual_time
    async def test_a_slow_replica_is_hedged(self) -> None:
        fixture = GatewayFixture(search(4))
        await asyncio.sleep(10.0)
        for number in range(4):
            fixture.add(f"s{number}", 1, ReplicaModel(reply=stamped(number)))
            fixture.add(f"s{number}", 2, ReplicaModel(reply=stamped(number)))
        first = fixture.registry.candidates("s2")[0].registration.instance
        fixture.replicas.models[first].service_seconds = 0.5
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(answer.missing, 0)

    @virtual_time
    async def test_too_few_parts_lead_to_a_refusal(self) -> None:
        fixture = GatewayFixture(search(4))
        for number in range(4):
            fixture.add(
                f"s{number}",
                1,
                ReplicaModel(reply=stamped(number) if number < 2 else reset_connection),
            )
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, Refusal)
        self.assertEqual(answer.ran, Ran.UNKNOWN)

    @virtual_time
    async def test_a_search_with_too_few_replicas_is_refused_before_any_is_asked(self) -> None:
        fixture = GatewayFixture(search(4))
        for number in range(2):
            fixture.add(f"s{number}", 1, ReplicaModel(reply=stamped(number)))
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.ran), (RefusalCode.UNAVAILABLE, Ran.NO))
        self.assertGreaterEqual(answer.retry_after, 1.0)
        self.assertEqual(fixture.replicas.arrivals, [])

    @virtual_time
    async def test_an_error_reply_is_not_a_part(self) -> None:
        fixture = GatewayFixture(search(4))
        for number in range(4):
            fixture.add(f"s{number}", 1, ReplicaModel(reply=stamped(number)))
        fixture.replicas.models["s0/1"].reply = lambda request: Reply(500, b"", (), b"x" * 16, b"p")
        answer = await fixture.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(list(answer.failures), ["s0"])


class AttemptsTest(unittest.TestCase):
    @virtual_time
    async def test_a_retried_request_is_not_hedged(self) -> None:
        fixture = GatewayFixture(one_service(attempts=2))
        await asyncio.sleep(10.0)
        for number in range(3):
            fixture.add("s", number, ReplicaModel(service_seconds=60.0))
        first = fixture.registry.candidates("s")[0].registration.instance
        fixture.replicas.models[first].service_seconds = 0.01
        fixture.replicas.models[first].reply = reset_connection
        await fixture.gateway.answer(request())
        self.assertEqual(len(fixture.replicas.arrivals), 2)
