"""Relay of the store's changes from VMs that watch the store to others in their data centre."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.kinds import Changes, KindStore, Page
from auburncart.coordination.forwarding.roster import ENTRY_VMS, Roster
from auburncart.coordination.forwarding.watch_times import WatchTimes
from auburncart.exception import HistoryLostError, LinkError, StoreUnavailableError
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import SourceChanged

__all__ = ["RelayClient", "RelayServer", "RelayedStore"]

DIRECT = "store"
# VMs that start together with their readers wait for them: all lists at once are most of a day's
# calls of the store.
READER_START_SECONDS = 1.5
READER_RETRY_SECONDS = 0.25


class RelayClient(ABC):
    """Asks other VMs for the store's objects and their changes."""

    @abstractmethod
    async def list(self, address: str, kind: str) -> Page:
        """Return all objects of a kind that a VM knows.

        :raises LinkError: the VM gave no answer, or its own data is not fresh.
        """

    @abstractmethod
    async def changes(self, address: str, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes of a kind at a VM.

        :raises LinkError: the VM gave no answer, or its own data is not fresh.
        :raises HistoryLostError: it no longer knows all changes since the revision.
        """


class RelayServer:
    """Answers other VMs from the objects that this one watches in the store.

    :param watchers: this VM's watchers by kind.
    :param roster: the VMs.
    """

    def __init__(self, watchers: dict[str, KindWatcher], roster: Roster) -> None:
        self._watchers = watchers
        self._roster = roster

    def list(self, kind: str) -> Page:
        """Return all objects of a kind."""
        if kind == ENTRY_VMS:
            return self._roster.page()
        return self._fresh_watcher(kind).page()

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes.

        :raises StoreUnavailableError: the known objects are not fresh, or no longer are.
        """
        watcher = self._fresh_watcher(kind)
        changes = await watcher.changes_since(revision, wait)
        self._fresh_watcher(kind)
        return changes

    def _fresh_watcher(self, kind: str) -> KindWatcher:
        watcher = self._watchers.get(kind)
        if watcher is None or not watcher.fresh:
            raise StoreUnavailableError(f"{kind}: objects are not fresh", step="relay", sent=False)
        return watcher


class RelayedStore(KindStore):
    """Lists and watches through another VM where one relays, else at the store itself.

    :param store: the store.
    :param make_client: makes the client for other VMs; called at its first use.
    :param roster: names the VMs to ask.
    :param journal: records changes of the source of a kind.
    :param times: how long watches and questions to other VMs may wait.
    """

    def __init__(
        self,
        store: KindStore,
        make_client: Callable[[], RelayClient],
        roster: Roster,
        journal: Journal,
        times: WatchTimes,
    ) -> None:
        self._store = store
        self._make_client = make_client
        self._cached_client: RelayClient | None = None
        self._roster = roster
        self._journal = journal
        self._times = times
        self._sources: dict[str, str] = {}

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        """Return the objects of a kind; another VM returns all in one page."""
        await self._roster.wait_until_listed()
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + READER_START_SECONDS
        while not after and self._roster.relay_sources():
            page = await self._first_page(kind)
            if page is not None:
                return page
            if loop.time() >= give_up_at:
                break
            await asyncio.sleep(READER_RETRY_SECONDS)
        return await self._store.list(kind, after, stale=stale)

    async def _first_page(self, kind: str) -> Page | None:
        """Return the objects that the first fresh reader knows, None if no reader is fresh."""
        for vm in self._roster.relay_sources():
            try:
                page = await self._client.list(vm.address, kind)
            except LinkError as error:
                self._set_source(kind, DIRECT, str(error))
                continue
            self._set_source(kind, vm.name, "")
            return page
        return None

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes at all readers at once, or at the store if no reader is fresh."""
        sources = self._roster.relay_sources()
        if sources:
            changes = await self._first_changes(sources, kind, revision, self._times.question)
            if changes is not None:
                return changes
        if self._roster.relaying:
            wait = min(wait, self._times.relayed_wait)
        return await self._store.changes(kind, revision, wait)

    async def _first_changes(
        self, sources: tuple[EntryVm, ...], kind: str, revision: int, wait: float
    ) -> Changes | None:
        """Return the changes that a reader reports first, None if no reader is fresh.

        All are asked, since a reader may be cut off from the store for a while before it notices.
        """
        vms_by_task = {
            asyncio.create_task(self._client.changes(vm.address, kind, revision, wait)): vm
            for vm in sources
        }
        answer: Changes | None = None
        history_lost = False
        failure = ""
        pending = set(vms_by_task)
        try:
            while pending and not (answer and answer.entries):
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    try:
                        answer = self._more_recent(answer, task.result())
                        if self._sources.get(kind, DIRECT) == DIRECT:
                            self._set_source(kind, vms_by_task[task].name, "")
                    except HistoryLostError:
                        history_lost = True
                    except LinkError as error:
                        failure = str(error)
        finally:
            for task in pending:
                task.cancel()
        if answer is None and failure:
            self._set_source(kind, DIRECT, failure)
        if answer is None and history_lost:
            raise HistoryLostError(f"no reader has the changes of {kind} since revision {revision}")
        return answer

    def _more_recent(self, answer: Changes | None, candidate: Changes) -> Changes:
        """Return the answer with entries or the later revision."""
        if answer is None or candidate.entries or candidate.revision > answer.revision:
            return candidate
        return answer

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Create or replace an object at the store."""
        await self._store.put(kind, name, value)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object at the store."""
        await self._store.delete(kind, name)

    @property
    def _client(self) -> RelayClient:
        if self._cached_client is None:
            self._cached_client = self._make_client()
        return self._cached_client

    def _set_source(self, kind: str, source: str, reason: str) -> None:
        if self._sources.get(kind, DIRECT) != source:
            self._sources[kind] = source
            self._journal.record(SourceChanged(kind, source, reason))
