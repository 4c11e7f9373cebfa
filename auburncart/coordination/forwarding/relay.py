"""Taking the store's changes from another VM, which reads them for all of a data centre."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import Changes, KindStore, KindWatcher, Page
from auburncart.coordination.forwarding.roster import Roster
from auburncart.exception import HistoryLostError, LinkError, StoreUnavailableError
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import SourceChanged

__all__ = ["RelayClient", "RelayServer", "RelayedStore"]

DIRECT = "store"
READER_WATCH_SECONDS = 2.5  # with the next, a silent store is noticed within a change's 5 s
RELAY_WAIT_SECONDS = 1.0  # between questions whether a reader is still fresh; in one data centre


class RelayClient(ABC):
    """Asks other VMs what they know of the store."""

    @abstractmethod
    async def list(self, address: str, kind: str) -> Page:
        """Return all objects of a kind that a VM knows.

        :raises LinkError: the VM gave no answer, or does not know the store's state itself.
        """

    @abstractmethod
    async def changes(self, address: str, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes at a VM.

        :raises LinkError: the VM gave no answer, or does not know the store's state itself.
        :raises HistoryLostError: it no longer knows the changes since the revision.
        """


class RelayServer:
    """Answers other VMs from what this one watches in the store.

    :param watchers: watchers of this VM by kind.
    """

    def __init__(self, watchers: dict[str, KindWatcher]) -> None:
        self._watchers = watchers

    def list(self, kind: str) -> Page:
        """Return all objects of a kind."""
        return self._watcher(kind).page()

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes, and say so if what is known here has become old meanwhile."""
        watcher = self._watcher(kind)
        changes = await watcher.changes_since(revision, wait)
        self._watcher(kind)
        return changes

    def _watcher(self, kind: str) -> KindWatcher:
        watcher = self._watchers.get(kind)
        if watcher is None or not watcher.fresh:
            raise StoreUnavailableError(f"{kind} is not fresh here", step="relay", sent=False)
        return watcher


class RelayedStore(KindStore):
    """Lists and watches by way of another VM where there is one, else at the store itself.

    :param store: the store.
    :param make_client: returns what asks other VMs; called once there is one to ask.
    :param roster: tells which VMs to ask.
    :param journal: told when the source of a kind changes.
    """

    def __init__(
        self,
        store: KindStore,
        make_client: Callable[[], RelayClient],
        roster: Roster,
        journal: Journal,
    ) -> None:
        self._store = store
        self._make_client = make_client
        self._client_made: RelayClient | None = None
        self._roster = roster
        self._journal = journal
        self._sources: dict[str, str] = {}

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        """Return the objects of a kind, all of them if another VM answers."""
        await self._roster.wait_until_listed()
        for vm in self._roster.relay_sources() if not after else ():
            try:
                page = await self._client.list(vm.address, kind)
            except LinkError as error:
                self._use(kind, DIRECT, str(error))
                continue
            self._use(kind, vm.name, "")
            return page
        return await self._store.list(kind, after, stale=stale)

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes at all readers at once, or at the store if none of them is fresh."""
        sources = self._roster.relay_sources()
        if sources:
            changes = await self._first_changes(sources, kind, revision)
            if changes is not None:
                return changes
        if self._roster.relaying:
            wait = min(wait, READER_WATCH_SECONDS)
        return await self._store.changes(kind, revision, wait)

    async def _first_changes(
        self, sources: tuple[EntryVm, ...], kind: str, revision: int
    ) -> Changes | None:
        """Return the changes that a reader tells first, None if no reader is fresh.

        One reader may be cut off from the store for a while before it notices.
        """
        asked = {
            asyncio.create_task(
                self._client.changes(vm.address, kind, revision, RELAY_WAIT_SECONDS)
            ): vm
            for vm in sources
        }
        answer: Changes | None = None
        forgotten = False
        failure = ""
        pending = set(asked)
        try:
            while pending and not (answer and answer.entries):
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    try:
                        answer = self._better(answer, task.result())
                        if self._sources.get(kind, DIRECT) == DIRECT:
                            self._use(kind, asked[task].name, "")
                    except HistoryLostError:
                        forgotten = True
                    except LinkError as error:
                        failure = str(error)
        finally:
            for task in pending:
                task.cancel()
        if answer is None and failure:
            self._use(kind, DIRECT, failure)
        if answer is None and forgotten:
            raise HistoryLostError(f"no reader knows changes of {kind} since {revision}")
        return answer

    def _better(self, answer: Changes | None, other: Changes) -> Changes:
        """Return the answer that tells more."""
        if answer is None or other.entries or other.revision > answer.revision:
            return other
        return answer

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Write an object at the store."""
        await self._store.put(kind, name, value)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object at the store."""
        await self._store.delete(kind, name)

    @property
    def _client(self) -> RelayClient:
        if self._client_made is None:
            self._client_made = self._make_client()
        return self._client_made

    def _use(self, kind: str, source: str, reason: str) -> None:
        if self._sources.get(kind, DIRECT) != source:
            self._sources[kind] = source
            self._journal.record(SourceChanged(kind, source, reason))
