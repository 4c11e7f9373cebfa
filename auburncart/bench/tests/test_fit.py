"""Tests of regression lines, bounds and recorded figures."""

import unittest

from auburncart.bench.bounds import control_bounds
from auburncart.bench.fit import Point, fit
from auburncart.bench.loopback import ControlCost
from auburncart.bench.measure import Outcome, Recorder
from auburncart.state.search import Coverage, SearchAnswer
from auburncart.state.work import Rank

COST = ControlCost(0.001, 0.002, 2_000_000, 446, 4366)


class FitTest(unittest.TestCase):
    def test_line_through_exact_points(self) -> None:
        line = fit("a", "b", "s", [Point(size, 4 + 3 * size) for size in (1, 10, 100)])
        self.assertAlmostEqual(line.slope, 3.0)
        self.assertAlmostEqual(line.intercept, 4.0)
        self.assertAlmostEqual(line.r_squared, 1.0)
        self.assertAlmostEqual(line.value_at(1000), 3004.0)

    def test_curve_has_a_low_r_squared(self) -> None:
        line = fit("a", "b", "s", [Point(size, size**3) for size in (1, 10, 20, 30)])
        self.assertLess(line.r_squared, 0.95)

    def test_two_sizes_are_rejected(self) -> None:
        with self.assertRaisesRegex(ValueError, "three sizes"):
            fit("a", "b", "s", [Point(1, 1.0), Point(2, 2.0), Point(2, 3.0)])


class BoundTest(unittest.TestCase):
    def test_each_bound_is_exceeded_by_its_own_cost_only(self) -> None:
        self.assertTrue(all(bound.within_limit for bound in control_bounds(COST)))
        for change, unit in (
            ({"idle_share": 0.031}, "core"),
            ({"change_seconds": 0.05}, "core"),
            ({"memory_bytes": 33_000_000}, "bytes"),
            ({"table_bytes": 25_000}, "bytes/s"),
        ):
            exceeded = [
                bound for bound in control_bounds(COST._replace(**change)) if not bound.within_limit
            ]
            self.assertEqual({bound.unit for bound in exceeded}, {unit}, change)


class RecorderTest(unittest.TestCase):
    def test_percentiles_shares_and_refusals_are_recorded(self) -> None:
        recorder = Recorder("s1")
        complete_answer = SearchAnswer("r", "s1", ({"record": "a/1"},), Coverage(1, 1, True, ()))
        for number in range(1, 101):
            recorder.add(Outcome(Rank.URGENT, 0.0, number / 1000, -0.1, complete_answer, ("a",)))
        recorder.add(Outcome(Rank.URGENT, 0.0, 0.001, -0.1, None, ("a",)))
        figures = recorder.ranks()["urgent"]
        self.assertAlmostEqual(figures["p50_ms"], 50.0, delta=0.1)
        self.assertAlmostEqual(figures["p99_ms"], 99.0, delta=0.1)
        self.assertEqual((figures["offered"], figures["refused"]), (101, 1))
        self.assertEqual(figures["complete"], round(100 / 101, 4))
        self.assertEqual(recorder.false_complete, 0)
