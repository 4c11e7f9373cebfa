"""Following all objects of one kind in the platform's store, whatever the store does."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections import deque
from typing import Any, NamedTuple

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.journal import Journal
from auburncart.exception import AuburncartError, HistoryLostError, StoreUnavailableError
from auburncart.state.event import DependencyLost, DependencyRegained, EntryUnreadable

__all__ = ["Changes", "Entry", "KindFollower", "KindSink", "KindStore", "Page"]

WATCH_SECONDS = 5.0  # a store that is silent to this VM alone is found within one watch
COALESCE_SECONDS = 0.4  # joins changes that follow into one call; a tenth of the bounds
MOST_HISTORY = 2000  # changes kept for other VMs, some storms of configurations and releases
FRESH_SECONDS = 3.5  # a relayed watch and a second: beyond it other VMs must not rely on this one
FIRST_BACKOFF_SECONDS = 0.1  # a store that is back must be seen within two seconds
MOST_BACKOFF_SECONDS = 1.0


class Entry(NamedTuple):
    """An object, or the end of one.

    :param value: its decoded value; None if it was deleted or cannot be read.
    :param revision: revision of its last change.
    :param fault: why it cannot be read, ``""`` if it can.
    """

    name: str
    value: Any
    revision: int
    fault: str = ""


class Page(NamedTuple):
    """A part of a list.

    :param more: whether the list goes on after the last entry.
    :param revision: the store's revision.
    """

    entries: tuple[Entry, ...]
    more: bool
    revision: int


class Changes(NamedTuple):
    """What has changed since a revision; ``revision`` is where to go on."""

    entries: tuple[Entry, ...]
    revision: int


class KindStore(ABC):
    """A store whose objects are listed and watched by their kind.

    Every call may raise :class:`~auburncart.exception.StoreUnavailableError`.
    """

    @abstractmethod
    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        """Return the objects of a kind whose names follow ``after``.

        :param stale: whether an answer that is seconds old will do; it costs less.
        """

    @abstractmethod
    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait until objects of a kind change.

        :param wait: seconds after which to return without any.
        :raises HistoryLostError: changes since the revision are no longer known.
        """

    @abstractmethod
    async def put(self, kind: str, name: str, value: Any) -> None:
        """Write an object, whether it exists or not."""

    @abstractmethod
    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; one that does not exist is no error."""


class KindSink(ABC):
    """What a kind's objects are given to."""

    @abstractmethod
    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Take in the whole list."""

    @abstractmethod
    def change(self, entry: Entry) -> None:
        """Take in one change."""

    @abstractmethod
    def confirm(self) -> None:
        """Take in that what is known is what the store holds now."""

    @abstractmethod
    def returned(self) -> None:
        """Take in that the store answers again after it did not."""


class KindFollower:
    """Lists a kind once and watches it from then on.

    :param store: the store.
    :param kind: the kind.
    :param sink: told of the objects.
    :param journal: told when the store is lost and regained.
    :param rng: source of the jitter, another one on each VM.
    :param watch_seconds: longest time of one watch.
    """

    def __init__(
        self,
        store: KindStore,
        kind: str,
        sink: KindSink,
        journal: Journal,
        rng: random.Random,
        watch_seconds: float = WATCH_SECONDS,
    ) -> None:
        self._store = store
        self._kind = kind
        self._sink = sink
        self._journal = journal
        self._watch_seconds = watch_seconds
        self._backoff = Backoff(rng, FIRST_BACKOFF_SECONDS, MOST_BACKOFF_SECONDS)
        self._revision: int | None = None
        self._lost_at: float | None = None
        self._confirmed_at = float("-inf")
        self._entries: dict[str, Entry] = {}
        self._history: deque[tuple[int, Entry]] = deque(maxlen=MOST_HISTORY)
        self._oldest = 0
        self._moved = asyncio.Event()

    @property
    def age(self) -> float:
        """Seconds since the store last said what it holds."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    @property
    def connected(self) -> bool:
        """Whether the objects are known, and the store answered when it was last asked."""
        return self._revision is not None and self._lost_at is None

    @property
    def fresh(self) -> bool:
        """Whether other VMs may rely on what is known here."""
        return self._lost_at is None and self.age <= FRESH_SECONDS

    def page(self) -> Page:
        """Return all that is known, for another VM."""
        if self._revision is None:
            raise StoreUnavailableError("not listed yet", step="relay", sent=False)
        return Page(tuple(self._entries.values()), False, self._revision)

    async def changes_since(self, revision: int, wait: float) -> Changes:
        """Wait for changes after a revision, for another VM.

        :raises HistoryLostError: changes since the revision are no longer known.
        """
        deadline = asyncio.get_running_loop().time() + wait
        while (self._revision or 0) <= revision:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._moved.wait()
            except TimeoutError:
                break
        # The list may have been read anew during the wait, without the changes in between.
        if revision < self._oldest:
            raise HistoryLostError(f"no changes since {revision}", step="relay")
        entries = tuple(entry for changed, entry in self._history if changed > revision)
        return Changes(entries, max(revision, self._revision or 0))

    async def run(self) -> None:
        """Follow the kind; runs until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError:
                self._revision = None
                await asyncio.sleep(self._backoff.next_delay())
            except AuburncartError as error:
                self._lose(error)
                await asyncio.sleep(self._backoff.next_delay())

    async def _step(self) -> None:
        if self._revision is None:
            entries, revision = await self._list_all()
            self._regain()
            self._sink.replace(self._readable(entries))
            self._entries = {entry.name: entry for entry in entries}
            self._history.clear()
            self._oldest = revision
            changed = False
        else:
            wait = self._watch_seconds if self._lost_at is None else 0.0
            changes = await self._store.changes(self._kind, self._revision, wait)
            self._regain()
            revision = changes.revision
            changed = bool(changes.entries)
            for entry in self._readable(changes.entries):
                self._keep(revision, entry)
                self._sink.change(entry)
        self._move_to(revision)
        self._sink.confirm()
        if changed:
            await asyncio.sleep(COALESCE_SECONDS)

    def _keep(self, revision: int, entry: Entry) -> None:
        """Keep a change for other VMs, which go on from the revision at which it was told."""
        if len(self._history) == MOST_HISTORY:
            self._oldest = self._history[0][0]
        self._history.append((revision, entry))
        if entry.value is None and not entry.fault:
            self._entries.pop(entry.name, None)
        else:
            self._entries[entry.name] = entry

    def _move_to(self, revision: int) -> None:
        self._revision = revision
        self._confirmed_at = asyncio.get_running_loop().time()
        self._moved.set()
        self._moved = asyncio.Event()

    async def _list_all(self) -> tuple[tuple[Entry, ...], int]:
        """Return all objects, and the revision of the first page: later changes come again."""
        page = await self._store.list(self._kind)
        entries, revision = list(page.entries), page.revision
        while page.more:
            page = await self._store.list(self._kind, page.entries[-1].name)
            entries += page.entries
        return tuple(entries), revision

    def _readable(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        for entry in entries:
            if entry.fault:
                self._journal.record(EntryUnreadable(self._kind, entry.name, entry.fault))
        return entries

    def _lose(self, error: AuburncartError) -> None:
        if self._lost_at is None:
            self._lost_at = asyncio.get_running_loop().time()
            self._journal.record(DependencyLost(f"store {self._kind}", str(error)))

    def _regain(self) -> None:
        self._backoff.reset()
        if self._lost_at is not None:
            seconds = asyncio.get_running_loop().time() - self._lost_at
            self._lost_at = None
            self._journal.record(DependencyRegained(f"store {self._kind}", seconds))
            self._sink.returned()
