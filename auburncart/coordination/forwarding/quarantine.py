"""Quarantine of requests that crash replicas, shared with all VMs through the store."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Coroutine, MutableMapping
from typing import Any

import xxhash

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.crash_history import (
    CRASH_THRESHOLD,
    REFUSAL_SECONDS,
    CrashHistory,
    PathCrashHistory,
    RequestCrashHistory,
)
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import Entry, KindSink, KindStore
from auburncart.coordination.forwarding.replica import ReplicaConnectionPool
from auburncart.coordination.forwarding.request_digests import RequestDigests, digests_of
from auburncart.exception import AuburncartError
from auburncart.state.crash import CrashReport
from auburncart.state.event import CrashConfirmed, CrashDismissed, CrashLearned, DependencyLost
from auburncart.state.forward import ForwardRequest

__all__ = ["CRASHES", "MAX_CONFIRMATIONS", "RequestQuarantine"]

CRASHES = "replica-crashes"  # kind of the objects in the store that report crashes
CONFIRMATION_DELAY_SECONDS = 0.05  # a process that crashed refuses connections by then
ANSWER_SECONDS = 0.3  # after a loss, for the attempt's other replicas to answer
MAX_CONFIRMATIONS = 20  # at a time, so that a mass crash doesn't cause a wave of connections
MAX_CHECKS = 2 * CRASH_THRESHOLD  # of one request at a time
MAX_ALL_CHECKS = 300  # at a time
MAX_ANSWERED = 2000  # of attempts, requests and paths each; some seconds of traffic
MAX_REPORTED_CRASHES = 2 * CRASH_THRESHOLD  # of one request
MAX_REPORTS = 200  # at a time; the store holds each for the duration of the quarantine
INITIAL_BACKOFF_SECONDS = 0.2  # a report is needed from the caller's next retry on
MAX_BACKOFF_SECONDS = 2.0  # a store that is back is noticed within this time
REMOVAL_SECONDS = 2.0 * REFUSAL_SECONDS  # for the VM that wrote a report to delete it
MAX_REMOVALS = 20  # at a time, of reports whose VM has ended
SEPARATOR = "."


class RequestQuarantine(KindSink):
    """Counts the crashes of replicas by request, and refuses requests that caused several.

    :param store: the platform's store, to which crashes are reported.
    :param journal: records each crash.
    """

    def __init__(self, store: KindStore, journal: Journal) -> None:
        self._store = store
        self._journal = journal
        self._histories: dict[str, RequestCrashHistory] = {}
        self._path_histories: dict[str, PathCrashHistory] = {}
        self._answered_attempts = _RecentAnswers()
        self._answered_requests = _RecentAnswers()
        self._answered_paths = _RecentAnswers()
        self._checks: dict[str, set[asyncio.Task[None]]] = {}
        self._connects = asyncio.Semaphore(MAX_CONFIRMATIONS)
        self._reporting: set[asyncio.Task[None]] = set()
        self._removals: dict[str, float] = {}  # loop time by name of a report in the store
        self._removing: set[asyncio.Task[None]] = set()
        self._random = random.Random()
        self._listed = False

    @property
    def listed(self) -> bool:
        """Whether the crashes that other VMs reported are known."""
        return self._listed

    def retry_delay(self, request: ForwardRequest) -> float:
        """Return the seconds for which a request must not be sent, 0 if it may be."""
        now = _now()
        histories = self._histories_of(request)
        return max([0.0, *(history.refused_until - now for history in histories)])

    def on_trial(self, request: ForwardRequest) -> bool:
        """Return whether a request that was refused may now be sent to one replica only."""
        now = _now()
        return any(history.on_trial(now) for history in self._histories_of(request))

    def suspects(self, request: ForwardRequest) -> bool:
        """Return whether the replicas lost so far suffice to refuse a request if they crashed."""
        if not self._checks and not self._histories:
            return False
        digest = digests_of(request).request
        history = self._histories.get(digest)
        count = history.count(_now()) if history else 0
        return count + len(self._checks.get(digest, ())) >= CRASH_THRESHOLD

    async def settle(self, request: ForwardRequest) -> None:
        """Wait until it is known whether the replicas lost to a suspected request crashed."""
        await asyncio.sleep(0.0)  # count the losses that came in together first
        digest = digests_of(request).request
        while self.suspects(request) and (checks := self._checks.get(digest)):
            await asyncio.wait(checks)

    def record_loss(
        self, request: ForwardRequest, pool: ReplicaConnectionPool, *, silent: bool = False
    ) -> None:
        """Check whether a replica crashed that lost its connection during a request.

        :param silent: whether it did not reply instead.
        """
        digest = digests_of(request).request
        all_checks = sum(map(len, self._checks.values()))
        if len(self._checks.get(digest, ())) >= MAX_CHECKS or all_checks >= MAX_ALL_CHECKS:
            self._dismiss(request, pool, "too many other replicas are being checked")
            return
        checks = self._checks.setdefault(digest, set())
        task = _start_task(self._confirm(request, pool, silent), checks)
        task.add_done_callback(lambda _: checks or self._checks.pop(digest, None))

    def record_error(self, request: ForwardRequest) -> None:
        """Record that a replica answered a request with an error, which excuses no crash.

        A replica in trouble may send one without having run the request.
        """
        now = _now()
        for history in self._histories_of(request):
            if history.on_trial(now):
                history.repeat_refusal(now)

    def record_answer(self, request: ForwardRequest, *, is_part: bool = False) -> None:
        """Record that a replica ran a request and answered it without an error.

        :param is_part: whether other services run the request as well, where it may still crash.
        """
        now = _now()
        is_first = self._answered_attempts.add(request.request_id, now)
        if not is_first and not self._histories and not self._path_histories:
            return
        digests = digests_of(request)
        self._answered_requests.add(digests.request, now)
        self._answered_paths.add(digests.path, now)
        self._path_histories.pop(digests.path, None)
        history = self._histories.get(digests.request)
        if history is None:
            return
        if history.on_trial(now):
            if is_part:
                history.pass_trial()
            else:
                del self._histories[digests.request]
            return
        history.record_answer(_hash(request.request_id), now)

    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Count all reports in the store."""
        names = {entry.name for entry in entries}
        for name in self._removals.keys() - names:
            del self._removals[name]
        for entry in entries:
            self.apply_change(entry)
        self._listed = True

    def apply_change(self, entry: Entry) -> None:
        """Count one report; a deletion changes no count, since reports expire here as well."""
        report = entry.value
        if not isinstance(report, CrashReport):
            self._removals.pop(entry.name, None)
            return
        # VMs choose different times, so that one of them removes a report for all.
        delay = REMOVAL_SECONDS + self._random.uniform(0.0, REFUSAL_SECONDS)
        self._removals.setdefault(entry.name, _now() + delay)
        history = self._histories.get(report.digest)
        if history is not None and history.knows(entry.name):
            return
        self._count(entry.name, report)
        now = _now()
        histories = self._histories_by(RequestDigests(report.digest, report.path_digest))
        refused_until = max(history.refused_until for history in histories)
        self._journal.record(
            CrashLearned(
                report.digest,
                report.path_digest,
                report.replica,
                self._histories[report.digest].count(now),
                max(0.0, refused_until - now),
            )
        )

    def confirm(self) -> None:
        """Discard requests and paths whose crashes have all expired, and reports left behind."""
        now = _now()
        for name in [name for name, at in self._removals.items() if now >= at]:
            if len(self._removing) < MAX_REMOVALS:
                del self._removals[name]
                _start_task(self._delete(name, now + REFUSAL_SECONDS), self._removing)
        _discard_expired(self._histories, now)
        _discard_expired(self._path_histories, now)

    def store_recovered(self, failed_at: float) -> None:
        """Do nothing: known crashes stay valid during an outage of the store."""

    def _histories_of(self, request: ForwardRequest) -> list[CrashHistory]:
        if not self._histories and not self._path_histories:
            return []
        return self._histories_by(digests_of(request))

    def _histories_by(self, digests: RequestDigests) -> list[CrashHistory]:
        found = self._histories.get(digests.request), self._path_histories.get(digests.path)
        return [history for history in found if history is not None]

    async def _confirm(
        self, request: ForwardRequest, pool: ReplicaConnectionPool, silent: bool
    ) -> None:
        await asyncio.sleep(CONFIRMATION_DELAY_SECONDS)
        async with self._connects:
            if await pool.accepts_connections():
                self._dismiss(request, pool, "it accepts connections")
                return
        report = self._make_report(request, pool.registration.instance, silent)
        name = SEPARATOR.join((report.digest, report.attempt, report.replica))
        history = self._histories.get(report.digest)
        if history is not None and history.knows(name):
            return
        self._count(name, report)
        history = self._histories[report.digest]
        if self._answered_attempts.has(request.request_id):
            history.record_answer(report.attempt, _now())
        crashes = history.count(_now())
        address = pool.registration.address
        self._journal.record(_crash_confirmed(request, report, address, crashes))
        if len(self._reporting) < MAX_REPORTS and crashes <= MAX_REPORTED_CRASHES:
            delay = ANSWER_SECONDS if crashes > 1 else 0.0
            _start_task(self._report(name, report, request, delay), self._reporting)

    def _make_report(self, request: ForwardRequest, instance: str, silent: bool) -> CrashReport:
        digests, since = digests_of(request), _now() - REFUSAL_SECONDS
        return CrashReport(
            digests.request,
            _hash(request.request_id),
            _hash(instance),
            silent,
            self._answered_requests.has(digests.request, since),
            digests.path,
            self._answered_paths.has(digests.path, since),
        )

    def _count(self, name: str, report: CrashReport) -> None:
        now = _now()
        history = self._histories.setdefault(report.digest, RequestCrashHistory())
        history.add(name, report, now)
        path, since = report.path_digest, now - REFUSAL_SECONDS
        if path and not report.path_answered and not self._answered_paths.has(path, since):
            self._path_histories.setdefault(path, PathCrashHistory()).add(name, report, now)

    def _dismiss(self, request: ForwardRequest, pool: ReplicaConnectionPool, reason: str) -> None:
        replica = pool.registration.address
        digest = digests_of(request).request
        event = CrashDismissed(request.request_id, digest, replica, reason)
        self._journal.record(event)

    async def _report(
        self, name: str, report: CrashReport, request: ForwardRequest, delay: float
    ) -> None:
        """Report a crash to the other VMs for as long as the quarantine lasts.

        :param delay: seconds to wait for an answer of another replica; then the crash does not
            count beside the first one of the same attempt.
        """
        until = _now() + REFUSAL_SECONDS
        if delay:
            await asyncio.sleep(delay)
            if self._answered_attempts.has(request.request_id):
                return
        await self._retry(lambda: self._store.put(CRASHES, name, report._asdict()), until)
        await asyncio.sleep(until - _now())
        # Deleted also if the write seems to have failed: only its reply may have been lost.
        await self._delete(name, until + REFUSAL_SECONDS)

    async def _delete(self, name: str, until: float) -> None:
        await self._retry(lambda: self._store.delete(CRASHES, name), until)

    async def _retry(self, call: Callable[[], Awaitable[None]], until: float) -> None:
        """Repeat a call to the store until it succeeds or its time is over."""
        backoff = Backoff(self._random, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        while _now() < until:
            try:
                await call()
                return
            except AuburncartError as error:
                self._journal.record(DependencyLost(f"store {CRASHES}", str(error)))
                await asyncio.sleep(backoff.next_delay())


class _RecentAnswers:
    """Times of the last answers by key, up to a maximum number."""

    def __init__(self) -> None:
        self._times: OrderedDict[str, float] = OrderedDict()

    def add(self, key: str, now: float) -> bool:
        """Record an answer; return whether its key is new."""
        is_new = key not in self._times
        self._times[key] = now
        self._times.move_to_end(key)
        while len(self._times) > MAX_ANSWERED:
            self._times.popitem(last=False)
        return is_new

    def has(self, key: str, since: float = float("-inf")) -> bool:
        """Return whether there was an answer after a time."""
        return self._times.get(key, float("-inf")) > since


def _start_task(
    coroutine: Coroutine[Any, Any, None], tasks: set[asyncio.Task[None]]
) -> asyncio.Task[None]:
    """Run a coroutine in a task, which is kept in a set while it runs."""
    task = asyncio.create_task(coroutine, name="replica crash")
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


def _crash_confirmed(
    request: ForwardRequest, report: CrashReport, address: str, crashes: int
) -> CrashConfirmed:
    query = request.target.partition(b"?")[2]
    return CrashConfirmed(
        request.request_id,
        report.digest,
        report.path_digest,
        address,
        crashes,
        request.method,
        request.host,
        request.path,
        xxhash.xxh64_hexdigest(query) if query else "",
        xxhash.xxh64_hexdigest(request.body) if request.body else "",
        request.caller,
    )


def _discard_expired(histories: MutableMapping[str, Any], now: float) -> None:
    for digest in [key for key, history in histories.items() if history.expired(now)]:
        del histories[digest]


def _hash(name: str) -> str:
    return xxhash.xxh64_hexdigest(name.encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
