import asyncio
import random
import unittest
from collections.abc import Callable

from auburncart.coordination.forwarding.crash_history import REFUSAL_SECONDS
from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.quarantine import (
    CRASHES,
    MAX_CONFIRMATIONS,
    REMOVAL_SECONDS,
)
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    one_service,
    request,
)
from auburncart.coordination.forwarding.tests.store_fixture import LossyStore
from auburncart.coordination.forwarding.tests.test_relay import StoreModel
from auburncart.coordination.forwarding.watch_times import watch_times
from auburncart.exception import StoreUnavailableError
from auburncart.standins.replicas import ReplicaModel
from auburncart.state.crash import CrashReport
from auburncart.state.event import CrashConfirmed, CrashLearned
from auburncart.state.failure import Ran, Refusal
from auburncart.state.forward import ForwardedReply, ForwardRequest
from auburncart.tests.virtual import virtual_time

STABLE_SECONDS = 4.0
TIMES = watch_times(STABLE_SECONDS, 3.0)
DOWN_SECONDS = 3.0  # after a crash, until the replica accepts connections again


class CrashStore(StoreModel):
    """A store that accepts only reports of crashes, and nothing while it is down."""

    down = False
    deletions = 0

    async def put(self, kind: str, name: str, value: dict) -> None:
        if kind != CRASHES or self.down:
            raise StoreUnavailableError("another kind, or down", step="store")
        self.write(name, CrashReport(**value))

    async def delete(self, kind: str, name: str) -> None:
        self.deletions += 1
        self.write(name, None)

    async def reports(self) -> list[str]:
        """Return the names of the reports that it has."""
        return [entry.name for entry in (await self.list(CRASHES)).entries if entry.value]


def crash_on_bad_path(model: ReplicaModel) -> ReplicaModel:
    """Make a replica crash on requests for path ``/a/bad``."""
    return crash_on(model, lambda asked: asked.path == "/a/bad")


def crash_on(model: ReplicaModel, is_bad: Callable[[ForwardRequest], bool]) -> ReplicaModel:
    """Make a replica crash on some requests; it is back after some seconds."""

    def reply(asked: ForwardRequest):
        if not is_bad(asked):
            return default_reply(asked)
        model.reachable = False
        asyncio.get_running_loop().call_later(DOWN_SECONDS, setattr, model, "reachable", True)
        return None

    default_reply = model.reply
    model.reply = reply
    return model


def crashing_request(number: int) -> ForwardRequest:
    return request(number)._replace(path="/a/bad", target=b"/a/bad", caller="127.0.0.1:9")


class RequestQuarantineTest(unittest.TestCase):
    @virtual_time
    async def test_vms_that_lost_the_reply_with_a_report_refuse_within_the_stable_window(
        self,
    ) -> None:
        """They heard of the third crash up to 27 s later and caused more."""
        store = CrashStore()
        links = [LossyStore(store, TIMES) for _ in range(9)]
        fixtures = [GatewayFixture(one_service(attempts=1), store=link) for link in links]
        tasks = []
        for number, (fixture, link) in enumerate(zip(fixtures, links, strict=True)):
            watcher = KindWatcher(
                link, CRASHES, fixture.quarantine, fixture.journal, random.Random(number), TIMES
            )
            tasks.append(asyncio.create_task(watcher.run()))
            fixture.add("s", 1, crash_on_bad_path(ReplicaModel()))
        await asyncio.sleep(1.0)
        for number in range(2):
            await fixtures[number].gateway.answer(crashing_request(number))
            await asyncio.sleep(1.0)
        for link in links[6:]:
            link.silent = True
        await fixtures[2].gateway.answer(crashing_request(2))
        await asyncio.sleep(0.5)
        for link in links[6:]:
            link.silent = False
        reached = sum(len(fixture.replicas.arrivals) for fixture in fixtures)
        self.assertEqual(reached, 3)
        await asyncio.sleep(STABLE_SECONDS)
        for number in range(3, 30):
            await fixtures[number % 9].gateway.answer(crashing_request(number))
            await asyncio.sleep(0.5)
        late = sum(len(fixture.replicas.arrivals) for fixture in fixtures) - reached
        self.assertEqual(late, 0)
        for task in tasks:
            task.cancel()

    @virtual_time
    async def test_a_request_that_crashes_replicas_is_refused_by_all_vms(self) -> None:
        store = CrashStore()
        fixtures = [GatewayFixture(one_service(attempts=1), store=store) for _ in range(4)]
        tasks = []
        for number, fixture in enumerate(fixtures):
            watcher = KindWatcher(
                store, CRASHES, fixture.quarantine, fixture.journal, random.Random(number), TIMES
            )
            tasks.append(asyncio.create_task(watcher.run()))
            fixture.add("s", 1, crash_on_bad_path(ReplicaModel()))
        for number in range(3):
            await fixtures[number].gateway.answer(crashing_request(number))
        await asyncio.sleep(4.0)
        reached = sum(len(fixture.replicas.arrivals) for fixture in fixtures)
        self.assertEqual(reached, 3)
        for number in range(3, 15):
            answer = await fixtures[number % 4].gateway.answer(crashing_request(number))
            assert isinstance(answer, Refusal)
            self.assertIs(answer.ran, Ran.NO)
            self.assertGreater(answer.retry_after, 0.0)
            other = await fixtures[number % 4].gateway.answer(request(number))
            self.assertIsInstance(other, ForwardedReply)
        self.assertEqual(sum(fixture.reached("s/1") for fixture in fixtures), 3 + 12)

    @virtual_time
    async def test_the_log_tells_what_a_digest_stands_for_and_what_other_vms_learned(self) -> None:
        store = CrashStore()
        fixtures = [GatewayFixture(one_service(attempts=1), store=store) for _ in range(2)]
        tasks = []
        for fixture in fixtures:
            watcher = KindWatcher(
                store, CRASHES, fixture.quarantine, fixture.journal, random.Random(1), TIMES
            )
            tasks.append(asyncio.create_task(watcher.run()))
            fixture.add("s", 1, crash_on_bad_path(ReplicaModel()))
        asked = crashing_request(1)._replace(target=b"/a/bad?page=2", body=b"b")
        await fixtures[0].gateway.answer(asked)
        await asyncio.sleep(1.0)
        (confirmed,) = fixtures[0].journal.of(CrashConfirmed)
        self.assertEqual((confirmed.method, confirmed.host, confirmed.path), ("GET", "h", "/a/bad"))
        self.assertEqual(confirmed.caller, asked.caller)
        self.assertTrue(confirmed.query and confirmed.body)
        self.assertEqual(fixtures[0].journal.of(CrashLearned), [])
        (learned,) = fixtures[1].journal.of(CrashLearned)
        self.assertEqual((learned.digest, learned.crashes), (confirmed.digest, 1))
        for task in tasks:
            task.cancel()

    @virtual_time
    async def test_a_crash_during_an_outage_is_reported_when_the_store_is_back(self) -> None:
        store = CrashStore()
        store.down = True
        fixture = GatewayFixture(one_service(attempts=1), store=store)
        fixture.add("s", 1, crash_on_bad_path(ReplicaModel()))
        await fixture.gateway.answer(crashing_request(1))
        await asyncio.sleep(10.0)
        store.down = False
        await asyncio.sleep(2.0)
        self.assertEqual(len((await store.list(CRASHES)).entries), 1)

    @virtual_time
    async def test_reports_do_not_outlive_their_vm_in_the_store(self) -> None:
        store = CrashStore()
        first = GatewayFixture(one_service(attempts=1), store=store)
        for number in range(3):
            first.add("s", number, crash_on_bad_path(ReplicaModel()))
        for number in range(3):
            await first.gateway.answer(crashing_request(number))
        await asyncio.sleep(1.0)
        for task in first.quarantine._reporting:
            task.cancel()
        self.assertEqual(len(await store.reports()), 3)
        fixtures = [GatewayFixture(one_service(), store=store) for _ in range(8)]
        tasks = [
            asyncio.create_task(
                KindWatcher(
                    store, CRASHES, vm.quarantine, vm.journal, random.Random(number), TIMES
                ).run()
            )
            for number, vm in enumerate(fixtures)
        ]
        await asyncio.sleep(REMOVAL_SECONDS + REFUSAL_SECONDS + 2.0 * TIMES.wait)
        self.assertEqual(await store.reports(), [])
        self.assertLess(store.deletions, 3 * len(fixtures))
        calls = store.deletions
        await asyncio.sleep(REMOVAL_SECONDS + REFUSAL_SECONDS)
        self.assertEqual(store.deletions, calls)
        for task in tasks:
            task.cancel()

    @virtual_time
    async def test_unrelated_crashes_do_not_hide_a_request_that_causes_crashes(self) -> None:
        fixture = GatewayFixture(one_service(attempts=1), store=CrashStore())
        for number in range(MAX_CONFIRMATIONS):
            model = fixture.add("s", 1, ReplicaModel(reply=lambda asked: None))
            model.reachable = False
            fixture.quarantine.record_loss(
                request(100 + number), next(iter(fixture.registry.pools))
            )
        await asyncio.sleep(1.0)
        model.reachable = True
        crash_on_bad_path(model)
        for number in range(4):
            answer = await fixture.gateway.answer(crashing_request(number))
            await asyncio.sleep(2.0 * DOWN_SECONDS)
        assert isinstance(answer, Refusal)
        self.assertIs(answer.ran, Ran.NO)

    @virtual_time
    async def test_a_reset_connection_is_not_counted_as_a_crash(self) -> None:
        fixture = GatewayFixture(one_service(attempts=1))
        fixture.add("s", 1, ReplicaModel(reply=lambda asked: None))
        for number in range(10):
            await fixture.gateway.answer(crashing_request(number))
            await asyncio.sleep(5.0)
        self.assertEqual(fixture.reached("s/1"), 10)

    @virtual_time
    async def test_a_request_is_sent_again_after_the_quarantine(self) -> None:
        fixture = GatewayFixture(one_service(attempts=1))
        model = fixture.add("s", 1, crash_on_bad_path(ReplicaModel()))
        for number in range(3):
            await fixture.gateway.answer(crashing_request(number))
            await asyncio.sleep(2.0 * DOWN_SECONDS)
        self.assertIsInstance(await fixture.gateway.answer(crashing_request(4)), Refusal)
        await asyncio.sleep(120.0)
        reached = fixture.reached("s/1")
        await fixture.gateway.answer(crashing_request(5))
        self.assertEqual(fixture.reached("s/1"), reached + 1)
        self.assertFalse(model.reachable)
