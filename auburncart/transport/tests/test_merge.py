import asyncio
import contextlib
import time
import unittest
from collections.abc import AsyncIterator

from auburncart.coordination.forwarding.tests.gateway_fixture import ListJournal
from auburncart.daemon.tests.soak.tcp_proxy import AddressPool, TcpProxy
from auburncart.exception import LinkError, LinkTimeoutError, ProtocolError
from auburncart.protocol.merge import decode_answer, decode_question
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import DependencyLost, DependencyRegained
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.forward import PartialAnswer
from auburncart.state.merge import Declined, MergeAnswer, MergeQuestion
from auburncart.transport.merge import MergeListener, WebSocketMergeLink

SECONDS = 5.0
LATE_SECONDS = 0.2  # after which the answers to a question "late" are sent
BUSY_SECONDS = 0.15  # longer than the time within which a question must be accepted
SHARDS = ("a", "b", "c", "d")
LOST = Failure(Step.REPLY, "10.0.0.9:1", "lost", FailureCode.LOST, True)
FIRST = PartialAnswer(("a", "b"), b"x" * 32, (b"one", b"two"), {"c": LOST})
SECOND = PartialAnswer(("d",), b"y" * 16, (b"four",), {})
ANSWERS: dict[str, tuple[MergeAnswer, ...]] = {
    "0": (FIRST, SECOND),
    "1": (Declined("version 3 is in force here, not 4"),),
    "2": (PartialAnswer((), b"", (), dict.fromkeys(SHARDS, LOST)),),
}


def question(name: str) -> MergeQuestion:
    fields = ((b"A", b"\xff"),)
    return MergeQuestion(
        SHARDS, 1, 2, 5, 0.05, name, "GET", "h", b"/a?b", fields, b"", "1.2.3.4:5", 0.1, 1.0, 2.0
    )


class Server:
    """Answers by request id; unknown ones wait until cancelled."""

    def __init__(self) -> None:
        self.working = 0
        self.decline_reason = ""

    async def answer(
        self, asked: MergeQuestion, asker: str, received_at: float
    ) -> AsyncIterator[MergeAnswer]:
        if asked.request_id == "late":
            await asyncio.sleep(LATE_SECONDS)
            for answer in ANSWERS["0"]:
                yield answer
            return
        for answer in ANSWERS.get(asked.request_id, ()):
            yield answer
        if asked.request_id in ANSWERS:
            return
        self.working += 1
        try:
            await asyncio.Event().wait()
        finally:
            self.working -= 1


class MergeSocketTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        addresses = AddressPool()
        self.server = Server()
        self.listener = MergeListener(addresses.next_address(), self.server)  # type: ignore[arg-type]
        await self.listener.start()
        self.proxy = TcpProxy(addresses.next_address(), self.listener._address)
        await self.proxy.start()
        self.journal = ListJournal()
        vm = EntryVm("vm", "dc", "", self.proxy.address)
        self.link = WebSocketMergeLink(vm, self.journal)
        await self.until_usable()

    async def asyncTearDown(self) -> None:
        self.link.close()
        self.proxy.stop()
        await self.listener.stop()

    async def until_usable(self) -> None:
        async with asyncio.timeout(SECONDS):
            while not self.link.usable:
                await asyncio.sleep(0.01)

    async def ask(
        self, name: str, ping_after: float = 1.0, *, may_give_up: bool = True
    ) -> tuple[MergeAnswer, ...]:
        asked = self.link.ask(question(name), ping_after, lambda: may_give_up)
        async with contextlib.aclosing(asked) as answers:
            return tuple([answer async for answer in answers])

    async def until_working(self, count: int) -> None:
        async with asyncio.timeout(SECONDS):
            while self.server.working != count:
                await asyncio.sleep(0.01)

    async def test_every_kind_of_answer_arrives(self) -> None:
        asked = [self.ask(name) for name in ANSWERS]
        self.assertEqual(await asyncio.gather(*asked), list(ANSWERS.values()))
        self.assertEqual(self.link.outstanding, 0)

    async def test_a_cancelled_search_ends_and_the_link_stays_open(self) -> None:
        task = asyncio.create_task(self.ask("long"))
        await self.until_working(1)
        task.cancel()
        await self.until_working(0)
        self.assertEqual(await self.ask("2"), ANSWERS["2"])

    async def test_a_slow_search_at_a_responsive_vm_is_waited_for(self) -> None:
        task = asyncio.create_task(self.ask("long", 0.05))
        await asyncio.sleep(0.5)
        self.assertFalse(task.done())
        self.assertTrue(self.link.usable)
        task.cancel()

    async def test_an_unresponsive_vm_is_disconnected(self) -> None:
        self.proxy.block("forward", "backward")
        loop = asyncio.get_running_loop()
        began = loop.time()
        with self.assertRaises(LinkTimeoutError):
            await self.ask("0", 0.1)
        self.assertLess(loop.time() - began, 0.5)
        with self.assertRaises(LinkError) as caught:
            await self.ask("0", 0.1)
        self.assertEqual(caught.exception.step, "connect")
        self.proxy.heal()
        await self.until_usable()
        self.assertEqual(await self.ask("0"), ANSWERS["0"])
        kinds = [type(event) for event in self.journal.events]
        self.assertEqual(kinds, [DependencyLost, DependencyRegained])

    async def test_a_vm_that_was_silent_for_a_while_keeps_its_link_and_its_question(self) -> None:
        self.proxy.block("forward", "backward")
        task = asyncio.create_task(self.ask("0", may_give_up=False))
        await asyncio.sleep(0.2)
        self.assertFalse(self.link.usable)
        self.proxy.heal()
        self.assertEqual(await task, ANSWERS["0"])
        await self.until_usable()

    async def test_a_vm_that_reads_an_acceptance_late_does_not_give_up_the_question(self) -> None:
        task = asyncio.create_task(self.ask("0"))
        await asyncio.sleep(0.0)
        time.sleep(BUSY_SECONDS)  # noqa: ASYNC251
        self.assertEqual(await task, ANSWERS["0"])
        self.assertEqual(self.journal.events, [])

    async def test_a_vm_that_is_silent_during_a_question_is_waited_for(self) -> None:
        """Without retry budget its work must not be given up."""
        for may_give_up in (False, True):
            with self.subTest(may_give_up=may_give_up):
                await self.until_usable()
                task = asyncio.create_task(self.ask("late", 0.05, may_give_up=may_give_up))
                await asyncio.sleep(0.04)
                self.proxy.block("forward", "backward")
                await asyncio.sleep(0.4)
                self.assertEqual(task.done(), may_give_up)
                self.proxy.heal()
                if may_give_up:
                    self.assertRaises(LinkTimeoutError, task.result)
                else:
                    self.assertEqual(await task, ANSWERS["0"])

    async def test_a_vm_of_an_earlier_version_is_asked_without_acceptance(self) -> None:
        self.link.close()
        self.listener._subprotocols = ()
        self.link = WebSocketMergeLink(EntryVm("vm", "dc", "", self.proxy.address), self.journal)
        await self.until_usable()
        self.assertEqual(await self.ask("0"), ANSWERS["0"])

    async def until_declining(self, *, declining: bool) -> None:
        async with asyncio.timeout(SECONDS):
            while self.link.declining != declining:
                await asyncio.sleep(0.01)

    async def test_a_vm_tells_the_others_when_it_declines_questions(self) -> None:
        task = asyncio.create_task(self.ask("long"))
        await self.until_working(1)
        self.server.decline_reason = "leaving"
        self.listener.announce()
        await self.until_declining(declining=True)
        self.assertFalse(task.done())
        task.cancel()
        self.server.decline_reason = ""
        self.listener.announce()
        await self.until_declining(declining=False)
        self.assertEqual(await self.ask("0"), ANSWERS["0"])

    async def test_a_vm_that_declines_questions_says_so_on_a_new_link(self) -> None:
        self.server.decline_reason = "not ready"
        self.listener.announce()
        self.link.close()
        self.link = WebSocketMergeLink(EntryVm("vm", "dc", "", self.proxy.address), self.journal)
        await self.until_declining(declining=True)

    async def test_searches_fail_when_their_link_closes(self) -> None:
        task = asyncio.create_task(self.ask("long"))
        await self.until_working(1)
        self.proxy.reset()
        with self.assertRaises(LinkError):
            await task
        await self.until_working(0)


class MergeMessageTest(unittest.TestCase):
    def test_malformed_messages_are_refused(self) -> None:
        for data in (
            b"",
            b"\xff",
            b"\x80",
            b"\x82\x01\x61a",
            b"\x83\x01\x61x\x80",
            b"\x82\x61a\xf6",
        ):
            with self.subTest(data):
                self.assertRaises(ProtocolError, decode_question, data)
                self.assertRaises(ProtocolError, decode_answer, data)
