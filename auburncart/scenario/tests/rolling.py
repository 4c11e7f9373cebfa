"""Counts the requests that fail while entry VM processes are replaced one by one under load.

Run ``python -m auburncart.scenario.tests.rolling LAG_SECONDS``; it takes about 20 s and prints one
line of JSON. A load balancer in this process polls ``/v1/ready`` and applies the result after a
delay.
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
REQUEST_INTERVAL_SECONDS = 0.01
POLL_SECONDS = 0.2
BALANCER_DELAY_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 10.0
SEARCH = {"customer": "ladera", "kind": "closure", "query": "net", "deadline_ms": 3000}


class RollingReplacement(ProcessEnvironment):
    """Replaces VMs while workers send searches to the VMs that a delayed balancer lists."""

    def __init__(self, balancer_lag: float) -> None:
        super().__init__(balancer_lag, peers=True)
        self.balancer_targets = ["vm1", "vm2", "vm3"]
        self.running_vms = list(self.balancer_targets)
        self.reply_counts: collections.Counter[str] = collections.Counter()
        self.exit_codes: list[int] = []

    async def run_balancer(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            ready_vms = [
                name for name in self.running_vms if await asyncio.to_thread(self.is_ready, name)
            ]
            loop.call_later(
                BALANCER_DELAY_SECONDS, self.balancer_targets.__setitem__, slice(None), ready_vms
            )
            await asyncio.sleep(POLL_SECONDS)

    async def run_worker(self, number: int) -> None:
        for request_number in range(10**6):
            name = self.balancer_targets[(request_number + number) % len(self.balancer_targets)]
            self.reply_counts[await asyncio.to_thread(self.search_once, name)] += 1
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    def is_ready(self, name: str) -> bool:
        return self.request_status(name, "GET", "/v1/ready", None) == "200"

    def search_once(self, name: str) -> str:
        return self.request_status(name, "POST", "/v1/search", SEARCH)

    def request_status(self, name: str, method: str, path: str, body: dict | None) -> str:
        url = f"http://{self._addresses[name]}{path}"
        try:
            return str(
                self._http.request(method, url, json=body, timeout=REQUEST_TIMEOUT_SECONDS).status
            )
        except HTTPError as error:
            return f"cut: {type(error).__name__}"

    async def replace(self, old: str, new: str) -> None:
        self._start_vm(new, "dc1", len(self.running_vms) + 1)
        await self._wait_until_ready(new)
        self.running_vms.append(new)
        await asyncio.sleep(2 * BALANCER_DELAY_SECONDS)
        process = self._processes[old]
        process.terminate()
        self.exit_codes.append(await asyncio.to_thread(process.wait, 60.0))
        self.running_vms.remove(old)


async def measure(balancer_lag: float) -> dict[str, object]:
    environment = RollingReplacement(balancer_lag)
    try:
        await environment.act(next(iter(parse(SITE))))
        balancer = asyncio.create_task(environment.run_balancer())
        workers = [asyncio.create_task(environment.run_worker(number)) for number in range(WORKERS)]
        for number in (1, 2, 3):
            await environment.replace(f"vm{number}", f"vm{number + 3}")
        await asyncio.sleep(BALANCER_DELAY_SECONDS)
        for task in (balancer, *workers):
            task.cancel()
        await asyncio.gather(balancer, *workers, return_exceptions=True)
    finally:
        await environment.close()
    return {
        "lag_seconds": balancer_lag,
        "answers": dict(environment.reply_counts),
        "exit_codes": environment.exit_codes,
    }


if __name__ == "__main__":
    sys.stdout.write(json.dumps(asyncio.run(measure(float(sys.argv[1])))) + "\n")
