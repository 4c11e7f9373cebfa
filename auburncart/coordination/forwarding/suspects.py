"""Requests that crash the replicas that run them, known to all VMs through the store."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import xxhash

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import Entry, KindSink, KindStore
from auburncart.coordination.forwarding.replica import ReplicaPool
from auburncart.exception import AuburncartError
from auburncart.state.crash import CrashReport
from auburncart.state.event import CrashConfirmed, DependencyLost
from auburncart.state.forward import ForwardRequest

__all__ = ["CRASHES", "MOST_CONFIRMATIONS", "Suspects"]

CRASHES = "replica-crashes"  # kind of the objects by which VMs tell each other
MOST_CRASHES = 3  # tries of one request that may each have crashed a replica by chance
QUARANTINE_SECONDS = 60.0  # a caller that asks again for a minute has given up by then
CONFIRM_SECONDS = 0.05  # after a loss: a process that crashed refuses connections by then
MOST_CONFIRMATIONS = 20  # at a time: a mass crash of replicas must not become a wave of dials
MOST_REPORTS = 200  # at a time, each of which the store holds for the quarantine's time
FIRST_BACKOFF_SECONDS = 0.2  # between tries to report; a crash matters from the next retry on
MOST_BACKOFF_SECONDS = 2.0  # the time within which a store that is back is seen
SEPARATOR = "."


class Suspects(KindSink):
    """Counts the tries during which replicas crashed, for each request.

    :param store: the platform's store, to which each crash is reported.
    :param journal: told of each crash.
    """

    def __init__(self, store: KindStore, journal: Journal) -> None:
        self._store = store
        self._journal = journal
        self._seen: dict[str, dict[str, float]] = {}
        self._confirming: set[asyncio.Task[None]] = set()
        self._reporting: set[asyncio.Task[None]] = set()

    def refuses(self, request: ForwardRequest) -> float:
        """Return seconds for which a request must not reach a replica, 0 if it may."""
        crashes = self._seen.get(digest_of(request)) if self._seen else None
        if not crashes:
            return 0.0
        now = asyncio.get_running_loop().time()
        recent = [at for at in crashes.values() if now - at < QUARANTINE_SECONDS]
        if len(recent) < MOST_CRASHES:
            return 0.0
        return max(recent) + QUARANTINE_SECONDS - now

    def record_loss(self, request: ForwardRequest, pool: ReplicaPool) -> None:
        """Take in that a replica broke off while it had a request, and see whether it crashed."""
        if len(self._confirming) < MOST_CONFIRMATIONS:
            _run(self._confirm(request, pool), self._confirming)

    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Take in the whole list."""
        for entry in entries:
            self.change(entry)

    def change(self, entry: Entry) -> None:
        """Take in one report, or that one was deleted."""
        if isinstance(entry.value, CrashReport):
            self._count(entry.value.digest, entry.name)

    def confirm(self) -> None:
        """Forget what is past its time."""
        now = asyncio.get_running_loop().time()
        for digest, crashes in list(self._seen.items()):
            if all(now - at >= QUARANTINE_SECONDS for at in crashes.values()):
                del self._seen[digest]

    def returned(self) -> None:
        """Do nothing: reports are kept for their time."""

    async def _confirm(self, request: ForwardRequest, pool: ReplicaPool) -> None:
        await asyncio.sleep(CONFIRM_SECONDS)
        if await pool.answers():
            return
        digest = digest_of(request)
        name = f"{digest}{SEPARATOR}{xxhash.xxh64_hexdigest(request.request_id.encode())}"
        if name in self._seen.get(digest, {}):
            return
        self._count(digest, name)
        crashes = len(self._seen[digest])
        replica = pool.registration.address
        self._journal.record(CrashConfirmed(request.request_id, digest, replica, crashes))
        if len(self._reporting) < MOST_REPORTS:
            _run(self._report(digest, name), self._reporting)

    async def _report(self, digest: str, name: str) -> None:
        """Tell the other VMs of a crash for as long as the quarantine lasts."""
        until = asyncio.get_running_loop().time() + QUARANTINE_SECONDS
        await self._insist(lambda: self._store.put(CRASHES, name, {"digest": digest}), until)
        await asyncio.sleep(until - asyncio.get_running_loop().time())
        # A report whose answer was lost may stand there too.
        await self._insist(lambda: self._store.delete(CRASHES, name), until + QUARANTINE_SECONDS)

    async def _insist(self, call: Callable[[], Awaitable[None]], until: float) -> None:
        """Make a call of the store until it succeeds or its time is over."""
        backoff = Backoff(random.Random(), FIRST_BACKOFF_SECONDS, MOST_BACKOFF_SECONDS)
        while asyncio.get_running_loop().time() < until:
            try:
                await call()
                return
            except AuburncartError as error:
                self._journal.record(DependencyLost(f"store {CRASHES}", str(error)))
                await asyncio.sleep(backoff.next_delay())

    def _count(self, digest: str, name: str) -> None:
        now = asyncio.get_running_loop().time()
        self._seen.setdefault(digest, {}).setdefault(name, now)


def _run(step: Coroutine[Any, Any, None], tasks: set[asyncio.Task[None]]) -> None:
    """Run a step in a task, which is kept in a set while it runs."""
    task = asyncio.create_task(step, name="crash of a replica")
    tasks.add(task)
    task.add_done_callback(tasks.discard)


def digest_of(request: ForwardRequest) -> str:
    """Return a digest of what is asked and by whom, the same for every try of it."""
    caller = request.caller.rpartition(":")[0]
    parts = (request.method, request.host, caller)
    hashed = xxhash.xxh3_128("\n".join(parts).encode())
    hashed.update(request.target)
    hashed.update(b"\n")
    hashed.update(request.body)
    return hashed.hexdigest()
