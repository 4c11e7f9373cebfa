"""Watching all objects of one kind in the platform's store, across outages of the store."""

import asyncio
import random

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import (
    Changes,
    Entry,
    KindSink,
    KindStore,
    Page,
    list_all,
)
from auburncart.coordination.forwarding.latest_changes import LatestChanges
from auburncart.coordination.forwarding.watch_times import WatchTimes
from auburncart.exception import AuburncartError, HistoryLostError, StoreUnavailableError
from auburncart.state.event import DependencyLost, DependencyRegained, EntryUnreadable

__all__ = ["KindWatcher"]

COALESCE_SECONDS = 0.4  # joins changes in quick succession; a tenth of the time bounds
INITIAL_BACKOFF_SECONDS = 0.1


class KindWatcher:
    """Lists the objects of a kind once and then watches them.

    :param store: the store.
    :param kind: the kind.
    :param sink: receives the objects.
    :param journal: records outages of the store and unreadable objects.
    :param rng: source of the jitter, seeded differently on each VM.
    :param times: how long watches may wait, and how recent the objects must be for other VMs.
    """

    def __init__(
        self,
        store: KindStore,
        kind: str,
        sink: KindSink,
        journal: Journal,
        rng: random.Random,
        times: WatchTimes,
    ) -> None:
        self._store = store
        self._kind = kind
        self._sink = sink
        self._journal = journal
        self._times = times
        self._backoff = Backoff(rng, INITIAL_BACKOFF_SECONDS, times.max_delay)
        self._revision: int | None = None
        self._newest = 0  # revision, also while there is none to watch from
        self._lost_at: float | None = None
        self._called_at = 0.0
        self._failed_at = 0.0
        self._confirmed_at = float("-inf")
        self._latest = LatestChanges()
        self._revision_changed = asyncio.Event()

    @property
    def age(self) -> float:
        """Seconds since the store last confirmed the known objects."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    @property
    def connected(self) -> bool:
        """Whether the objects are known and the store answered the last call."""
        return self._revision is not None and self._lost_at is None

    @property
    def fresh(self) -> bool:
        """Whether the known objects are recent enough for other VMs."""
        return self._lost_at is None and self.age <= self._times.max_age

    def page(self) -> Page:
        """Return all known objects, for another VM."""
        if self._revision is None:
            raise StoreUnavailableError("the objects are not listed yet", step="relay", sent=False)
        return Page(self._latest.entries, False, self._revision)

    async def changes_since(self, revision: int, wait: float) -> Changes:
        """Wait for changes after a revision, for another VM.

        :raises HistoryLostError: changes since the revision are no longer known.
        """
        deadline = asyncio.get_running_loop().time() + wait
        while (self._revision or 0) <= revision:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._revision_changed.wait()
            except TimeoutError:
                break
        # A new list read during the wait may have skipped changes.
        return Changes(self._latest.since(revision), max(revision, self._revision or 0))

    async def run(self) -> None:
        """Watch the kind; runs until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError:
                self._revision = None
                await asyncio.sleep(self._backoff.next_delay())
            except AuburncartError as error:
                self._record_outage(error)
                await asyncio.sleep(self._backoff.next_delay())

    async def _step(self) -> None:
        self._called_at = asyncio.get_running_loop().time()
        if self._revision is None:
            page = await list_all(self._store, self._kind)
            entries, revision = page.entries, page.revision
            if revision < self._newest:
                # Another VM that is behind may list objects which are known to be deleted.
                reason = f"{self._kind} listed at revision {revision}, known at {self._newest}"
                raise StoreUnavailableError(reason, step="list", sent=False)
            self._end_outage(revision)
            self._sink.replace(self._report_unreadable(entries))
            self._latest.replace(entries, revision)
            changed = False
        else:
            wait = self._times.wait if self._lost_at is None else 0.0
            changes = await self._store.changes(self._kind, self._revision, wait)
            revision = changes.revision
            self._end_outage(revision)
            changed = bool(changes.entries)
            for entry in self._report_unreadable(changes.entries):
                self._latest.add(entry, revision)
                self._sink.apply_change(entry)
        self._set_revision(revision)
        self._sink.confirm()
        if changed:
            await asyncio.sleep(COALESCE_SECONDS)

    def _set_revision(self, revision: int) -> None:
        self._revision = self._newest = revision
        self._confirmed_at = asyncio.get_running_loop().time()
        self._revision_changed.set()
        self._revision_changed = asyncio.Event()

    def _report_unreadable(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        for entry in entries:
            if entry.error:
                self._journal.record(EntryUnreadable(self._kind, entry.name, entry.error))
        return entries

    def _record_outage(self, error: AuburncartError) -> None:
        self._failed_at = self._called_at
        if self._lost_at is None:
            self._lost_at = asyncio.get_running_loop().time()
            age = self._lost_at - self._confirmed_at if self._newest else 0.0
            event = DependencyLost(f"store {self._kind}", str(error), self._newest, age)
            self._journal.record(event)

    def _end_outage(self, revision: int) -> None:
        self._backoff.reset()
        if self._lost_at is not None:
            seconds = asyncio.get_running_loop().time() - self._lost_at
            self._lost_at = None
            self._journal.record(DependencyRegained(f"store {self._kind}", seconds, revision))
            self._sink.store_recovered(self._failed_at)
