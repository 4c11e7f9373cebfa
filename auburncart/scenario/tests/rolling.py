"""Measures requests cut off while real entry VMs are replaced one by one under load.

Run ``python -m auburncart.scenario.tests.rolling LAG_SECONDS``; it takes about 20 s and prints one
line of JSON. A small balancer in this process polls ``/v1/ready`` and learns of it late.
"""

import asyncio
import collections
import json
import sys

from urllib3.exceptions import HTTPError

from auburncart.scenario.language import parse
from auburncart.scenario.tests.real import ProcessEnvironment

SITE = "site shards=2 replicas=2 vms=3"
WORKERS = 8
PAUSE_SECONDS = 0.01
POLL_SECONDS = 0.2
BALANCER_SECONDS = 1.0
CALL_SECONDS = 10.0
SEARCH = {"customer": "ladera", "kind": "closure", "query": "net", "deadline_ms": 3000}


class RollingReplacement(ProcessEnvironment):
    """Replaces VMs while workers send searches through a lagging balancer."""

    def __init__(self, lag: float) -> None:
        super().__init__(lag, peers=True)
        self.view = ["vm1", "vm2", "vm3"]
        self.known = list(self.view)
        self.seen: collections.Counter[str] = collections.Counter()
        self.codes: list[int] = []

    async def balance(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            ready = [name for name in self.known if await asyncio.to_thread(self.ready, name)]
            loop.call_later(BALANCER_SECONDS, self.view.__setitem__, slice(None), ready)
            await asyncio.sleep(POLL_SECONDS)

    async def work(self, number: int) -> None:
        for turn in range(10**6):
            name = self.view[(turn + number) % len(self.view)]
            self.seen[await asyncio.to_thread(self.search_once, name)] += 1
            await asyncio.sleep(PAUSE_SECONDS)

    def ready(self, name: str) -> bool:
        return self.get(name, "GET", "/v1/ready", None) == "200"

    def search_once(self, name: str) -> str:
        return self.get(name, "POST", "/v1/search", SEARCH)

    def get(self, name: str, method: str, path: str, body: dict | None) -> str:
        url = f"http://{self._addresses[name]}{path}"
        try:
            return str(self._http.request(method, url, json=body, timeout=CALL_SECONDS).status)
        except HTTPError as error:
            return f"cut: {type(error).__name__}"

    async def replace(self, old: str, new: str) -> None:
        self._start_vm(new, "dc1", len(self.known) + 1)
        await self._wait_until_ready(new)
        self.known.append(new)
        await asyncio.sleep(2 * BALANCER_SECONDS)
        process = self._processes[old]
        process.terminate()
        self.codes.append(await asyncio.to_thread(process.wait, 60.0))
        self.known.remove(old)


async def measure(lag: float) -> dict[str, object]:
    environment = RollingReplacement(lag)
    try:
        await environment.act(next(iter(parse(SITE))))
        balancer = asyncio.create_task(environment.balance())
        workers = [asyncio.create_task(environment.work(number)) for number in range(WORKERS)]
        for number in (1, 2, 3):
            await environment.replace(f"vm{number}", f"vm{number + 3}")
        await asyncio.sleep(BALANCER_SECONDS)
        for task in (balancer, *workers):
            task.cancel()
        await asyncio.gather(balancer, *workers, return_exceptions=True)
    finally:
        await environment.close()
    return {"lag_seconds": lag, "answers": dict(environment.seen), "exit_codes": environment.codes}


if __name__ == "__main__":
    sys.stdout.write(json.dumps(asyncio.run(measure(float(sys.argv[1])))) + "\n")
