"""Runs every scenario on virtual time against its golden file, and one on separate processes."""

import asyncio
import unittest
from pathlib import Path

from auburncart.command.scenario import run_text
from auburncart.scenario import ExpectationError, ScenarioError, parse
from auburncart.scenario.tests.real import run_on_processes

SCENARIOS = Path(__file__).parent / "scenarios"


class VirtualTimeScenarioTest(unittest.TestCase):
    def test_every_scenario_matches_its_golden_file(self) -> None:
        files = sorted(SCENARIOS.glob("*.scenario"))
        self.assertGreaterEqual(len(files), 5)
        for file in files:
            with self.subTest(file.name):
                found = run_text(file.read_text()).untimed_transcript
                self.assertEqual(found, file.with_suffix(".golden").read_text())

    def test_broken_expectation_is_reported(self) -> None:
        with self.assertRaisesRegex(
            ExpectationError, "line 3: .* expected partial, found complete"
        ):
            run_text("site shards=1\nsearch vm1 as=a\nexpect a partial\n")

    def test_all_faults_of_a_text_are_reported(self) -> None:
        with self.assertRaises(ScenarioError) as caught:
            parse("fly vm1\nsearch\nsearch vm1 colour=red\n'")
        self.assertEqual(len(caught.exception.faults), 4)


class ProcessScenarioTest(unittest.TestCase):
    def test_kills_freezes_and_lost_replies_on_separate_processes(self) -> None:
        file = SCENARIOS / "processes.scenario"
        found = asyncio.run(run_on_processes(file.read_text())).untimed_transcript
        self.assertEqual(found, file.with_suffix(".golden").read_text())
