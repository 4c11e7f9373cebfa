"""Tests of the plot of a run."""

import tempfile
import unittest
from pathlib import Path

from auburncart.bench.measure import Outcome
from auburncart.bench.plot import coverage_over_time, plot_runs
from auburncart.bench.run import run_case
from auburncart.bench.tests.test_run import small_site
from auburncart.exception import InputError
from auburncart.state.work import Rank


class PlotTest(unittest.TestCase):
    def test_a_run_is_plotted_and_an_unwritable_file_is_an_input_error(self) -> None:
        results = [run_case(small_site(), "calm", "baseline", 1, 0.5)]
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "run.svg"
            plot_runs(results, file)
            self.assertIn("<svg", file.read_text(encoding="utf-8"))
            with self.assertRaises(InputError):
                plot_runs(results, Path(folder) / "none" / "run.svg")

    def test_a_refusal_counts_as_no_coverage(self) -> None:
        refused = Outcome(Rank.URGENT, 0.7, 0.1, -0.1, None, ("a",))
        self.assertEqual(coverage_over_time([refused], Rank.URGENT), [(0.5, 0.0)])
        self.assertEqual(coverage_over_time([refused], Rank.NORMAL), [])
