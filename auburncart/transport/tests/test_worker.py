"""The worker thread of one connection: results, errors and a cancelled call."""

import asyncio
import threading
import unittest

from auburncart.transport.worker import Worker

LONG_SECONDS = 20.0


class WorkerTest(unittest.TestCase):
    def test_results_and_errors_are_returned_in_order(self) -> None:
        async def run() -> list[object]:
            worker = Worker("w")
            results = await asyncio.gather(
                worker.run(lambda: threading.current_thread().name),
                worker.run(int, "x"),
                worker.run(int, "7"),
                return_exceptions=True,
            )
            worker.stop()
            return results

        name, error, seven = asyncio.run(run())
        self.assertEqual((name, seven), ("w", 7))
        self.assertIsInstance(error, ValueError)

    def test_cancelled_call_leaves_the_thread_usable(self) -> None:
        release = threading.Event()

        async def run() -> int:
            worker = Worker("w")
            pending_call = asyncio.create_task(worker.run(release.wait, LONG_SECONDS))
            await asyncio.sleep(0)
            pending_call.cancel()
            release.set()
            result = await worker.run(int, "7")
            worker.stop()
            return result

        self.assertEqual(asyncio.run(run()), 7)

    def test_closed_event_loop_does_not_break_the_thread(self) -> None:
        release, ended = threading.Event(), threading.Event()
        worker = Worker("w")

        def pending_call() -> None:
            release.wait(LONG_SECONDS)

        async def start_and_exit() -> None:
            asyncio.create_task(worker.run(pending_call))
            await asyncio.sleep(0)

        asyncio.run(start_and_exit())
        release.set()

        async def run_again() -> None:
            await worker.run(ended.set)

        asyncio.run(run_again())
        self.assertTrue(ended.is_set())
        worker.stop()
