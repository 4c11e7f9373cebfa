import asyncio
import unittest

from auburncart.coordination.status import status_key
from auburncart.coordination.tests.test_group import Tier
from auburncart.tests.virtual import virtual_time


class StatusTest(unittest.TestCase):
    @virtual_time
    async def test_status_shows_the_version_of_each_vm_and_which_do_not_answer(self) -> None:
        tier = Tier(6, 2)
        await tier.start()
        crashed = tier.vms.pop(0)
        await crashed.kill()
        await tier.change()
        await asyncio.sleep(20)
        status = (await tier.vms[0].store.read(status_key("dc0"))).value
        shown = {vm.member.address: vm for vm in status.vms}
        self.assertEqual(len(shown), 3)
        self.assertIsNone(shown.pop(crashed.address).versions)
        self.assertEqual({vm.versions.table for vm in shown.values()}, {2})
        self.assertEqual({vm.not_ready_reason for vm in shown.values()}, {""})
        writes = tier.platform.writes
        await asyncio.sleep(50)
        self.assertLessEqual(tier.platform.writes - writes, 2)
        await tier.stop()
