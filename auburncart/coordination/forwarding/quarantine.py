"""Quarantine of requests that crash replicas, shared with all VMs through the store."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import xxhash

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import Entry, KindSink, KindStore
from auburncart.coordination.forwarding.replica import ReplicaConnectionPool
from auburncart.exception import AuburncartError
from auburncart.state.crash import CrashReport
from auburncart.state.event import CrashConfirmed, CrashDismissed, DependencyLost
from auburncart.state.forward import ForwardRequest

__all__ = ["CRASHES", "MAX_CONFIRMATIONS", "RequestQuarantine"]

CRASHES = "replica-crashes"  # kind of the objects in the store that report crashes
CRASH_THRESHOLD = 3  # fewer crashes during one request's attempts may be coincidence
QUARANTINE_SECONDS = 60.0  # a caller that repeats a request for a minute has given up by then
CONFIRMATION_DELAY_SECONDS = 0.05  # a process that crashed retry_delay connections by then
MAX_CONFIRMATIONS = 20  # at a time, so that a mass crash doesn't cause a wave of connections
MAX_REPORTS = 200  # at a time; the store holds each for the duration of the quarantine
INITIAL_BACKOFF_SECONDS = 0.2  # a report is needed from the caller's next retry on
MAX_BACKOFF_SECONDS = 2.0  # a store that is back is noticed within this time
SEPARATOR = "."


class RequestQuarantine(KindSink):
    """Counts the crashes of replicas by request, and refuses requests that caused several.

    :param store: the platform's store, to which each crash is reported.
    :param journal: records each crash.
    """

    def __init__(self, store: KindStore, journal: Journal) -> None:
        self._store = store
        self._journal = journal
        self._crashes: dict[str, dict[str, float]] = {}
        self._confirming: set[asyncio.Task[None]] = set()
        self._reporting: set[asyncio.Task[None]] = set()

    def retry_delay(self, request: ForwardRequest) -> float:
        """Return the seconds for which a request must not be sent, 0 if it may be."""
        crashes = self._crashes.get(digest_of(request)) if self._crashes else None
        if not crashes:
            return 0.0
        now = asyncio.get_running_loop().time()
        recent = [at for at in crashes.values() if now - at < QUARANTINE_SECONDS]
        if len(recent) < CRASH_THRESHOLD:
            return 0.0
        return max(recent) + QUARANTINE_SECONDS - now

    def record_loss(self, request: ForwardRequest, pool: ReplicaConnectionPool) -> None:
        """Check whether a replica crashed that lost its connection during a request."""
        if len(self._confirming) < MAX_CONFIRMATIONS:
            _start_task(self._confirm(request, pool), self._confirming)
        else:
            self._dismiss(request, pool, "too many other replicas are being checked")

    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Count all reports in the store."""
        for entry in entries:
            self.apply_change(entry)

    def apply_change(self, entry: Entry) -> None:
        """Count one report; a deletion is ignored, since reports expire here as well."""
        if isinstance(entry.value, CrashReport):
            self._count(entry.value.digest, entry.name)

    def confirm(self) -> None:
        """Discard requests whose crashes have all expired."""
        now = asyncio.get_running_loop().time()
        for digest, crashes in list(self._crashes.items()):
            if all(now - at >= QUARANTINE_SECONDS for at in crashes.values()):
                del self._crashes[digest]

    def store_recovered(self) -> None:
        """Do nothing: known crashes stay valid during an outage of the store."""

    async def _confirm(self, request: ForwardRequest, pool: ReplicaConnectionPool) -> None:
        await asyncio.sleep(CONFIRMATION_DELAY_SECONDS)
        if await pool.accepts_connections():
            self._dismiss(request, pool, "it accepts connections")
            return
        digest = digest_of(request)
        name = f"{digest}{SEPARATOR}{xxhash.xxh64_hexdigest(request.request_id.encode())}"
        if name in self._crashes.get(digest, {}):
            return
        self._count(digest, name)
        crashes = len(self._crashes[digest])
        replica = pool.registration.address
        self._journal.record(CrashConfirmed(request.request_id, digest, replica, crashes))
        if len(self._reporting) < MAX_REPORTS:
            _start_task(self._report(digest, name), self._reporting)

    def _dismiss(self, request: ForwardRequest, pool: ReplicaConnectionPool, reason: str) -> None:
        replica = pool.registration.address
        event = CrashDismissed(request.request_id, digest_of(request), replica, reason)
        self._journal.record(event)

    async def _report(self, digest: str, name: str) -> None:
        """Report a crash to the other VMs for as long as the quarantine lasts."""
        until = asyncio.get_running_loop().time() + QUARANTINE_SECONDS
        await self._retry(lambda: self._store.put(CRASHES, name, {"digest": digest}), until)
        await asyncio.sleep(until - asyncio.get_running_loop().time())
        # Deleted also if the write seems to have failed: only its reply may have been lost.
        await self._retry(lambda: self._store.delete(CRASHES, name), until + QUARANTINE_SECONDS)

    async def _retry(self, call: Callable[[], Awaitable[None]], until: float) -> None:
        """Repeat a call to the store until it succeeds or its time is over."""
        backoff = Backoff(random.Random(), INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        while asyncio.get_running_loop().time() < until:
            try:
                await call()
                return
            except AuburncartError as error:
                self._journal.record(DependencyLost(f"store {CRASHES}", str(error)))
                await asyncio.sleep(backoff.next_delay())

    def _count(self, digest: str, name: str) -> None:
        now = asyncio.get_running_loop().time()
        self._crashes.setdefault(digest, {}).setdefault(name, now)


def _start_task(coroutine: Coroutine[Any, Any, None], tasks: set[asyncio.Task[None]]) -> None:
    """Run a coroutine in a task, which is kept in a set while it runs."""
    task = asyncio.create_task(coroutine, name="replica crash")
    tasks.add(task)
    task.add_done_callback(tasks.discard)


def digest_of(request: ForwardRequest) -> str:
    """Return a digest of a request and its caller, the same for each repetition."""
    caller = request.caller.rpartition(":")[0]
    parts = (request.method, request.host, caller)
    hashed = xxhash.xxh3_128("\n".join(parts).encode())
    hashed.update(request.target)
    hashed.update(b"\n")
    hashed.update(request.body)
    return hashed.hexdigest()
