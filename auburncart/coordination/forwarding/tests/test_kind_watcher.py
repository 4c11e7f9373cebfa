import asyncio
import random
import unittest
from typing import Any

from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.kinds import Changes, Entry, KindStore, Page
from auburncart.coordination.forwarding.tests.gateway_fixture import ListJournal
from auburncart.coordination.forwarding.tests.test_relay import RecordingSink
from auburncart.coordination.forwarding.watch_times import watch_times
from auburncart.exception import HistoryLostError
from auburncart.state.event import DependencyLost
from auburncart.tests.virtual import virtual_time

READABLE = Entry("b", 1, 1)
UNREADABLE = Entry("", None, 0, "nested too deeply")
MAX_LISTS = 100


class _PagedStore(KindStore):
    """A store whose list after each name is one of some pages; its history is soon lost."""

    def __init__(self, pages: dict[str, Page]) -> None:
        self.pages = pages
        self.lists = 0

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        self.lists += 1
        await asyncio.sleep(0.001)
        return self.pages[after]

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        await asyncio.sleep(wait)
        raise HistoryLostError("history lost", step="store")

    async def put(self, kind: str, name: str, value: Any) -> None:
        raise NotImplementedError

    async def delete(self, kind: str, name: str) -> None:
        raise NotImplementedError


class ListTest(unittest.TestCase):
    async def list_again(self, *pages: tuple[str, Page]) -> tuple[_PagedStore, ListJournal]:
        """Let a watcher list one object, then pages that make no progress."""
        store = _PagedStore({"": Page((READABLE,), False, 1)})
        sink, journal = RecordingSink(), ListJournal()
        watcher = KindWatcher(
            store, "things", sink, journal, random.Random(1), watch_times(4.0, 3.0)
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(1.0)
        store.pages = dict(pages)
        await asyncio.sleep(30.0)
        self.assertFalse(task.done())
        self.assertEqual(sink.values["b"][0], 1)
        task.cancel()
        return store, journal

    def check(self, store: _PagedStore, journal: ListJournal) -> None:
        self.assertLess(store.lists, MAX_LISTS)
        (event,) = journal.of(DependencyLost)
        self.assertIn("no progress", event.reason)

    @virtual_time
    async def test_a_page_that_ends_with_an_unnamed_entry_is_an_outage(self) -> None:
        """The list began anew without end."""
        self.check(*await self.list_again(("", Page((UNREADABLE,), True, 2))))

    @virtual_time
    async def test_a_page_that_is_returned_again_is_an_outage(self) -> None:
        page = Page((READABLE,), True, 2)
        self.check(*await self.list_again(("", page), ("b", page)))

    @virtual_time
    async def test_an_empty_page_that_is_not_the_last_is_an_outage(self) -> None:
        """The task of the watcher failed, which ends the process."""
        self.check(*await self.list_again(("", Page((), True, 2))))
