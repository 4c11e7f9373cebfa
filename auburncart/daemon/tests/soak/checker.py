"""Checks the guarantees on the history of callers, replicas and the operator.

A VM is *undisturbed* in a period if no fault affected it or the store in that period and the
settling time before it. Planned work (SIGTERM, SIGHUP, configurations, drains) is not a fault.
"""

import bisect
import heapq
import itertools
import json
from collections.abc import Callable, Iterator

from auburncart.daemon.tests.soak.environment import (
    BOUNDS,
    DRAIN_SECONDS,
    MAX_ATTEMPTS,
    MIN_SHARE,
    TOP_K,
    Environment,
)
from auburncart.daemon.tests.soak.history import Announced, Arrival, Exchange, Version
from auburncart.daemon.tests.soak.replica import POISON
from auburncart.daemon.tests.soak.vm import GRACE_SECONDS
from auburncart.daemon.tests.soak.wire import RECORD_BYTES, records, reply_stamp

__all__ = ["check_guarantees"]

# The bounds are those stated in the user documentation.
SETTLING_SECONDS = 4.0
IN_FORCE_SECONDS = 3.0  # from the store's acknowledgement of a configuration
ROLLBACK_SECONDS = 0.25
TOLERANCE_SECONDS = 0.5  # for answers, deadlines, and work after a caller has disconnected
CLOSE_RACE_SECONDS = 0.2  # in which a request may cross the closing of its connection
MAX_POISON_RETRIES = 3
POISON_CRASHES = 3
LIMIT_SECONDS = 4.0  # window of the requests to a replica that names a limit
TOLD_SECONDS = 0.5  # after a VM was told something by a replica
MAX_EARLY_REQUESTS = 2
MIN_SERVED_SHARE = 0.95  # of the requests after the last fault and the settling time
MAX_VM_BYTES = 160_000_000  # of the smallest VMs
NOT_RUN_STATUSES = (408, 421, 429, 503)
ONCE_ROUTE = "once"
SEARCH_ROUTE = "search"


class _Checker:
    def __init__(self, environment: Environment, fault_free_from: float) -> None:
        self._environment = environment
        self._history = environment.history
        self._fault_free_from = fault_free_from
        self._arrivals: dict[str, list[Arrival]] = {}
        for arrival in self._history.arrivals:
            self._arrivals.setdefault(arrival.request_id, []).append(arrival)

    def run(self) -> list[str]:
        return [f"{check.__name__[1:]}: {error}" for check in self._CHECKS for error in check(self)]

    def _undisturbed(self, exchange: Exchange, end: float) -> bool:
        """Whether the VMs that may work on a request are undisturbed; a search may use any VM."""
        start = exchange.sent_at - SETTLING_SECONDS
        if exchange.route != SEARCH_ROUTE:
            return self._history.undisturbed(exchange.vm, start, end)
        vms = [vm.name for vm in self._environment.vms] or [exchange.vm]
        return all(self._history.undisturbed(vm, start, end) for vm in vms)

    def _delayed(self, arrival: Arrival) -> bool:
        """Whether a fault of the replica's proxy may have delayed the request."""
        start = arrival.at - SETTLING_SECONDS
        return not self._history.undisturbed(arrival.instance, start, arrival.at)

    def _runs(self, exchange: Exchange) -> list[Arrival]:
        return [item for item in self._arrivals.get(exchange.request_id, ()) if item.ran]

    def _forwarded(self) -> Iterator[tuple[Exchange, Arrival]]:
        for arrival in self._history.arrivals:
            exchange = self._history.exchanges.get(arrival.request_id)
            if exchange is not None:
                yield exchange, arrival

    def _exchanges(self) -> Iterator[Exchange]:
        yield from self._history.exchanges.values()

    def _versions(self, exchange: Exchange, end: float) -> list[Version]:
        """Return the versions that may be in force for a request."""
        if self._undisturbed(exchange, end):
            return self._history.in_force(exchange.sent_at - IN_FORCE_SECONDS, end)
        return self._history.in_force(0.0, end)

    def _requests_match(self) -> Iterator[str]:
        for arrival in self._history.arrivals:
            exchange = self._history.exchanges.get(arrival.request_id)
            same = exchange is not None and (exchange.target, exchange.body) == (
                arrival.target,
                arrival.body,
            )
            if not same:
                yield f"{arrival} matches no caller's request"

    def _at_most_once(self) -> Iterator[str]:
        for exchange in self._exchanges():
            runs = self._runs(exchange)
            if exchange.route == ONCE_ROUTE and len(runs) > 1:
                yield f"{exchange} ran {len(runs)} times"

    def _refused_did_not_run(self) -> Iterator[str]:
        for exchange in self._exchanges():
            if (
                exchange.route == ONCE_ROUTE
                and exchange.status in NOT_RUN_STATUSES
                and self._runs(exchange)
            ):
                yield f"{exchange} was answered {exchange.status} and ran"

    def _bounded_attempts(self) -> Iterator[str]:
        for exchange in self._exchanges():
            runs = [run.service for run in self._runs(exchange)]
            for service in set(runs):
                if runs.count(service) > MAX_ATTEMPTS:
                    yield f"{exchange} ran {runs.count(service)} times at {service}"

    def _deadline_passed_on(self) -> Iterator[str]:
        for exchange, arrival in self._forwarded():
            left = exchange.sent_at + exchange.seconds - arrival.at
            over = arrival.remaining > left + TOLERANCE_SECONDS and not self._delayed(arrival)
            if over and self._undisturbed(exchange, arrival.at):
                yield f"{exchange} had {left:.2f} s left, replica was told {arrival.remaining:.2f}"

    def _stopped_after_disconnect(self) -> Iterator[str]:
        for exchange, arrival in self._forwarded():
            end = exchange.disconnected_at or exchange.ended_at
            over = end and arrival.at > end + TOLERANCE_SECONDS and not self._delayed(arrival)
            if over and self._undisturbed(exchange, arrival.at):
                late = arrival.at - end
                yield f"{exchange} reached {arrival.instance} {late:.2f} s after it ended"

    def _answered_in_time(self) -> Iterator[str]:
        for exchange in self._exchanges():
            end = exchange.disconnected_at or exchange.ended_at
            over = end - exchange.sent_at > exchange.seconds + TOLERANCE_SECONDS
            if over and self._undisturbed(exchange, end):
                yield f"{exchange} had no answer after {end - exchange.sent_at:.2f} s"

    def _not_cut_off(self) -> Iterator[str]:
        for exchange in self._exchanges():
            if exchange.status or not exchange.ended_at or exchange.disconnected_at:
                continue
            crossed = exchange.ended_at - exchange.sent_at <= CLOSE_RACE_SECONDS
            forwarded = exchange.request_id in self._arrivals
            if (forwarded or not crossed) and self._undisturbed(exchange, exchange.ended_at):
                yield f"{exchange} was cut off at {exchange.ended_at:.2f}, forwarded: {forwarded}"

    def _answers_correct(self) -> Iterator[str]:
        for exchange in self._exchanges():
            if exchange.status == 200:
                error = self._answer_error(exchange)
                if error:
                    yield f"{exchange}: {error}"
            elif "x-server-stamp" in exchange.headers:
                stamps = {
                    reply_stamp(run.service, exchange.request_id, exchange.status)
                    for run in self._runs(exchange)
                }
                if exchange.headers["x-server-stamp"] not in stamps:
                    yield f"{exchange}: status {exchange.status} does not come from its replica"

    def _answer_error(self, exchange: Exchange) -> str:
        """Return the error of an answer with status 200, or an empty string."""
        if exchange.route == SEARCH_ROUTE:
            return self._search_answer_error(exchange)
        for run in self._runs(exchange):
            if exchange.headers.get("x-server-stamp") == reply_stamp(
                run.service, exchange.request_id
            ):
                whole = records(run.service, exchange.request_id)
                return "" if exchange.answer == whole else "the body differs from the replica's"
        return "no stamp of a replica that ran the request"

    def _search_answer_error(self, exchange: Exchange) -> str:
        stamps = [stamp.strip() for stamp in exchange.headers.get("x-part-stamps", "").split(",")]
        missing = int(exchange.headers.get("x-missing-parts", "0"))
        known = {
            reply_stamp(run.service, exchange.request_id): run.service
            for run in self._runs(exchange)
        }
        services = [known.get(stamp, "") for stamp in stamps]
        if "" in services or len(set(services)) != len(services):
            return f"stamps of {services}"
        sets = [
            set(version.routes[SEARCH_ROUTE])
            for version in self._versions(exchange, exchange.ended_at)
        ]
        fits = [
            shards
            for shards in sets
            if set(services) <= shards and len(services) + missing == len(shards)
        ]
        if not fits:
            return f"{services} and {missing} missing match the shards of no configuration"
        if len(services) < MIN_SHARE * len(fits[0]):
            return f"only {services}"
        bodies = b"".join(records(service, exchange.request_id) for service in services)
        parts = (bodies[at : at + RECORD_BYTES] for at in range(0, len(bodies), RECORD_BYTES))
        best = b"".join(heapq.nlargest(TOP_K, parts))
        return (
            ""
            if exchange.answer == best
            else "the records are not the greatest of the partial answers"
        )

    def _denials_justified(self) -> Iterator[str]:
        for exchange in self._exchanges():
            if not 300 <= exchange.status < 500 or exchange.status in NOT_RUN_STATUSES:
                continue
            versions = self._versions(exchange, exchange.ended_at)
            if exchange.status != 404 or all(exchange.route in item.routes for item in versions):
                yield f"{exchange} was answered {exchange.status}"

    def _routed_as_configured(self) -> Iterator[str]:
        for exchange, arrival in self._forwarded():
            versions = self._versions(exchange, arrival.at)
            allowed = {name for item in versions for name in item.routes.get(exchange.route, ())}
            if arrival.ran and arrival.service not in allowed:
                yield f"{exchange} ran at {arrival.service}, allowed are {sorted(allowed)}"

    def _no_rollback(self) -> Iterator[str]:
        seen: dict[tuple[str, int], list[tuple[float, int]]] = {}
        for exchange, arrival in self._forwarded():
            allowing_versions = [
                version.number
                for version in self._history.versions
                if arrival.service in version.routes.get(exchange.route, ())
            ]
            if not arrival.ran or not allowing_versions:
                continue
            earlier_runs = seen.setdefault((exchange.vm, exchange.boot), [])
            before = [
                min_version
                for at, min_version in earlier_runs
                if at < exchange.sent_at - ROLLBACK_SECONDS
            ]
            if before and max(allowing_versions) < max(before):
                yield f"{exchange} ran at {arrival.service} of version {max(allowing_versions)}"
            earlier_runs.append((arrival.at, min(allowing_versions)))

    def _drained_not_used(self) -> Iterator[str]:
        for exchange, arrival in self._forwarded():
            at = self._history.drained.get(arrival.instance)
            if at is None or not arrival.ran or arrival.at <= at + DRAIN_SECONDS:
                continue
            early = min(at, exchange.sent_at)
            undisturbed_before = self._history.undisturbed(
                exchange.vm, early - SETTLING_SECONDS, exchange.sent_at
            )
            if undisturbed_before and self._undisturbed(exchange, arrival.at):
                late = arrival.at - at
                yield f"{exchange} reached {arrival.instance} {late:.2f} s after it drained"

    def _poison_quarantined(self) -> Iterator[str]:
        for target, crashes in self._history.crashes.items():
            if len(crashes) < POISON_CRASHES:
                continue
            since = crashes[POISON_CRASHES - 1] + SETTLING_SECONDS
            late = [
                arrival
                for exchange, arrival in self._forwarded()
                if POISON in arrival.target
                and arrival.target == target
                and arrival.ran
                and arrival.at > since
                and self._undisturbed(exchange, arrival.at)
            ]
            if len(late) > MAX_POISON_RETRIES:
                yield f"{target} reached replicas {len(late)} times after it had crashed three"

    def _poison_paths_quarantined(self) -> Iterator[str]:
        """Count repetitions of a path with any query, however many replicas each reached."""
        crashes_by_path: dict[str, list[float]] = {}
        for target, crashes in self._history.crashes.items():
            crashes_by_path.setdefault(target.partition("?")[0], []).extend(crashes)
        for path, crashes in crashes_by_path.items():
            if len(crashes) < POISON_CRASHES:
                continue
            since = sorted(crashes)[POISON_CRASHES - 1] + SETTLING_SECONDS
            late = {
                exchange.request_id
                for exchange, arrival in self._forwarded()
                if arrival.target.partition("?")[0] == path
                and arrival.ran
                and arrival.at > since
                and self._undisturbed(exchange, arrival.at)
            }
            if len(late) > MAX_POISON_RETRIES:
                yield f"{path} came {len(late)} times more after it had crashed three"

    def _limits_kept(self) -> Iterator[str]:
        for instance, announced in self._announced_by_instance().items():
            for limit, items in itertools.groupby(announced, key=lambda item: item.limit):
                if not limit:
                    continue
                named = list(items)
                told = self._told(named)
                since = named[0].at + SETTLING_SECONDS
                times = [
                    arrival.at
                    for exchange, arrival in self._forwarded()
                    if arrival.instance == instance
                    and exchange.route != SEARCH_ROUTE
                    and since <= arrival.at <= named[-1].at
                    and arrival.at >= told.get(_boot(exchange), arrival.at) + TOLD_SECONDS
                    and self._undisturbed(exchange, arrival.at)
                ]
                most = max((_count(times, at, at + LIMIT_SECONDS) for at in times), default=0)
                if most > 1.5 * limit * LIMIT_SECONDS + 5.0:
                    yield f"{instance} named a limit of {limit} and got {most} requests"

    def _pauses_kept(self) -> Iterator[str]:
        for instance, announced in self._announced_by_instance().items():
            for item in announced:
                exchange = self._history.exchanges.get(item.request_id)
                if not item.pause or exchange is None or not self._heard(item, exchange):
                    continue
                early = [
                    arrival
                    for other, arrival in self._forwarded()
                    if arrival.instance == instance
                    and _boot(other) == _boot(exchange)
                    and other.route != SEARCH_ROUTE
                    and item.at + TOLD_SECONDS < arrival.at < item.at + item.pause
                    and self._undisturbed(other, arrival.at)
                ]
                if len(early) > MAX_EARLY_REQUESTS:
                    yield f"{instance} asked for {item.pause:.1f} s and got {len(early)} requests"

    def _leaving_not_used(self) -> Iterator[str]:
        for instance, announced in self._announced_by_instance().items():
            told = self._told([item for item in announced if item.leaving])
            for exchange, arrival in self._forwarded():
                since = told.get(_boot(exchange))
                if (
                    since is not None
                    and arrival.instance == instance
                    and exchange.route != SEARCH_ROUTE
                    and exchange.sent_at > since + DRAIN_SECONDS
                    and self._history.undisturbed(exchange.vm, since, arrival.at)
                ):
                    yield f"{exchange} reached {instance}, which had said that it leaves"

    def _announced_by_instance(self) -> dict[str, list[Announced]]:
        announced: dict[str, list[Announced]] = {}
        for item in self._history.announced:
            announced.setdefault(item.instance, []).append(item)
        return announced

    def _told(self, announced: list[Announced]) -> dict[tuple[str, int], float]:
        """Return when each process was first told; a search may be asked by any VM."""
        told: dict[tuple[str, int], float] = {}
        for item in announced:
            exchange = self._history.exchanges.get(item.request_id)
            if exchange is not None and self._heard(item, exchange):
                told.setdefault(_boot(exchange), item.at)
        return told

    def _heard(self, item: Announced, exchange: Exchange) -> bool:
        """Whether the VM that took a request got the reply of a replica to it.

        It may not if the caller disconnected or a fault of the replica's proxy took the reply; a
        search may have been asked by another VM.
        """
        disturbed = not self._history.undisturbed(
            item.instance, item.at - SETTLING_SECONDS, item.at + SETTLING_SECONDS
        )
        answered = exchange.ended_at >= item.at and exchange.status > 0
        return exchange.route != SEARCH_ROUTE and answered and not disturbed

    def _retry_budget(self) -> Iterator[str]:
        window = BOUNDS["retryWindowS"]
        first_arrivals: dict[str, list[float]] = {}
        extra_arrivals: dict[str, list[float]] = {}
        seen = set()
        for arrival in sorted(self._history.arrivals):
            key = (arrival.request_id, arrival.service)
            (extra_arrivals if key in seen else first_arrivals).setdefault(
                arrival.service, []
            ).append(arrival.at)
            seen.add(key)
        for service, times in extra_arrivals.items():
            for index, end in enumerate(times):
                begin = bisect.bisect_left(times, end - window)
                asked = max(
                    _count(first_arrivals.get(service, []), end - window - back, end - back)
                    for back in (0.0, window / 2, window)
                )
                bound = BOUNDS["retryRatio"] * asked + BOUNDS["retrySlack"]
                if index + 1 - begin > bound:
                    yield f"{service} had {index + 1 - begin} extra arrivals, {bound:.0f} allowed"
                    break

    def _processes_healthy(self) -> Iterator[str]:
        for vm in self._environment.vms:
            yield from vm.unexpected_exits
            for at in vm.overdue_stops:
                if self._history.undisturbed(vm.name, at - GRACE_SECONDS - SETTLING_SECONDS, at):
                    yield f"{vm.name} did not end within its grace period, at {at:.2f}"
            if vm.error_text():
                yield f"{vm.name} wrote to standard error: {vm.error_text()[-2000:]}"
            for line in vm.log_lines():
                error = _log_line_error(line)
                if error:
                    yield f"{vm.name}: {error}"

    def _memory_bounded(self) -> Iterator[str]:
        for vm in self._environment.vms:
            if vm.peak_bytes > MAX_VM_BYTES:
                yield f"{vm.name} took {vm.peak_bytes} bytes of memory"

    def _recovered(self) -> Iterator[str]:
        late = [
            item
            for item in self._exchanges()
            if item.sent_at >= self._fault_free_from and item.ended_at
        ]
        bad = [item for item in late if item.status != 200]
        if not late or len(bad) > (1.0 - MIN_SERVED_SHARE) * len(late):
            first = f", the first {bad[0]} with {bad[0].status}" if bad else ""
            yield f"{len(late) - len(bad)} of {len(late)} were served after all faults{first}"

    _CHECKS: tuple[Callable[["_Checker"], Iterator[str]], ...] = (
        _requests_match, _at_most_once, _refused_did_not_run, _bounded_attempts,
        _deadline_passed_on, _stopped_after_disconnect, _answered_in_time, _not_cut_off,
        _answers_correct, _denials_justified, _routed_as_configured, _no_rollback,
        _drained_not_used, _poison_quarantined, _poison_paths_quarantined,
        _limits_kept, _pauses_kept, _leaving_not_used,
        _retry_budget, _processes_healthy, _memory_bounded,
        _recovered,
    )  # fmt: skip


def check_guarantees(environment: Environment, fault_free_from: float) -> list[str]:
    """Return every violated guarantee with the request that shows it.

    :param fault_free_from: loop time in seconds after the last fault and its settling time.
    """
    return _Checker(environment, fault_free_from).run()


def _boot(exchange: Exchange) -> tuple[str, int]:
    """Return the process that took a request from its caller."""
    return exchange.vm, exchange.boot


def _count(times: list[float], start: float, end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


def _log_line_error(line: bytes) -> str:
    try:
        event = json.loads(line)
    except ValueError:
        return f"log line is not JSON: {line[:200]!r}"
    if event.get("message_type") == "TaskFailed":
        return f"a task failed: {event}"
    return ""
