"""A mailbox never wakes its task before the time that it waits for."""

import asyncio
import unittest

from auburncart.coordination.mailbox import Mailbox
from auburncart.tests.virtual import virtual_time


class MailboxTest(unittest.TestCase):
    @virtual_time
    async def test_empty_mailbox_wakes_its_task_no_earlier_than_asked(self) -> None:
        loop = asyncio.get_running_loop()
        for step in range(1, 200):
            until = loop.time() + step / 7_000
            self.assertEqual(await Mailbox().take(until), [])
            self.assertGreaterEqual(loop.time(), until)
