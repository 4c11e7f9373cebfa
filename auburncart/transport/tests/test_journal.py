import asyncio
import contextlib
import json
import os
import unittest

import eliot

from auburncart.command.explain import lines_of
from auburncart.state.event import (
    Answered,
    ConfigurationInForce,
    DependencyLost,
    DependencyRegained,
    Routed,
    TryFailed,
)
from auburncart.transport.journal import (
    BURST_LINES,
    LINES_PER_SECOND,
    MAX_QUEUED_LINES,
    EliotJournal,
)

MANY = 20000


def routed(number: int) -> Routed:
    return Routed(f"id{number}", "r", "s", 1, 0.1, 1.0)


def failed(number: int) -> TryFailed:
    return TryFailed(f"id{number}", "s", "127.0.0.1:1", "lost", "reset", True, 0.1)


class JournalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reading, self.writing = os.pipe()
        os.set_blocking(self.reading, False)
        os.set_blocking(self.writing, False)
        self.journal = EliotJournal(self.writing, "vm1")
        self.partial = b""

    async def asyncTearDown(self) -> None:
        eliot.remove_destination(self.journal._enqueue)
        os.close(self.reading)
        os.close(self.writing)

    def read(self) -> list[dict]:
        with contextlib.suppress(BlockingIOError):
            while piece := os.read(self.reading, 1 << 20):
                self.partial += piece
        *lines, self.partial = self.partial.split(b"\n")
        return [json.loads(line) for line in lines]

    async def test_routine_lines_are_rate_limited_and_failures_are_not(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for number in range(2000):
            self.journal.record(routed(number))
        gained = (loop.time() - began) * LINES_PER_SECOND
        self.journal.record(failed(1))
        kinds = []
        for _ in range(50):
            self.journal.flush()
            kinds += [line["message_type"] for line in self.read()]
        written = kinds.count("Routed")
        self.assertTrue(BURST_LINES <= written <= BURST_LINES + gained, (written, gained))
        self.assertEqual(kinds.count("TryFailed"), 1)
        self.assertEqual(self.journal.dropped_total, 2000 - written)

    async def test_a_stalled_reader_blocks_nothing_and_drops_are_counted(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for number in range(MANY):
            self.journal.record(failed(number))
            if number % 1000 == 0:
                self.journal.flush()
        self.assertLess(loop.time() - began, 10.0)
        self.assertLessEqual(len(self.journal._lines), MAX_QUEUED_LINES + 1)
        self.assertGreater(self.journal.dropped_total, MANY // 2)
        self.journal._reported_at = -100.0
        lines = self.read()
        for _ in range(200):
            self.journal.flush()
            lines += self.read()
        drops = [line for line in lines if line["message_type"] == "LinesDropped"]
        counted = sum(line.get("TryFailed", 0) for line in drops)
        self.assertEqual(counted, self.journal.dropped_total)

    async def test_explain_shows_the_watch_behind_a_request_by_an_old_version(self) -> None:
        """A lost reply was only logged once its watch was given up, after the request."""
        self.journal.record(DependencyRegained("store config", 0.2, 80))
        self.journal.record(ConfigurationInForce(4, 1, 1, 81))
        self.journal.record(routed(1))
        self.journal.record(Answered("id1", "r", "idempotent", 200, 0.1, 0, (), ""))
        self.journal.record(DependencyLost("store config", "no complete reply in time", 81, 7.0))
        self.journal.record(DependencyRegained("store config", 0.1, 95))
        self.journal.record(ConfigurationInForce(7, 4, 1, 94))
        self.journal.flush()
        lines = lines_of([json.dumps(line).encode() for line in self.read()], "id1")
        self.assertEqual(
            [line.split()[2:4] for line in lines],
            [
                ["<", "DependencyRegained"],
                ["<", "ConfigurationInForce"],
                ["Routed", "vm=vm1"],
                ["Answered", "vm=vm1"],
                [">", "DependencyLost"],
                [">", "ConfigurationInForce"],
            ],
        )
        self.assertIn("revision=81", lines[4])
        self.assertIn("age=7", lines[4])

    async def test_explain_shows_one_requests_lines_in_order(self) -> None:
        self.journal.record(routed(1))
        self.journal.record(routed(2))
        self.journal.record(failed(1))
        self.journal.record(Answered("id1", "r", "search", 200, 0.1, 1, ("s",), "no reply"))
        self.journal.flush()
        raw = [json.dumps(line).encode() for line in self.read()]
        elsewhere = {"vm": "vm2", "message_type": "ConfigurationInForce", "version": 2}
        raw.insert(1, json.dumps({**json.loads(raw[0]), **elsewhere, "request": "id7"}).encode())
        lines = lines_of([*raw, b"cut li"], "id1")
        self.assertEqual([line.split()[2] for line in lines], ["Routed", "TryFailed", "Answered"])
        self.assertEqual(lines_of(raw, "id9"), [])
