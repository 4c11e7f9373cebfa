"""One upstream: every job gets a result, and no connection limit is exceeded."""

import asyncio
import unittest

from auburncart.coordination.batching import Batching, OnePerRequest, UpToLimit
from auburncart.coordination.connection_limit import ConnectionLimit
from auburncart.coordination.job import Job, JobResult
from auburncart.coordination.mailbox import Mailbox
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.quarantine import NoQuarantine
from auburncart.coordination.upstream import Upstream
from auburncart.standins.fakes import FakeDialer
from auburncart.standins.upstream import UpstreamCrashError, UpstreamModel, UpstreamShape
from auburncart.state.failure import FailureCode
from auburncart.state.search import SubQuery
from auburncart.state.shards import Replica
from auburncart.state.upstream import UpstreamOrder
from auburncart.state.work import Rank
from auburncart.tests.virtual import virtual_time

ADDRESS = "10.0.0.1:80"


class AdjustableLimit(ConnectionLimit):
    def __init__(self, connections: int) -> None:
        self.value = connections

    def max_connections(self, replica: Replica) -> int:
        return self.value


class UpstreamFixture:
    """One upstream, its model, and a mailbox in place of a search."""

    def __init__(self, connections: int = 2, batching: Batching | None = None) -> None:
        shape = UpstreamShape(ADDRESS, "s1", {"a": ({"record": 1},)}, spread=0.0)
        self.model = UpstreamModel(shape)
        self.dialer = FakeDialer({ADDRESS: self.model})
        self.limit = AdjustableLimit(connections)
        self.mailbox: Mailbox[JobResult] = Mailbox()
        self.upstream = Upstream(
            Replica(ADDRESS, "dc1", batch_limit=8),
            local=True,
            name="vm1",
            dialer=self.dialer,
            batching=batching or OnePerRequest(),
            limit=self.limit,
            quarantine=NoQuarantine(),
            observer=NullObserver(),
        )

    def submit(self, count: int = 1, seconds: float = 1.0) -> list[Job]:
        deadline = asyncio.get_running_loop().time() + seconds
        jobs = []
        for _ in range(count):
            sub_query = SubQuery(f"r{id(self)}.{len(jobs)}", "a", "s1", "closure", "net", deadline)
            job = Job(sub_query, Rank.URGENT, "first", self.mailbox, ADDRESS)
            self.upstream.submit(job)
            jobs.append(job)
        return jobs

    async def results(self, count: int, seconds: float) -> list[JobResult]:
        until = asyncio.get_running_loop().time() + seconds
        results: list[JobResult] = []
        while len(results) < count:
            arrived = await self.mailbox.take(until)
            if not arrived:
                break
            results += arrived
        return results


class UpstreamTest(unittest.TestCase):
    @virtual_time
    async def test_jobs_of_a_closed_upstream_fail_at_once(self) -> None:
        fixture = UpstreamFixture()
        fixture.submit(6)
        await asyncio.sleep(0.007)
        await fixture.upstream.close()
        fixture.submit(1)
        results = await fixture.results(7, 0.1)
        self.assertEqual(len(results), 7)
        self.assertTrue(all(result.failure for result in results))

    @virtual_time
    async def test_job_after_an_idle_connection_was_closed_is_answered_or_fails(self) -> None:
        fixture = UpstreamFixture(connections=1)
        fixture.submit(1)
        await fixture.results(1, 0.5)
        closing = asyncio.create_task(fixture.upstream.close())
        fixture.submit(1)
        self.assertEqual(len(await fixture.results(1, 0.5)), 1)
        await closing

    @virtual_time
    async def test_refused_dial_fails_all_queued_jobs_unsent(self) -> None:
        fixture = UpstreamFixture(connections=2)
        fixture.model.kill()
        fixture.submit(20)
        results = await fixture.results(20, 0.02)
        await fixture.upstream.close()
        self.assertEqual(len(results), 20)
        self.assertEqual({result.failure.code for result in results}, {FailureCode.UNREACHABLE})
        self.assertFalse(any(result.failure.sent for result in results))

    @virtual_time
    async def test_refused_extra_dial_leaves_the_jobs_to_the_open_connection(self) -> None:
        fixture = UpstreamFixture(connections=2)
        for _ in range(24):
            fixture.model.connect()
        fixture.submit(20)
        results = await fixture.results(20, 0.5)
        await fixture.upstream.close()
        self.assertEqual(sum(1 for result in results if result.answer), 20)

    @virtual_time
    async def test_limit_of_zero_fails_the_jobs_and_closes_the_connections(self) -> None:
        fixture = UpstreamFixture(connections=2)
        fixture.submit(8)
        await asyncio.sleep(0.007)
        fixture.limit.value = 0
        results = await fixture.results(8, 0.1)
        fixture.submit(1)
        results += await fixture.results(1, 0.1)
        await asyncio.sleep(0.01)
        self.assertEqual(len(results), 9)
        self.assertEqual(fixture.model.open_connections, 0)
        await fixture.upstream.close()

    @virtual_time
    async def test_unexpected_error_fails_the_jobs_and_the_next_are_served(self) -> None:
        fixture = UpstreamFixture(connections=1)
        healthy = fixture.model.search

        async def broken(batch: object) -> None:
            raise KeyError("fault of the model")

        fixture.model.search = broken  # type: ignore[assignment,method-assign]
        fixture.submit(2)
        failed = await fixture.results(2, 0.1)
        fixture.model.search = healthy  # type: ignore[method-assign]
        fixture.submit(1)
        served = await fixture.results(1, 0.1)
        await fixture.upstream.close()
        self.assertTrue(all(result.failure for result in failed))
        self.assertEqual((len(failed), len(served)), (2, 1))
        self.assertIsNotNone(served[0].answer)

    @virtual_time
    async def test_connection_closed_while_idle_is_not_counted_as_a_failure(self) -> None:
        fixture = UpstreamFixture(connections=1)
        fixture.submit(1)
        await fixture.results(1, 0.1)
        await asyncio.sleep(60.0)
        healthy = fixture.model.search

        async def closed(batch: object) -> None:
            fixture.model.search = healthy  # type: ignore[method-assign]
            raise UpstreamCrashError("closed while idle")

        fixture.model.search = closed  # type: ignore[assignment,method-assign]
        fixture.submit(1)
        (result,) = await fixture.results(1, 0.1)
        await fixture.upstream.close()
        self.assertIsNotNone(result.answer)
        self.assertEqual(fixture.upstream.failures, 0)
        self.assertEqual(fixture.model.open_connections, 0)

    @virtual_time
    async def test_unexpected_error_of_a_dial_fails_the_jobs_once(self) -> None:
        fixture = UpstreamFixture(connections=2)
        dials: list[Replica] = []

        async def broken(replica: Replica) -> None:
            dials.append(replica)
            raise TypeError("fault of the dialer")

        fixture.dialer.connect = broken  # type: ignore[assignment,method-assign]
        fixture.submit(5)
        results = await fixture.results(5, 0.1)
        await asyncio.sleep(1.0)
        await fixture.upstream.close()
        self.assertEqual([result.failure.code for result in results], [FailureCode.UNREACHABLE] * 5)
        self.assertLessEqual(len(dials), 2)

    @virtual_time
    async def test_cancelled_job_leaves_the_queue_at_once(self) -> None:
        fixture = UpstreamFixture(connections=1)
        jobs = fixture.submit(5)
        await asyncio.sleep(0.007)
        for job in jobs[1:]:
            fixture.upstream.cancel(job)
        self.assertEqual(fixture.upstream.waiting, 0)
        self.assertEqual(fixture.upstream.outstanding, 1)
        await fixture.upstream.close()
        self.assertEqual(fixture.model.sub_queries, 1)

    @virtual_time
    async def test_cancellation_stops_work_within_the_connection_limit(self) -> None:
        fixture = UpstreamFixture(connections=2)
        fixture.model.set_slow(100.0)
        jobs = fixture.submit(2)
        await asyncio.sleep(0.01)
        dial_times: list[float] = []
        connect = fixture.dialer.connect

        async def recorded(replica: Replica):  # type: ignore[no-untyped-def]
            dial_times.append(asyncio.get_running_loop().time())
            return await connect(replica)

        fixture.dialer.connect = recorded  # type: ignore[method-assign]
        cancelled: list[str] = []
        cancel = fixture.model.cancel

        def recorded_cancel(request_id: str) -> None:
            cancelled.append(request_id)
            cancel(request_id)

        fixture.model.cancel = recorded_cancel  # type: ignore[method-assign]
        fixture.limit.value = 3
        fixture.upstream.cancel(jobs[0])
        await asyncio.sleep(0.05)
        self.assertEqual(cancelled, [jobs[0].request_id])
        self.assertEqual(fixture.upstream.outstanding, 1)
        self.assertLessEqual(fixture.model.peak_connections, 3)
        self.assertEqual(fixture.model.open_connections, fixture.upstream.connections)
        await fixture.upstream.close()

    @virtual_time
    async def test_cancelled_request_does_not_lower_the_latency(self) -> None:
        fixture = UpstreamFixture(connections=2)
        fixture.model.set_slow(100.0)
        fixture.submit(2)
        await fixture.results(2, 1.0)
        slow = fixture.upstream.latency
        for _ in range(20):
            (job,) = fixture.submit(1)
            await asyncio.sleep(0.01)
            fixture.upstream.cancel(job)
            await asyncio.sleep(0.01)
        await fixture.upstream.close()
        self.assertGreaterEqual(fixture.upstream.latency, slow)

    @virtual_time
    async def test_order_stays_within_the_connection_limit(self) -> None:
        fixture = UpstreamFixture(connections=2)
        fixture.submit(30, seconds=3.0)
        await asyncio.sleep(0.02)
        deadline = asyncio.get_running_loop().time() + 1.0
        order = UpstreamOrder("o1", "key", "a", "closure", "fix", deadline)
        reply = await fixture.upstream.order(order)
        await fixture.upstream.close()
        self.assertTrue(reply.accepted)
        self.assertEqual(len(fixture.model.effects), 1)
        self.assertLessEqual(fixture.model.peak_connections, 2)

    @virtual_time
    async def test_batch_is_one_request_and_its_answers_reach_their_jobs(self) -> None:
        fixture = UpstreamFixture(connections=1, batching=UpToLimit())
        jobs = fixture.submit(17)
        results = await fixture.results(17, 0.5)
        await fixture.upstream.close()
        self.assertEqual({result.job for result in results}, set(jobs))
        self.assertLessEqual(fixture.model.requests, 4)


if __name__ == "__main__":
    unittest.main()
