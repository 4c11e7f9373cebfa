import asyncio
import gc
import random
import unittest
import weakref
from typing import Any

from auburncart.coordination.forwarding.kind_watcher import KindWatcher
from auburncart.coordination.forwarding.kinds import Changes, Entry, KindStore, Page
from auburncart.coordination.forwarding.latest_changes import MAX_DELETIONS, LatestChanges
from auburncart.coordination.forwarding.tests.gateway_fixture import ListJournal
from auburncart.coordination.forwarding.tests.test_relay import RecordingSink
from auburncart.coordination.forwarding.watch_times import watch_times
from auburncart.exception import HistoryLostError
from auburncart.tests.virtual import virtual_time

VERSIONS = 200
VERSION_SECONDS = 0.5


class _Version:
    """A decoded version of an object."""


class _VersionStore(KindStore):
    """A store with one object, of which each watch returns another version."""

    def __init__(self) -> None:
        self.versions: weakref.WeakSet[_Version] = weakref.WeakSet()
        self.revision = 1

    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        return Page((self.next_version(),), False, self.revision)

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        await asyncio.sleep(VERSION_SECONDS)
        return Changes((self.next_version(),), self.revision)

    def next_version(self) -> Entry:
        self.revision += 1
        version = _Version()
        self.versions.add(version)
        return Entry("main", version, self.revision)

    async def put(self, kind: str, name: str, value: Any) -> None:
        raise NotImplementedError

    async def delete(self, kind: str, name: str) -> None:
        raise NotImplementedError


class LatestChangesTest(unittest.TestCase):
    @virtual_time
    async def test_versions_that_were_replaced_do_not_stay_in_memory(self) -> None:
        """Each of up to 2000 versions of the configuration was kept for other VMs."""
        store = _VersionStore()
        watcher = KindWatcher(
            store, "things", RecordingSink(), ListJournal(), random.Random(1), watch_times(4.0, 3.0)
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(VERSIONS * VERSION_SECONDS)
        gc.collect()
        self.assertGreater(store.revision, VERSIONS / 2)
        self.assertLessEqual(len(store.versions), 2)
        task.cancel()

    def test_each_object_has_its_latest_change_in_order(self) -> None:
        latest = LatestChanges()
        latest.replace((Entry("a", 1, 1), Entry("b", 1, 2)), 2)
        latest.add(Entry("c", 1, 3), 3)
        latest.add(Entry("a", 2, 4), 4)
        latest.add(Entry("b", None, 5), 5)
        latest.add(Entry("c", 2, 6), 6)
        self.assertEqual([entry.name for entry in latest.since(2)], ["a", "b", "c"])
        self.assertEqual([entry.name for entry in latest.since(4)], ["b", "c"])
        self.assertEqual(latest.since(6), ())
        self.assertEqual(
            [(entry.name, entry.value) for entry in latest.entries], [("a", 2), ("c", 2)]
        )

    def test_an_object_that_returns_after_its_deletion_is_kept(self) -> None:
        latest = LatestChanges()
        latest.replace((Entry("a", 1, 1),), 1)
        latest.add(Entry("a", None, 2), 2)
        latest.add(Entry("a", 2, 3), 3)
        for number in range(MAX_DELETIONS + 1):
            latest.add(Entry(f"x{number}", None, 4 + number), 4 + number)
        self.assertEqual([entry.value for entry in latest.entries], [2])

    def test_forgotten_deletions_are_a_lost_history(self) -> None:
        latest = LatestChanges()
        latest.replace((), 1)
        for number in range(MAX_DELETIONS + 5):
            latest.add(Entry(f"x{number}", None, 2 + number), 2 + number)
        self.assertEqual(len(latest.since(6)), MAX_DELETIONS)
        with self.assertRaises(HistoryLostError):
            latest.since(5)
        with self.assertRaises(HistoryLostError):
            latest.since(0)

    def test_an_unreadable_object_is_no_deletion(self) -> None:
        latest = LatestChanges()
        latest.replace((Entry("a", 1, 1),), 1)
        latest.add(Entry("a", None, 2, "unknown state"), 2)
        self.assertEqual([entry.error for entry in latest.entries], ["unknown state"])
