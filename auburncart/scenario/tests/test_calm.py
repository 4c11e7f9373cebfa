"""Callers are never refused while upstreams have free capacity, on separate processes."""

import asyncio
import collections
import unittest

from urllib3.exceptions import HTTPError

from auburncart.scenario.language import parse
from auburncart.scenario.tests.real import ProcessEnvironment

SITE = "site shards=10 replicas=2 vms=1"
SEARCH = {"customer": "ladera", "kind": "closure", "query": "net", "deadline_ms": 1000}
CALLER_COUNTS = (1, 2, 5, 20)
SEARCHES = 100  # for each number of callers


class CalmTest(unittest.IsolatedAsyncioTestCase):
    async def test_urgent_callers_are_served_while_upstreams_are_idle(self) -> None:
        environment = ProcessEnvironment()
        try:
            await environment.act(next(iter(parse(SITE))))
            for callers in CALLER_COUNTS:
                status_counts: collections.Counter[str] = collections.Counter()
                remaining = iter(range(SEARCHES))
                await asyncio.gather(
                    *(
                        asyncio.to_thread(self.send_searches, environment, remaining, status_counts)
                        for _ in range(callers)
                    )
                )
                self.assertEqual(dict(status_counts), {"200": SEARCHES}, f"{callers} callers")
        finally:
            await environment.close()

    def send_searches(
        self, environment: ProcessEnvironment, remaining, status_counts: collections.Counter[str]
    ) -> None:
        url = f"http://{environment._addresses['vm1']}/v1/search"
        for _ in remaining:
            try:
                reply = environment._http.request("POST", url, json=SEARCH, timeout=10.0)
                status_counts[str(reply.status)] += 1
            except HTTPError as error:
                status_counts[type(error).__name__] += 1
