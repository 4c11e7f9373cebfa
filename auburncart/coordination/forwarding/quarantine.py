"""Quarantine of requests that crash replicas, shared with all VMs through the store."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import xxhash

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.crash_history import (
    CRASH_THRESHOLD,
    REFUSAL_SECONDS,
    CrashHistory,
)
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import Entry, KindSink, KindStore
from auburncart.coordination.forwarding.replica import ReplicaConnectionPool
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
MAX_ANSWERED = 2000  # attempts and requests whose answers are remembered, some seconds of traffic
MAX_REPORTED_CRASHES = 2 * CRASH_THRESHOLD  # of one request
MAX_REPORTS = 200  # at a time; the store holds each for the duration of the quarantine
INITIAL_BACKOFF_SECONDS = 0.2  # a report is needed from the caller's next retry on
MAX_BACKOFF_SECONDS = 2.0  # a store that is back is noticed within this time
SEPARATOR = "."


class RequestQuarantine(KindSink):
    """Counts the crashes of replicas by request, and refuses requests that caused several.

    :param store: the platform's store, to which crashes are reported.
    :param journal: records each crash.
    """

    def __init__(self, store: KindStore, journal: Journal) -> None:
        self._store = store
        self._journal = journal
        self._histories: dict[str, CrashHistory] = {}
        self._answered: OrderedDict[str, None] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()  # by digest of the request
        self._checks: dict[str, set[asyncio.Task[None]]] = {}
        self._connects = asyncio.Semaphore(MAX_CONFIRMATIONS)
        self._reporting: set[asyncio.Task[None]] = set()
        self._listed = False

    @property
    def listed(self) -> bool:
        """Whether the crashes that other VMs reported are known."""
        return self._listed

    def retry_delay(self, request: ForwardRequest) -> float:
        """Return the seconds for which a request must not be sent, 0 if it may be."""
        history = self._history_of(request)
        return max(0.0, history.refused_until - _now()) if history else 0.0

    def on_trial(self, request: ForwardRequest) -> bool:
        """Return whether a request that was refused may now be sent to one replica only."""
        history = self._history_of(request)
        return history is not None and history.on_trial(_now())

    def suspects(self, request: ForwardRequest) -> bool:
        """Return whether the replicas lost so far suffice to refuse a request if they crashed."""
        if not self._checks and not self._histories:
            return False
        digest = digest_of(request)
        history = self._histories.get(digest)
        count = history.count(_now()) if history else 0
        return count + len(self._checks.get(digest, ())) >= CRASH_THRESHOLD

    async def settle(self, request: ForwardRequest) -> None:
        """Wait until it is known whether the replicas lost to a suspected request crashed."""
        await asyncio.sleep(0.0)  # count the losses that came in together first
        while self.suspects(request) and (checks := self._checks.get(digest_of(request))):
            await asyncio.wait(checks)

    def record_loss(
        self, request: ForwardRequest, pool: ReplicaConnectionPool, *, silent: bool = False
    ) -> None:
        """Check whether a replica crashed that lost its connection during a request.

        :param silent: whether it did not reply instead.
        """
        digest = digest_of(request)
        all_checks = sum(map(len, self._checks.values()))
        if len(self._checks.get(digest, ())) >= MAX_CHECKS or all_checks >= MAX_ALL_CHECKS:
            self._dismiss(request, pool, "too many other replicas are being checked")
            return
        checks = self._checks.setdefault(digest, set())
        task = _start_task(self._confirm(digest, request, pool, silent), checks)
        task.add_done_callback(lambda _: checks or self._checks.pop(digest, None))

    def record_error(self, request: ForwardRequest) -> None:
        """Record that a replica answered a request with an error, which excuses no crash.

        A replica in trouble may send one without having run the request.
        """
        history = self._history_of(request)
        if history is not None and history.on_trial(_now()):
            history.repeat_refusal(_now())

    def record_answer(self, request: ForwardRequest) -> None:
        """Record that a replica ran a request and answered it without an error."""
        if request.request_id not in self._answered:
            self._answered[request.request_id] = None
            self._answered_at[digest_of(request)] = _now()
            _trim(self._answered)
            _trim(self._answered_at)
        history = self._history_of(request)
        if history is None:
            return
        if history.on_trial(_now()):
            del self._histories[digest_of(request)]
            return
        history.record_answer(_hash(request.request_id), _now())

    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Count all reports in the store."""
        for entry in entries:
            self.apply_change(entry)
        self._listed = True

    def apply_change(self, entry: Entry) -> None:
        """Count one report; a deletion is ignored, since reports expire here as well."""
        report = entry.value
        if not isinstance(report, CrashReport):
            return
        history = self._histories.get(report.digest)
        if history is not None and history.knows(entry.name):
            return
        self._count(entry.name, report)
        history, now = self._histories[report.digest], _now()
        refusal_seconds = max(0.0, history.refused_until - now)
        self._journal.record(
            CrashLearned(report.digest, report.replica, history.count(now), refusal_seconds)
        )

    def confirm(self) -> None:
        """Discard requests whose crashes have all expired."""
        now = _now()
        for digest in [key for key, past in self._histories.items() if past.expired(now)]:
            del self._histories[digest]

    def store_recovered(self, failed_at: float) -> None:
        """Do nothing: known crashes stay valid during an outage of the store."""

    def _history_of(self, request: ForwardRequest) -> CrashHistory | None:
        return self._histories.get(digest_of(request)) if self._histories else None

    async def _confirm(
        self, digest: str, request: ForwardRequest, pool: ReplicaConnectionPool, silent: bool
    ) -> None:
        await asyncio.sleep(CONFIRMATION_DELAY_SECONDS)
        async with self._connects:
            if await pool.accepts_connections():
                self._dismiss(request, pool, "it accepts connections")
                return
        replica = pool.registration
        attempt = _hash(request.request_id)
        answered = _now() - self._answered_at.get(digest, float("-inf")) < REFUSAL_SECONDS
        report = CrashReport(digest, attempt, _hash(replica.instance), silent, answered)
        name = SEPARATOR.join((digest, attempt, report.replica))
        history = self._histories.get(digest)
        if history is not None and history.knows(name):
            return
        self._count(name, report)
        history = self._histories[digest]
        if request.request_id in self._answered:
            history.record_answer(attempt, _now())
        crashes = history.count(_now())
        self._journal.record(_crash_confirmed(request, digest, replica.address, crashes))
        if len(self._reporting) < MAX_REPORTS and crashes <= MAX_REPORTED_CRASHES:
            delay = ANSWER_SECONDS if crashes > 1 else 0.0
            _start_task(self._report(name, report, request, delay), self._reporting)

    def _count(self, name: str, report: CrashReport) -> None:
        self._histories.setdefault(report.digest, CrashHistory()).add(name, report, _now())

    def _dismiss(self, request: ForwardRequest, pool: ReplicaConnectionPool, reason: str) -> None:
        replica = pool.registration.address
        event = CrashDismissed(request.request_id, digest_of(request), replica, reason)
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
            if request.request_id in self._answered:
                return
        await self._retry(lambda: self._store.put(CRASHES, name, report._asdict()), until)
        await asyncio.sleep(until - _now())
        # Deleted also if the write seems to have failed: only its reply may have been lost.
        await self._retry(lambda: self._store.delete(CRASHES, name), until + REFUSAL_SECONDS)

    async def _retry(self, call: Callable[[], Awaitable[None]], until: float) -> None:
        """Repeat a call to the store until it succeeds or its time is over."""
        backoff = Backoff(random.Random(), INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        while _now() < until:
            try:
                await call()
                return
            except AuburncartError as error:
                self._journal.record(DependencyLost(f"store {CRASHES}", str(error)))
                await asyncio.sleep(backoff.next_delay())


def _start_task(
    coroutine: Coroutine[Any, Any, None], tasks: set[asyncio.Task[None]]
) -> asyncio.Task[None]:
    """Run a coroutine in a task, which is kept in a set while it runs."""
    task = asyncio.create_task(coroutine, name="replica crash")
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


def _crash_confirmed(
    request: ForwardRequest, digest: str, address: str, crashes: int
) -> CrashConfirmed:
    query = request.target.partition(b"?")[2]
    return CrashConfirmed(
        request.request_id,
        digest,
        address,
        crashes,
        request.method,
        request.host,
        request.path,
        xxhash.xxh64_hexdigest(query) if query else "",
        xxhash.xxh64_hexdigest(request.body) if request.body else "",
        request.caller,
    )


def _trim(answers: OrderedDict[str, Any]) -> None:
    """Remove the oldest answers above the maximum number."""
    while len(answers) > MAX_ANSWERED:
        answers.popitem(last=False)


def _hash(name: str) -> str:
    return xxhash.xxh64_hexdigest(name.encode())


def _now() -> float:
    return asyncio.get_running_loop().time()


def digest_of(request: ForwardRequest) -> str:
    """Return a digest of what replicas receive of a request, the same for each repetition.

    The caller is left out: no replica sees who sent a request, and a repetition may come from
    another address.
    """
    hashed = xxhash.xxh3_128(f"{request.method}\n{request.host}\n".encode())
    hashed.update(request.target)
    hashed.update(b"\n")
    hashed.update(request.body)
    return hashed.hexdigest()
