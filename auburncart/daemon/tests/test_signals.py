"""The daemon as a process: the effect of one and of two SIGTERMs on a request in flight."""

import asyncio
import re
import unittest
from collections.abc import Callable

from urllib3.exceptions import HTTPError

from auburncart.scenario.language import parse
from auburncart.scenario.tests.real import ProcessEnvironment

SLOW = {"customer": "ladera", "kind": "closure", "query": "net", "deadline_ms": 60_000}
QUICK = {**SLOW, "deadline_ms": 1500}
WAIT_SECONDS = 30.0
SENT = re.compile(r"^auburncart_sub_queries_total\S* [1-9]", re.MULTILINE)


class SignalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.world = ProcessEnvironment(balancer_lag=0.2)
        for command in parse("site shards=1 replicas=1 vms=2\nslow shard-00/0 1000000"):
            await self.world.act(command)

    async def asyncTearDown(self) -> None:
        await self.world.close()

    async def end(self, vm: str, body: dict, signals: int) -> tuple[int, int, dict]:
        """Send signals while a search is in flight; return exit code, status and reply."""
        search = asyncio.create_task(self.world._post(vm, "/v1/search", body))
        process = self.world._processes[vm]
        await self.until(vm, "/v1/metrics", lambda status, text: SENT.search(text))
        for _ in range(signals):
            process.terminate()
            await self.until(vm, "/v1/ready", lambda status, text: status != 200)
        code = await asyncio.to_thread(process.wait, WAIT_SECONDS)
        status, fields = await search
        return code, status, fields

    async def until(self, vm: str, path: str, holds: Callable[[int, str], object]) -> None:
        """Poll until a condition holds or the VM no longer answers."""
        url = f"http://{self.world._addresses[vm]}{path}"
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                try:
                    reply = await asyncio.to_thread(self.world._http.request, "GET", url)
                except HTTPError:
                    return
                if holds(reply.status, reply.data.decode()):
                    return
                await asyncio.sleep(0.05)

    async def test_one_signal_lets_the_search_end_and_a_second_one_does_not(self) -> None:
        (code, status, fields), (second_code, cut_status, reply) = await asyncio.gather(
            self.end("vm1", QUICK, 1), self.end("vm2", SLOW, 2)
        )
        self.assertEqual((code, status), (0, 200))
        self.assertEqual(fields["coverage"]["answered"], 0)
        self.assertEqual((second_code, cut_status, reply["ran"]), (4, 500, "unknown"))
