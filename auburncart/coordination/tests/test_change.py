import asyncio
import unittest

from auburncart.coordination.audit import read_history
from auburncart.coordination.change import Author, Proposal, TableEditor
from auburncart.coordination.table import TABLE
from auburncart.exception import StoreUnavailableError, TableConflictError
from auburncart.protocol.platform import MAX_VALUE_BYTES
from auburncart.standins.fakes import FakeStore
from auburncart.standins.platform import PlatformModel, WriteFault
from auburncart.state.table import Row
from auburncart.state.work import Rank
from auburncart.tests.virtual import virtual_time

FLOORS = (0.0, 0.1, 0.05)
WHEN = 1_800_000_000.0


def proposal(change_id: str, weight: float, based_on: int | None) -> Proposal:
    rows = (Row("*", "closure", Rank.URGENT, weight), Row("*", "archive", Rank.BACKGROUND))
    return Proposal(change_id, rows, FLOORS, based_on)


class ChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = PlatformModel()
        self.store = FakeStore(self.platform)
        self.ana = TableEditor(self.store, Author("ana", "10.0.0.1"))
        self.bo = TableEditor(FakeStore(self.platform), Author("bo", "10.0.0.2"))

    @virtual_time
    async def test_of_two_concurrent_changes_one_applies_and_the_other_names_it(self) -> None:
        await self.ana.apply(proposal("c1", 1.0, 0), WHEN)
        self.platform.set_delay(0.2)
        results = await asyncio.gather(
            self.ana.apply(proposal("c2", 2.0, 1), WHEN),
            self.bo.apply(proposal("c3", 3.0, 1), WHEN),
            return_exceptions=True,
        )
        conflicts = [result for result in results if isinstance(result, TableConflictError)]
        self.assertEqual(len(conflicts), 1)
        self.assertEqual(conflicts[0].changes, ("version 2 by ana from 10.0.0.1: */closure",))
        stored = await self.store.read(TABLE)
        self.assertEqual(stored.value.table.version, 2)
        self.assertEqual([entry.change_id for entry in stored.value.audit], ["c1", "c2"])

    @virtual_time
    async def test_change_based_on_an_older_version_is_refused(self) -> None:
        await self.ana.apply(proposal("c1", 1.0, 0), WHEN)
        await self.ana.apply(proposal("c2", 2.0, 1), WHEN)
        with self.assertRaises(TableConflictError):
            await self.bo.apply(proposal("c3", 3.0, 1), WHEN)
        with self.assertRaises(TableConflictError):
            await self.bo.apply(proposal("c3", 3.0, 0), WHEN)

    @virtual_time
    async def test_change_applies_once_if_a_request_or_reply_is_lost(self) -> None:
        for number, fault in enumerate((WriteFault.LOST_REPLY, WriteFault.LOST_REQUEST)):
            self.platform.fail_next_write(fault)
            accepted = await self.ana.apply(proposal(f"c{number}", 1.0 + number, number), WHEN)
            self.assertEqual(accepted.version, number + 1)
        stored = await self.store.read(TABLE)
        self.assertEqual(len(stored.value.audit), 2)

    @virtual_time
    async def test_repeat_is_recognised_by_its_change_id_after_other_changes(self) -> None:
        for _ in range(5):
            self.platform.fail_next_write(WriteFault.LOST_REPLY)
        first = proposal("c1", 1.0, 0)
        accepted = await self.ana.apply(first, WHEN)
        self.assertEqual(accepted.version, 1)
        await self.bo.apply(proposal("c2", 2.0, 1), WHEN)
        again = await self.ana.apply(first, WHEN)
        self.assertEqual((again.version, again.repeated), (1, True))
        self.assertEqual((await self.store.read(TABLE)).value.table.version, 2)

    @virtual_time
    async def test_outage_is_reported_and_a_later_attempt_applies_once(self) -> None:
        for _ in range(5):
            self.platform.fail_next_write(WriteFault.LOST_REQUEST)
        with self.assertRaises(StoreUnavailableError):
            await self.ana.apply(proposal("c1", 1.0, 0), WHEN)
        self.assertEqual((await self.ana.apply(proposal("c1", 1.0, 0), WHEN)).version, 1)

    @virtual_time
    async def test_proposal_without_changes_is_reported_and_not_written(self) -> None:
        await self.ana.apply(proposal("c1", 1.0, 0), WHEN)
        writes = self.platform.writes
        accepted = await self.ana.apply(proposal("c2", 1.0, 1), WHEN)
        self.assertIsNone(accepted.entry)
        self.assertEqual((accepted.version, self.platform.writes), (1, writes))

    @virtual_time
    async def test_version_can_be_raised_after_the_store_was_restored(self) -> None:
        await self.ana.apply(proposal("c1", 1.0, 0), WHEN)
        accepted = await self.ana.apply(proposal("c2", 1.0, 1)._replace(above=40), WHEN)
        self.assertEqual((accepted.version, accepted.entry.follows), (41, 1))

    @virtual_time
    async def test_audit_trail_has_no_gap_if_replies_are_lost(self) -> None:
        changes = 12
        names = [f"customer-{index}-{'x' * 150}" for index in range(400)]
        for number in range(changes):
            rows = tuple(Row(name, "closure", Rank.URGENT, 1.0 + number) for name in names)
            change = Proposal(f"c{number}", rows, FLOORS, number)
            self.platform.fail_next_write(WriteFault.LOST_REPLY)
            while True:
                try:
                    accepted = await self.ana.apply(change, WHEN)
                    break
                except StoreUnavailableError:
                    continue
            self.assertEqual(accepted.version, number + 1)
        stored = (await self.store.read(TABLE)).value
        history = await read_history(self.store, stored, 100)
        self.assertEqual([entry.version for entry in history], list(range(changes, 0, -1)))
        self.assertTrue(all(entry.follows == entry.version - 1 for entry in history))
        self.assertGreater(stored.archived, 2)
        largest = max(len(found.body) for found in self.platform.objects.values())
        self.assertLess(largest, MAX_VALUE_BYTES)
