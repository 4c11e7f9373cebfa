"""Requests that crash every replica that begins to run them, repeated by their caller."""

import asyncio
import random
import unittest
from collections.abc import Callable

from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.quarantine import CRASHES
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    one_service,
    request,
    search,
)
from auburncart.coordination.forwarding.tests.test_quarantine import (
    DOWN_SECONDS,
    CrashStore,
    crash_on,
    crash_on_bad_path,
    crashing_request,
)
from auburncart.coordination.forwarding.tests.tier_fixture import Tier
from auburncart.coordination.forwarding.watch_times import watch_times
from auburncart.exception import StoreUnavailableError
from auburncart.standins.replicas import Arrival, FakeReplicaDialer, ReplicaModel
from auburncart.state.configuration import Route
from auburncart.state.event import CrashConfirmed, CrashLearned
from auburncart.state.failure import Ran, Refusal
from auburncart.state.forward import ForwardedReply, ForwardRequest, MergedAnswer, Reply
from auburncart.tests.virtual import virtual_time

TIMES = watch_times(4.0, 3.0)
SETTLING_SECONDS = 5.0  # after the third crash, until arrivals count
MAX_LATE_ARRIVALS = 3
REPEATS = 10
SILENT_SECONDS = 1000.0
BUDGET_SECONDS = 20.0  # until a new VM has its share of the retry budget


def late_arrivals(arrivals: list[Arrival]) -> int:
    """Return the number of arrivals of crashing requests after the third one has settled."""
    at = sorted(arrival.at for arrival in arrivals if arrival.request.path == "/a/bad")
    return sum(when > at[2] + SETTLING_SECONDS for when in at) if len(at) > 2 else 0


def late_repetitions(arrivals: list[Arrival]) -> int:
    """Return the number of attempts of callers that arrived after the third crash has settled."""
    bad = [arrival for arrival in arrivals if arrival.request.path == "/a/bad"]
    late = bad[2].at + SETTLING_SECONDS if len(bad) > 2 else float("inf")
    return len({arrival.request.request_id for arrival in bad if arrival.at > late})


def crash(model: ReplicaModel) -> None:
    """Crash a replica, with all its requests in flight; it is back after some seconds."""
    model.crash()
    asyncio.get_running_loop().call_later(DOWN_SECONDS, setattr, model, "reachable", True)


def fall_silent_on_bad_path(model: ReplicaModel) -> None:
    """Make a replica that runs a request for path ``/a/bad`` answer nothing more for a while."""
    default = model.service_time

    def service_time(asked: ForwardRequest) -> float:
        if asked.path != "/a/bad":
            return default(asked)
        model.reachable = False
        asyncio.get_running_loop().call_later(DOWN_SECONDS, setattr, model, "reachable", True)
        return SILENT_SECONDS

    model.service_time = service_time


def other_crashing_request(number: int) -> ForwardRequest:
    return crashing_request(1000 + number)._replace(target=b"/a/bad?2", caller="127.0.0.2:9")


def of_another_caller(number: int) -> ForwardRequest:
    return crashing_request(number)._replace(caller=f"127.0.1.{number}:9")


def with_another_query(number: int) -> ForwardRequest:
    return crashing_request(number)._replace(target=b"/a/bad?page=%d" % number)


def asked_with(target: bytes, number: int) -> ForwardRequest:
    return request(number)._replace(target=target)


def has_bad_query(asked: ForwardRequest) -> bool:
    return b"?bad" in asked.target


def answer_with_error(model: ReplicaModel, share: float, seed: int) -> None:
    """Let a replica answer a share of the requests with status 500 before it runs them."""
    default, chance = model.reply, random.Random(seed)
    error = Reply(500, b"", (), b"", b"proof")
    model.reply = lambda asked: error if chance.random() < share else default(asked)


def watch_crashes(store: CrashStore, fixtures: list[GatewayFixture]) -> list[asyncio.Task[None]]:
    """Let VMs watch the reports of crashes."""
    watchers = [
        KindWatcher(
            store, CRASHES, fixture.quarantine, fixture.journal, random.Random(number), TIMES
        )
        for number, fixture in enumerate(fixtures)
    ]
    return [asyncio.create_task(watcher.run()) for watcher in watchers]


class LossyStore(CrashStore):
    """A store that loses each second write and answers late."""

    writes = 0

    async def put(self, kind: str, name: str, value: dict) -> None:
        self.writes += 1
        await asyncio.sleep(0.5)
        if self.writes % 2:
            raise StoreUnavailableError("lost", step="store")
        await super().put(kind, name, value)


class CrashingRequestTest(unittest.TestCase):
    async def _repeat(
        self,
        route: Route,
        replicas_per_service: int,
        interval: float,
        make_request: Callable[[int], ForwardRequest] = crashing_request,
    ) -> int:
        """Repeat a crashing request at one VM; return the number of late arrivals."""
        fixture = GatewayFixture(route)
        for service in [target.service for target in route.targets] + list(route.shards):
            for number in range(replicas_per_service):
                fixture.add(service, number, crash_on_bad_path(ReplicaModel()))
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(REPEATS):
            await fixture.gateway.answer(make_request(number))
            await asyncio.sleep(interval)
        self.arrivals = fixture.replicas.arrivals
        return late_arrivals(self.arrivals)

    @virtual_time
    async def test_a_trial_passed_at_one_shard_does_not_let_all_others_crash_each_minute(
        self,
    ) -> None:
        """The trial's shard answers; each further trial comes after twice the time."""
        for shards in (2, 20):
            with self.subTest(shards=shards):
                fixture = GatewayFixture(search(shards, min_share=1.0))
                for index, shard in enumerate(search(shards).shards):
                    for number in range(2):
                        model = fixture.add(shard, number)
                        if index:
                            crash_on_bad_path(model)
                await asyncio.sleep(BUDGET_SECONDS)
                for number in range(400):
                    await fixture.gateway.answer(crashing_request(number))
                    await asyncio.sleep(9.0)
                crashes = len(fixture.journal.of(CrashConfirmed))
                # In an hour trials come 1, 3, 7, 15 and 31 minutes after the first refusal.
                attempts = search(shards).max_attempts
                self.assertLessEqual(crashes, (3 + 5) * attempts * (shards - 1))

    async def _repeat_at_several_vms(
        self, route: Route, make_request: Callable[[int], ForwardRequest]
    ) -> int:
        """Repeat a crashing request at eight VMs; return the number of late arrivals."""
        store, replicas = CrashStore(), FakeReplicaDialer()
        fixtures = [GatewayFixture(route, store=store, replicas=replicas) for _ in range(8)]
        tasks = watch_crashes(store, fixtures)
        for fixture in fixtures:
            for service in [target.service for target in route.targets] + list(route.shards):
                for number in range(3):
                    fixture.add(service, number, crash_on_bad_path(ReplicaModel()))
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(24):
            await fixtures[3 * number % 8].gateway.answer(make_request(number))
            await asyncio.sleep(1.5)
        for task in tasks:
            task.cancel()
        self.arrivals = replicas.arrivals
        return late_arrivals(self.arrivals)

    @virtual_time
    async def test_crashes_of_one_request_from_several_callers_are_counted_together(self) -> None:
        for route in (one_service(attempts=1), one_service(attempts=3), search(20)):
            with self.subTest(route=route):
                late = await self._repeat(route, 4, 5.5, of_another_caller)
                self.assertLessEqual(late, MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_crashes_at_several_vms_from_several_callers_are_counted_together(self) -> None:
        for route in (one_service(attempts=1), search(20)):
            with self.subTest(route=route):
                late = await self._repeat_at_several_vms(route, of_another_caller)
                self.assertLessEqual(late, MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_crashes_of_one_path_with_several_queries_are_counted_together(self) -> None:
        for route in (one_service(attempts=1), one_service(attempts=3), search(20)):
            with self.subTest(route=route):
                await self._repeat(route, 4, 5.5, with_another_query)
                self.assertLessEqual(late_repetitions(self.arrivals), MAX_LATE_ARRIVALS)
            with self.subTest(route=route, vms=8):
                await self._repeat_at_several_vms(route, with_another_query)
                self.assertLessEqual(late_repetitions(self.arrivals), MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_queries_that_crash_replicas_refuse_no_query_that_is_answered(self) -> None:
        for crashing in (1, 2, 5):
            with self.subTest(crashing=crashing):
                store, replicas = CrashStore(), FakeReplicaDialer()
                fixtures = [
                    GatewayFixture(one_service(attempts=1), store=store, replicas=replicas)
                    for _ in range(2)
                ]
                tasks = watch_crashes(store, fixtures)
                for fixture in fixtures:
                    for number in range(4):
                        fixture.add("s", number, crash_on(ReplicaModel(), has_bad_query))
                await asyncio.sleep(BUDGET_SECONDS)
                for number in range(8):
                    await fixtures[0].gateway.answer(asked_with(b"/a/b?good", number))
                    bad = asked_with(b"/a/b?bad%d" % (number % crashing), 100 + number)
                    await fixtures[0].gateway.answer(bad)
                    await asyncio.sleep(4.0)
                self.assertTrue(fixtures[1].journal.of(CrashLearned))
                for number, fixture in enumerate(fixtures):
                    answer = await fixture.gateway.answer(asked_with(b"/a/b?other", 200 + number))
                    self.assertIsInstance(answer, ForwardedReply)
                for task in tasks:
                    task.cancel()

    @virtual_time
    async def test_a_query_that_crashes_replicas_alone_refuses_only_itself(self) -> None:
        fixture = GatewayFixture(one_service(attempts=1))
        for number in range(4):
            fixture.add("s", number, crash_on(ReplicaModel(), has_bad_query))
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(5):
            await fixture.gateway.answer(asked_with(b"/a/b?bad", number))
            await asyncio.sleep(4.0)
        refused = await fixture.gateway.answer(asked_with(b"/a/b?bad", 10))
        self.assertIsInstance(refused, Refusal)
        other = await fixture.gateway.answer(asked_with(b"/a/b?other", 11))
        self.assertIsInstance(other, ForwardedReply)

    @virtual_time
    async def test_queries_of_one_path_outlive_a_crash_of_many_replicas(self) -> None:
        fixture = GatewayFixture(one_service(attempts=1))
        models = [fixture.add("s", number) for number in range(12)]
        await asyncio.sleep(BUDGET_SECONDS)
        asked = [
            asyncio.create_task(fixture.gateway.answer(asked_with(b"/a/b?%d" % number, number)))
            for number in range(10)
        ]
        await asyncio.sleep(0.005)
        for model in models[:11]:
            crash(model)
        await asyncio.gather(*asked)
        await asyncio.sleep(1.0)
        self.assertGreater(len(fixture.journal.of(CrashConfirmed)), 3)
        await asyncio.sleep(DOWN_SECONDS)
        later = await fixture.gateway.answer(asked_with(b"/a/b?20", 20))
        self.assertIsInstance(later, ForwardedReply)

    @virtual_time
    async def test_errors_of_some_replicas_do_not_excuse_the_crashes_of_a_search(self) -> None:
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                fixture = GatewayFixture(search(20))
                for index, shard in enumerate(search(20).shards):
                    failing = fixture.add(shard, 0, crash_on_bad_path(ReplicaModel()))
                    answer_with_error(failing, 0.1, 100 * seed + index)
                    fixture.add(shard, 1, crash_on_bad_path(ReplicaModel()))
                await asyncio.sleep(BUDGET_SECONDS)
                for number in range(REPEATS):
                    await fixture.gateway.answer(crashing_request(number))
                    await asyncio.sleep(2.0)
                late = late_arrivals(fixture.replicas.arrivals)
                self.assertLessEqual(late, MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_an_error_in_reply_to_a_trial_does_not_end_the_quarantine(self) -> None:
        fixture = GatewayFixture(search(20))
        for index, shard in enumerate(search(20).shards):
            for number in range(2):
                model = fixture.add(shard, number, crash_on_bad_path(ReplicaModel()))
                answer_with_error(model, float(index == 0), 1)
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(30):
            await fixture.gateway.answer(crashing_request(number))
            await asyncio.sleep(4.5)
        self.assertLessEqual(late_arrivals(fixture.replicas.arrivals), MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_each_crash_of_a_retried_request_is_counted(self) -> None:
        late = await self._repeat(one_service(attempts=3), 4, 5.5)
        self.assertLessEqual(late, MAX_LATE_ARRIVALS)
        self.assertLessEqual(len(self.arrivals), 3)

    @virtual_time
    async def test_each_crash_of_a_search_is_counted(self) -> None:
        for interval in (5.5, 2.1):
            with self.subTest(interval=interval):
                late = await self._repeat(search(20), 2, interval)
                self.assertLessEqual(late, MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_a_search_that_crashes_replicas_is_not_retried_on_the_others(self) -> None:
        await self._repeat(search(20), 2, 5.5)
        self.assertLessEqual(len(self.arrivals), 20)

    @virtual_time
    async def test_a_quarantine_that_ends_does_not_begin_anew_with_all_shards(self) -> None:
        fixture = GatewayFixture(search(20))
        for shard in search(20).shards:
            for number in range(2):
                fixture.add(shard, number, crash_on_bad_path(ReplicaModel()))
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(60):
            await fixture.gateway.answer(crashing_request(number))
            await asyncio.sleep(5.5)
        self.assertLessEqual(late_arrivals(fixture.replicas.arrivals), MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_crashes_of_retried_requests_are_counted_by_all_vms(self) -> None:
        store, replicas = CrashStore(), FakeReplicaDialer()
        route = search(20)
        fixtures = [GatewayFixture(route, store=store, replicas=replicas) for _ in range(4)]
        tasks = watch_crashes(store, fixtures)
        for fixture in fixtures:
            for shard in route.shards:
                for number in range(2):
                    fixture.add(shard, number, crash_on_bad_path(ReplicaModel()))
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(12):
            await fixtures[number % 4].gateway.answer(crashing_request(number))
            await asyncio.sleep(2.1)
        self.assertEqual(late_arrivals(replicas.arrivals), 0)
        self.assertEqual(len(tasks), 4)

    @virtual_time
    async def test_a_replica_that_falls_silent_is_counted(self) -> None:
        fixture = GatewayFixture(one_service(attempts=2))
        models = [fixture.add("s", number) for number in range(3)]
        for model in models:
            fall_silent_on_bad_path(model)
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(REPEATS):
            await fixture.gateway.answer(crashing_request(number))
            await asyncio.sleep(5.5)
        self.assertLessEqual(late_arrivals(fixture.replicas.arrivals), MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_a_search_during_a_crash_of_many_replicas_is_not_quarantined(self) -> None:
        fixture = GatewayFixture(search(20, min_share=0.5))
        models = []
        for shard in search(20).shards:
            part = Reply(200, b"OK", (), b"r" * 16, shard.encode())
            for number in range(2):
                model = ReplicaModel(reply=lambda asked, part=part: part)
                models.append(fixture.add(shard, number, model))
        asked = [
            asyncio.create_task(fixture.gateway.answer(request(number))) for number in range(2)
        ]
        await asyncio.sleep(0.005)
        for model in models[: len(models) // 2]:
            crash(model)
        await asyncio.gather(*asked)
        await asyncio.sleep(4.0)
        self.assertIsInstance(await fixture.gateway.answer(request(9)), MergedAnswer)

    @virtual_time
    async def test_a_request_of_many_callers_outlives_a_crash_of_many_replicas(self) -> None:
        store, replicas = CrashStore(), FakeReplicaDialer()
        fixtures = [
            GatewayFixture(one_service(attempts=2), store=store, replicas=replicas)
            for _ in range(4)
        ]
        tasks = watch_crashes(store, fixtures)
        for fixture in fixtures:
            models = [fixture.add("s", number) for number in range(12)]
        await asyncio.sleep(BUDGET_SECONDS)
        for fixture in fixtures:
            await fixture.gateway.answer(request(1))
        asked = [
            asyncio.create_task(fixture.gateway.answer(request(10 * index + number)))
            for number in range(10)
            for index, fixture in enumerate(fixtures)
        ]
        await asyncio.sleep(0.005)
        for model in models[:8]:
            crash(model)
        await asyncio.gather(*asked)
        await asyncio.sleep(1.0)
        self.assertTrue(any(fixture.journal.of(CrashConfirmed) for fixture in fixtures))
        for fixture in fixtures:
            self.assertIsInstance(await fixture.gateway.answer(request(2)), ForwardedReply)
        for task in tasks:
            task.cancel()

    @virtual_time
    async def test_a_request_that_was_answered_before_it_crashes_replicas_is_refused(self) -> None:
        fixture = GatewayFixture(one_service(attempts=1))
        models = [fixture.add("s", number) for number in range(4)]
        self.assertIsInstance(await fixture.gateway.answer(crashing_request(1)), ForwardedReply)
        for model in models:
            crash_on_bad_path(model)
        for number in range(2, 2 + REPEATS):
            await fixture.gateway.answer(crashing_request(number))
            await asyncio.sleep(1.5)
        self.assertLessEqual(len(fixture.replicas.arrivals), 1 + 3)

    @virtual_time
    async def test_a_quarantined_request_is_refused_as_not_run(self) -> None:
        fixture = GatewayFixture(search(20))
        for shard in search(20).shards:
            fixture.add(shard, 1, crash_on_bad_path(ReplicaModel()))
        await fixture.gateway.answer(crashing_request(1))
        answer = await fixture.gateway.answer(crashing_request(2))
        assert isinstance(answer, Refusal)
        self.assertIs(answer.ran, Ran.NO)
        self.assertGreater(answer.retry_after, 0.0)

    @virtual_time
    async def test_crashes_of_two_requests_at_a_time_are_counted(self) -> None:
        fixture = GatewayFixture(search(20))
        for shard in search(20).shards:
            for number in range(2):
                fixture.add(shard, number, crash_on_bad_path(ReplicaModel()))
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(REPEATS):
            await asyncio.gather(
                fixture.gateway.answer(crashing_request(number)),
                fixture.gateway.answer(other_crashing_request(number)),
            )
            await asyncio.sleep(5.5)
        callers = {arrival.request.caller for arrival in fixture.replicas.arrivals}
        for caller in callers:
            arrivals = [
                arrival for arrival in fixture.replicas.arrivals if arrival.request.caller == caller
            ]
            self.assertLessEqual(late_arrivals(arrivals), MAX_LATE_ARRIVALS)

    @virtual_time
    async def test_a_vm_that_restarts_knows_the_crashes_before_it_is_ready(self) -> None:
        store = CrashStore()
        first = GatewayFixture(search(20), store=store)
        for shard in search(20).shards:
            first.add(shard, 1, crash_on_bad_path(ReplicaModel()))
        await first.gateway.answer(crashing_request(1))
        await asyncio.sleep(1.0)
        second = GatewayFixture(search(20), store=store, replicas=first.replicas)
        self.assertFalse(second.quarantine.listed)
        tasks = watch_crashes(store, [second])
        await asyncio.sleep(0.1)
        self.assertTrue(second.quarantine.listed)
        self.assertGreater(second.quarantine.retry_delay(crashing_request(2)), 0.0)
        self.assertEqual(len(tasks), 1)

    @virtual_time
    async def test_crashes_are_counted_while_the_store_loses_writes(self) -> None:
        store = LossyStore()
        replicas = FakeReplicaDialer()
        fixtures = [GatewayFixture(search(20), store=store, replicas=replicas) for _ in range(4)]
        tasks = watch_crashes(store, fixtures)
        for fixture in fixtures:
            for shard in search(20).shards:
                for number in range(2):
                    fixture.add(shard, number, crash_on_bad_path(ReplicaModel()))
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(12):
            await fixtures[number % 4].gateway.answer(crashing_request(number))
            await asyncio.sleep(2.1)
        self.assertEqual(late_arrivals(replicas.arrivals), 0)
        self.assertEqual(len(tasks), 4)

    @virtual_time
    async def test_crashes_of_a_search_through_other_vms_are_counted(self) -> None:
        store = CrashStore()
        tier = Tier({"dc1": 8, "dc2": 8, "dc3": 8}, 30, (("dc1", "dc2"), ("dc2", "dc3")))
        await tier.link()
        vms = list(tier.vms.values())
        for vm in vms:
            vm.quarantine._store = store
        for model in tier.replicas.models.values():
            crash_on_bad_path(model)
        tasks = watch_crashes(store, vms)
        await asyncio.sleep(BUDGET_SECONDS)
        for number in range(20):
            await vms[7 * number % len(vms)].gateway.answer(crashing_request(number))
            await asyncio.sleep(2.1)
        self.assertTrue(tier.questions)
        self.assertEqual(late_arrivals(tier.replicas.arrivals), 0)
        self.assertEqual(len(tasks), len(vms))
