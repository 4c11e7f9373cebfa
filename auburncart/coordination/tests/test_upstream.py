"""One upstream's queue and connections: nothing waits for ever, no limit is exceeded."""

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


class SetLimit(ConnectionLimit):
    def __init__(self, connections: int) -> None:
        self.value = connections

    def max_connections(self, replica: Replica) -> int:
        return self.value


class Bench:
    """One upstream, its model, and a mailbox that stands for the search."""

    def __init__(self, connections: int = 2, batching: Batching | None = None) -> None:
        shape = UpstreamShape(ADDRESS, "s1", {"a": ({"record": 1},)}, spread=0.0)
        self.model = UpstreamModel(shape)
        self.dialer = FakeDialer({ADDRESS: self.model})
        self.limit = SetLimit(connections)
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
            sub = SubQuery(f"r{id(self)}.{len(jobs)}", "a", "s1", "closure", "net", deadline)
            job = Job(sub, Rank.URGENT, "first", self.mailbox, ADDRESS)
            self.upstream.submit(job)
            jobs.append(job)
        return jobs

    async def results(self, count: int, seconds: float) -> list[JobResult]:
        until = asyncio.get_running_loop().time() + seconds
        found: list[JobResult] = []
        while len(found) < count:
            arrived = await self.mailbox.take(until)
            if not arrived:
                break
            found += arrived
        return found


class UpstreamTest(unittest.TestCase):
    @virtual_time
    async def test_jobs_of_a_closed_upstream_fail_at_once(self) -> None:
        bench = Bench()
        bench.submit(6)
        await asyncio.sleep(0.007)
        await bench.upstream.close()
        bench.submit(1)
        results = await bench.results(7, 0.1)
        self.assertEqual(len(results), 7)
        self.assertTrue(all(result.failure for result in results))

    @virtual_time
    async def test_job_after_an_idle_connection_was_closed_is_answered_or_fails(self) -> None:
        bench = Bench(connections=1)
        bench.submit(1)
        await bench.results(1, 0.5)
        closing = asyncio.create_task(bench.upstream.close())
        bench.submit(1)
        self.assertEqual(len(await bench.results(1, 0.5)), 1)
        await closing

    @virtual_time
    async def test_refused_dial_fails_all_that_wait_and_nothing_was_sent(self) -> None:
        bench = Bench(connections=2)
        bench.model.kill()
        bench.submit(20)
        results = await bench.results(20, 0.02)
        await bench.upstream.close()
        self.assertEqual(len(results), 20)
        self.assertEqual({result.failure.code for result in results}, {FailureCode.UNREACHABLE})
        self.assertFalse(any(result.failure.sent for result in results))

    @virtual_time
    async def test_a_dial_too_many_leaves_the_jobs_to_the_connection_that_stands(self) -> None:
        bench = Bench(connections=2)
        for _ in range(24):
            bench.model.connect()
        bench.submit(20)
        results = await bench.results(20, 0.5)
        await bench.upstream.close()
        self.assertEqual(sum(1 for result in results if result.answer), 20)

    @virtual_time
    async def test_limit_of_zero_fails_the_jobs_and_closes_the_connections(self) -> None:
        bench = Bench(connections=2)
        bench.submit(8)
        await asyncio.sleep(0.007)
        bench.limit.value = 0
        results = await bench.results(8, 0.1)
        bench.submit(1)
        results += await bench.results(1, 0.1)
        await asyncio.sleep(0.01)
        self.assertEqual(len(results), 9)
        self.assertEqual(bench.model.open_connections, 0)
        await bench.upstream.close()

    @virtual_time
    async def test_unexpected_error_answers_the_jobs_and_the_next_are_served(self) -> None:
        bench = Bench(connections=1)
        healthy = bench.model.search

        async def broken(batch: object) -> None:
            raise KeyError("fault of a stand-in")

        bench.model.search = broken  # type: ignore[assignment,method-assign]
        bench.submit(2)
        failed = await bench.results(2, 0.1)
        bench.model.search = healthy  # type: ignore[method-assign]
        bench.submit(1)
        served = await bench.results(1, 0.1)
        await bench.upstream.close()
        self.assertTrue(all(result.failure for result in failed))
        self.assertEqual((len(failed), len(served)), (2, 1))
        self.assertIsNotNone(served[0].answer)

    @virtual_time
    async def test_connection_closed_while_idle_is_no_loss_of_the_upstream(self) -> None:
        bench = Bench(connections=1)
        bench.submit(1)
        await bench.results(1, 0.1)
        await asyncio.sleep(60.0)
        healthy = bench.model.search

        async def closed(batch: object) -> None:
            bench.model.search = healthy  # type: ignore[method-assign]
            raise UpstreamCrashError("closed while idle")

        bench.model.search = closed  # type: ignore[assignment,method-assign]
        bench.submit(1)
        (result,) = await bench.results(1, 0.1)
        await bench.upstream.close()
        self.assertIsNotNone(result.answer)
        self.assertEqual(bench.upstream.failures, 0)
        self.assertEqual(bench.model.open_connections, 0)

    @virtual_time
    async def test_unexpected_error_of_a_dial_fails_the_jobs_once(self) -> None:
        bench = Bench(connections=2)
        dials: list[Replica] = []

        async def broken(replica: Replica) -> None:
            dials.append(replica)
            raise TypeError("fault of a dialer")

        bench.dialer.connect = broken  # type: ignore[assignment,method-assign]
        bench.submit(5)
        results = await bench.results(5, 0.1)
        await asyncio.sleep(1.0)
        await bench.upstream.close()
        self.assertEqual([result.failure.code for result in results], [FailureCode.UNREACHABLE] * 5)
        self.assertLessEqual(len(dials), 2)

    @virtual_time
    async def test_cancelled_job_leaves_the_queue_at_once(self) -> None:
        bench = Bench(connections=1)
        jobs = bench.submit(5)
        await asyncio.sleep(0.007)
        for job in jobs[1:]:
            bench.upstream.cancel(job)
        self.assertEqual(bench.upstream.waiting, 0)
        self.assertEqual(bench.upstream.outstanding, 1)
        await bench.upstream.close()
        self.assertEqual(bench.model.sub_queries, 1)

    @virtual_time
    async def test_cancellation_stops_work_within_the_connection_limit(self) -> None:
        bench = Bench(connections=2)
        bench.model.set_slow(100.0)
        jobs = bench.submit(2)
        await asyncio.sleep(0.01)
        dialled: list[float] = []
        connect = bench.dialer.connect

        async def counted(replica: Replica):  # type: ignore[no-untyped-def]
            dialled.append(asyncio.get_running_loop().time())
            return await connect(replica)

        bench.dialer.connect = counted  # type: ignore[method-assign]
        cancelled: list[str] = []
        tell = bench.model.cancel

        def noted(request_id: str) -> None:
            cancelled.append(request_id)
            tell(request_id)

        bench.model.cancel = noted  # type: ignore[method-assign]
        bench.limit.value = 3
        bench.upstream.cancel(jobs[0])
        await asyncio.sleep(0.05)
        self.assertEqual(cancelled, [jobs[0].request_id])
        self.assertEqual(bench.upstream.outstanding, 1)
        self.assertLessEqual(bench.model.peak_connections, 3)
        self.assertEqual(bench.model.open_connections, bench.upstream.connections)
        await bench.upstream.close()

    @virtual_time
    async def test_a_request_cut_short_does_not_make_its_upstream_look_fast(self) -> None:
        bench = Bench(connections=2)
        bench.model.set_slow(100.0)
        bench.submit(2)
        await bench.results(2, 1.0)
        slow = bench.upstream.latency
        for _ in range(20):
            (job,) = bench.submit(1)
            await asyncio.sleep(0.01)
            bench.upstream.cancel(job)
            await asyncio.sleep(0.01)
        await bench.upstream.close()
        self.assertGreaterEqual(bench.upstream.latency, slow)

    @virtual_time
    async def test_order_stays_within_the_connection_limit(self) -> None:
        bench = Bench(connections=2)
        bench.submit(30, seconds=3.0)
        await asyncio.sleep(0.02)
        deadline = asyncio.get_running_loop().time() + 1.0
        order = UpstreamOrder("o1", "key", "a", "closure", "fix", deadline)
        reply = await bench.upstream.order(order)
        await bench.upstream.close()
        self.assertTrue(reply.accepted)
        self.assertEqual(len(bench.model.effects), 1)
        self.assertLessEqual(bench.model.peak_connections, 2)

    @virtual_time
    async def test_batch_counts_once_and_its_answers_reach_their_jobs(self) -> None:
        bench = Bench(connections=1, batching=UpToLimit())
        jobs = bench.submit(17)
        results = await bench.results(17, 0.5)
        await bench.upstream.close()
        self.assertEqual({result.job for result in results}, set(jobs))
        self.assertLessEqual(bench.model.requests, 4)


if __name__ == "__main__":
    unittest.main()
