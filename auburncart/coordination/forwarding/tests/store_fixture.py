"""Stand-in for the platform's store, for tests on virtual time."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar

from auburncart.coordination.forwarding.kinds import Changes, Entry, KindStore, Page
from auburncart.coordination.forwarding.watch_times import WatchTimes
from auburncart.exception import HistoryLostError, StoreUnavailableError

__all__ = ["FakeStore", "LossyStore"]


T = TypeVar("T")


class FakeStore(KindStore):
    """Objects of all kinds with one counter of revisions.

    While it is ``down`` every call fails, also one that was waiting.
    """

    def __init__(self) -> None:
        self._down = False
        self._revision = 1
        self._oldest = 1
        self._objects: dict[str, dict[str, Entry]] = {}
        self._history: list[tuple[str, Entry]] = []
        self._changed = asyncio.Event()

    @property
    def down(self) -> bool:
        """Whether every call fails."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        self._down = down
        self._wake_watches()

    def write(self, kind: str, name: str, value: Any) -> None:
        """Create or replace an object."""
        self._objects.setdefault(kind, {})[name] = self._add_to_history(kind, name, value)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        del self._objects[kind][name]
        self._add_to_history(kind, name, None)

    def forget_history(self) -> None:
        """Answer all watches from before now with the loss of their history."""
        self._revision += 1
        self._oldest = self._revision
        self._history.clear()
        self._wake_watches()

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        self._check_available()
        return Page(tuple(self._objects.get(kind, {}).values()), False, self._revision)

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        deadline = asyncio.get_running_loop().time() + wait
        while not (entries := self._changes_since(kind, revision)):
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                break
        return Changes(entries, self._revision)

    async def put(self, kind: str, name: str, value: Any) -> None:
        self._check_available()
        self.write(kind, name, value)

    async def delete(self, kind: str, name: str) -> None:
        self._check_available()
        if name in self._objects.get(kind, {}):
            self.remove(kind, name)

    def _changes_since(self, kind: str, revision: int) -> tuple[Entry, ...]:
        self._check_available()
        if revision < self._oldest:
            raise HistoryLostError("history lost", step="store")
        return tuple(
            entry
            for changed, entry in self._history
            if changed == kind and entry.revision > revision
        )

    def _add_to_history(self, kind: str, name: str, value: Any) -> Entry:
        self._revision += 1
        entry = Entry(name, value, self._revision)
        self._history.append((kind, entry))
        self._wake_watches()
        return entry

    def _check_available(self) -> None:
        if self._down:
            raise StoreUnavailableError("status 503", step="store", sent=False)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class LossyStore(KindStore):
    """A store as one VM reaches it: replies that are due while it is ``silent`` are lost.

    :param times: when replies count as lost.
    """

    def __init__(self, store: KindStore, times: WatchTimes) -> None:
        self.silent = False
        self._store = store
        self._times = times

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        return await self._reply_of(self._store.list(kind, after, stale=stale), self._times.call)

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        timeout = wait + self._times.reply if wait else self._times.call
        return await self._reply_of(self._store.changes(kind, revision, wait), timeout)

    async def put(self, kind: str, name: str, value: Any) -> None:
        await self._reply_of(self._store.put(kind, name, value), self._times.call)

    async def delete(self, kind: str, name: str) -> None:
        await self._reply_of(self._store.delete(kind, name), self._times.call)

    async def _reply_of(self, call: Awaitable[T], timeout: float) -> T:
        try:
            async with asyncio.timeout(timeout):
                reply = await call
                if self.silent:
                    await asyncio.Event().wait()
                return reply
        except TimeoutError as error:
            raise StoreUnavailableError("no complete reply in time", step="reply") from error
