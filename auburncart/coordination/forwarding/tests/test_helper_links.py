"""Links to helpers: opened and closed as needed, never below a question in flight."""

import unittest
from collections.abc import AsyncIterator, Callable

from auburncart.coordination.forwarding.helper_links import HelperLinks, MergeLink
from auburncart.state.entryvm import EntryVm
from auburncart.state.merge import MergeAnswer, MergeQuestion
from auburncart.tests.virtual import virtual_time

FIRST, SECOND = (EntryVm(name, "dc1", "", f"10.0.0.1:{name}") for name in ("1", "2"))


class StubLink(MergeLink):
    def __init__(self, vm: EntryVm) -> None:
        self.questions = 0
        self.closed = False
        self.declines = False

    @property
    def usable(self) -> bool:
        return True

    @property
    def declining(self) -> bool:
        return self.declines

    @property
    def round_trip(self) -> float:
        return 0.0

    @property
    def outstanding(self) -> int:
        return self.questions

    def ask(
        self, question: MergeQuestion, ping_after: float, may_give_up: Callable[[], bool]
    ) -> AsyncIterator[MergeAnswer]:
        raise NotImplementedError

    def close(self) -> None:
        self.closed = True


class HelperLinksTest(unittest.TestCase):
    def build(self) -> tuple[HelperLinks, StubLink]:
        """Return links to two VMs, and the link to the second one."""
        links = HelperLinks(StubLink)
        links.keep({FIRST, SECOND})
        second = links.ready(SECOND)
        assert isinstance(second, StubLink)
        return links, second

    @virtual_time
    async def test_a_link_that_is_no_longer_needed_is_closed(self) -> None:
        links, second = self.build()
        links.keep({FIRST})
        self.assertTrue(second.closed)
        self.assertIsNone(links.ready(SECOND))

    @virtual_time
    async def test_a_question_in_flight_keeps_its_link_open(self) -> None:
        """The first owner of some shards is back while the second still works for it."""
        links, second = self.build()
        second.questions = 1
        links.keep({FIRST})
        self.assertFalse(second.closed)
        self.assertIsNone(links.ready(SECOND))
        second.questions = 0
        links.keep({FIRST})
        self.assertTrue(second.closed)

    @virtual_time
    async def test_a_vm_that_declines_is_avoided_at_once(self) -> None:
        links, second = self.build()
        second.declines = True
        self.assertIsNone(links.ready(SECOND))
        self.assertTrue(links.failing(SECOND))
        second.declines = False
        self.assertIs(links.ready(SECOND), second)
