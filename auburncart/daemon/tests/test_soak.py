"""The soak's checks find each violated guarantee, and a short seeded run violates none."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace

from auburncart.daemon.tests.soak.checker import check_guarantees
from auburncart.daemon.tests.soak.faults import FAULTS, FIRST_FAULTS, SECOND_FAULTS, inject
from auburncart.daemon.tests.soak.history import (
    Announced,
    Arrival,
    Exchange,
    FaultPeriod,
    History,
    Version,
)
from auburncart.daemon.tests.soak.run import soak
from auburncart.daemon.tests.soak.wire import records, reply_stamp

SHORT_SECONDS = 5.0
SHORT_SEED = 1
SECOND_SHORT_SECONDS = 15.0
SECOND_SHORT_SEED = 2
# Seeds that failed in the past, each with its cause.
REGRESSIONS = (
    (400, 12.0, 4),  # SIGHUP ended a process that had no handler for it yet
    (500, 12.0, 4),  # a stopping VM left its websockets open and their tasks to the interpreter
)
# Seeds that failed with more kinds of faults and more VMs.
LARGE_REGRESSIONS = (
    (1101, 12.0, 16),  # a stopping VM waited for changes that another VM had asked it for
)


class RecordedRequest:
    """The history of one successful request, in which a test then violates a guarantee."""

    def __init__(self, route: str = "fetch", service: str = "f1") -> None:
        self.history = History()
        routes = {"search": ("a0", "a1", "a2", "a3"), "once": ("o1",), "fetch": ("f1",)}
        self.history.versions.append(Version(0.0, 1, routes))
        self.vms: list = []
        self.exchange = Exchange("q1", "vm0", 1, route, f"/{route}/q1?x=1", b"")
        self.exchange.seconds, self.exchange.sent_at, self.exchange.ended_at = 2.0, 10.0, 10.1
        self.exchange.status = 200
        self.exchange.headers = {"x-server-stamp": reply_stamp(service, "q1")}
        self.exchange.answer = records(service, "q1")
        self.history.exchanges["q1"] = self.exchange
        self.add_arrival(service)

    def add_arrival(
        self, service: str, *, at: float = 10.01, ran: bool = True, request_id: str = "q1"
    ) -> None:
        arrival = Arrival(
            at, request_id, service, f"{service}/1", self.exchange.target, b"", ran, 1.9
        )
        self.history.arrivals.append(arrival)

    def add_vm(self) -> SimpleNamespace:
        vm = SimpleNamespace(
            name="vm0",
            unexpected_exits=[],
            overdue_stops=[],
            peak_bytes=0,
            error_text=str,
            log_lines=list,
        )
        self.vms.append(vm)
        return vm

    def violations(self) -> list[str]:
        """Names of the violated guarantees."""
        environment = SimpleNamespace(history=self.history, vms=self.vms)
        return sorted({line.partition(":")[0] for line in check_guarantees(environment, 0.0)})  # type: ignore[arg-type]


class CheckerTest(unittest.TestCase):
    def test_a_successful_request_violates_nothing(self) -> None:
        self.assertEqual(RecordedRequest().violations(), [])

    def test_each_violation_is_found(self) -> None:
        cases: dict[str, Callable[[], RecordedRequest]] = {
            "requests_match": self.unknown_request,
            "at_most_once": self.ran_twice,
            "refused_did_not_run": self.refused_and_ran,
            "bounded_attempts": self.too_many_attempts,
            "deadline_passed_on": self.deadline_extended,
            "stopped_after_disconnect": self.arrived_after_disconnect,
            "answered_in_time": self.answered_late,
            "not_cut_off": self.cut_off,
            "answers_correct": self.wrong_body,
            "denials_justified": self.unjustified_denial,
            "routed_as_configured": self.wrong_service,
            "no_rollback": self.rolled_back,
            "drained_not_used": self.drained_used,
            "poison_quarantined": self.poison_not_quarantined,
            "poison_paths_quarantined": self.poison_path_not_quarantined,
            "limits_kept": self.limit_exceeded,
            "pauses_kept": self.pause_ignored,
            "leaving_not_used": self.leaving_used,
            "retry_budget": self.too_many_retries,
            "processes_healthy": self.exited_unexpectedly,
            "memory_bounded": self.grown_beyond_its_memory,
            "recovered": self.not_recovered,
        }
        for guarantee, make_violation in cases.items():
            with self.subTest(guarantee):
                self.assertIn(guarantee, make_violation().violations())

    def test_times_of_a_vm_with_a_fault_are_not_checked(self) -> None:
        recorded = self.answered_late()
        recorded.history.fault_periods.append(FaultPeriod("vm0", 7.0, 8.0, "paused"))
        self.assertNotIn("answered_in_time", recorded.violations())

    def unknown_request(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.add_arrival("f1", request_id="q2")
        return recorded

    def ran_twice(self) -> RecordedRequest:
        recorded = RecordedRequest("once", "o1")
        recorded.add_arrival("o1", at=10.05)
        return recorded

    def refused_and_ran(self) -> RecordedRequest:
        recorded = RecordedRequest("once", "o1")
        recorded.exchange.status = 503
        return recorded

    def too_many_attempts(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.add_arrival("f1")
        recorded.add_arrival("f1")
        return recorded

    def deadline_extended(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.add_arrival("f1", at=12.0)
        return recorded

    def arrived_after_disconnect(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.exchange.disconnected_at = 10.2
        recorded.add_arrival("f1", at=10.8)
        return recorded

    def answered_late(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.exchange.ended_at = 12.6
        return recorded

    def cut_off(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.exchange.status = 0
        return recorded

    def wrong_body(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.exchange.answer = b"of another"
        return recorded

    def unjustified_denial(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.exchange.status = 404
        return recorded

    def wrong_service(self) -> RecordedRequest:
        return RecordedRequest("fetch", "f2")

    def rolled_back(self) -> RecordedRequest:
        recorded = RecordedRequest("once", "o1")
        recorded.history.versions.append(Version(5.0, 2, {"once": ("o2",)}))
        before = Exchange("q0", "vm0", 1, "once", "/once/q0?x=1", b"")
        before.sent_at = 9.0
        recorded.history.exchanges["q0"] = before
        arrival = Arrival(9.01, "q0", "o2", "o2/1", before.target, b"", True, 1.9)
        recorded.history.arrivals.insert(0, arrival)
        return recorded

    def drained_used(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.history.drained["f1/1"] = 6.9
        return recorded

    def poison_not_quarantined(self) -> RecordedRequest:
        recorded = RecordedRequest()
        target = "/fetch/poison?x=1"
        recorded.history.crashes[target] = [1.0, 2.0, 3.0]
        for number in range(4):
            late = Exchange(f"p{number}", "vm0", 1, "fetch", target, b"")
            late.sent_at = 9.0
            recorded.history.exchanges[late.request_id] = late
            arrival = Arrival(9.1, late.request_id, "f1", "f1/1", target, b"", True, 1.0)
            recorded.history.arrivals.append(arrival)
        return recorded

    def poison_path_not_quarantined(self) -> RecordedRequest:
        recorded = RecordedRequest()
        for number in range(7):
            target = f"/fetch/poison?page={number}"
            late = Exchange(f"p{number}", "vm0", 1, "fetch", target, b"")
            late.sent_at = 9.0 if number > 2 else float(number)
            if number < 3:
                recorded.history.crashes[target] = [late.sent_at]
            recorded.history.exchanges[late.request_id] = late
            at = late.sent_at + 0.1
            arrival = Arrival(at, late.request_id, "f1", "f1/1", target, b"", True, 1.0)
            recorded.history.arrivals.append(arrival)
        return recorded

    def too_many_retries(self) -> RecordedRequest:
        recorded = RecordedRequest()
        for _ in range(58):
            recorded.add_arrival("f1", ran=False)
        return recorded

    def exited_unexpectedly(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.add_vm().unexpected_exits.append("vm0 ended by itself with 1")
        return recorded

    def grown_beyond_its_memory(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.add_vm().peak_bytes = 200_000_000
        return recorded

    def limit_exceeded(self) -> RecordedRequest:
        recorded = RecordedRequest()
        for number in range(400):
            at = 10.0 + 0.02 * number
            recorded.add_arrival("f1", at=at)
            recorded.history.announced.append(Announced(at, "q1", "f1/1", limit=1.0))
        recorded.exchange.ended_at = 20.0
        return recorded

    def pause_ignored(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.history.announced.append(Announced(10.0, "q1", "f1/1", pause=5.0))
        for number in range(3):
            recorded.add_arrival("f1", at=11.0 + number)
        return recorded

    def leaving_used(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.history.announced.append(Announced(1.0, "q1", "f1/1", leaving=True))
        return recorded

    def not_recovered(self) -> RecordedRequest:
        recorded = RecordedRequest()
        recorded.exchange.status = 502
        return recorded


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_run_violates_no_guarantee(self) -> None:
        result = await soak(SHORT_SEED, SHORT_SECONDS, kinds=SECOND_FAULTS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 0)

    async def test_a_short_run_with_all_faults_violates_no_guarantee(self) -> None:
        result = await soak(SECOND_SHORT_SEED, SECOND_SHORT_SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 0)

    async def test_seeds_that_failed_in_the_past(self) -> None:
        for seed, seconds, vms in REGRESSIONS:
            with self.subTest(seed=seed):
                result = await soak(seed, seconds, vms, kinds=FIRST_FAULTS)
                self.assertEqual(result.violations, [])

    async def test_seeds_of_a_large_tier_that_failed_in_the_past(self) -> None:
        for seed, seconds, vms in LARGE_REGRESSIONS:
            with self.subTest(seed=seed):
                result = await soak(seed, seconds, vms, kinds=SECOND_FAULTS)
                self.assertEqual(result.violations, [])

    def test_every_kind_of_fault_is_injected(self) -> None:
        self.assertEqual({kind.__module__ for kind in FAULTS}, {inject.__module__})
