"""Checks orders on processes while entry VMs are killed and frozen and the store fails.

Run ``python -m auburncart.scenario.tests.storm SECONDS SEED``; it prints one line of JSON and exits
with 1 if an order took effect twice or an answer was wrong about its effect.
"""

import asyncio
import collections
import json
import random
import secrets
import signal
import sys
import time

from urllib3.exceptions import HTTPError

from auburncart.coordination.idempotency import make_key
from auburncart.scenario.language import parse
from auburncart.scenario.tests.real import ProcessEnvironment

SITE = "site shards=2 replicas=2 vms=3"
VMS = ("vm1", "vm2", "vm3")
WORKERS = 6
MAX_ATTEMPTS = 6
DEADLINE_MS = 1500
REQUEST_TIMEOUT_SECONDS = 4.0
FAULT_SECONDS = 1.0


class OrderFaultEnvironment(ProcessEnvironment):
    """Sends orders, repeats those not reported as run, and injects faults."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(peers=True)
        self.rng = rng
        self.reported: dict[str, list[str]] = {}
        self.fault_counts: collections.Counter[str] = collections.Counter()

    async def send_orders(self, end_time: float) -> None:
        while time.monotonic() < end_time:
            key = make_key(time.time(), secrets.randbits(80))
            self.reported[key] = []
            for attempt in range(MAX_ATTEMPTS):
                result = await asyncio.to_thread(
                    self.send_order, self.rng.choice(VMS), key, attempt
                )
                self.reported[key].append(result)
                if result == "yes" or (result == "no" and self.rng.random() < 0.5):
                    break
                await asyncio.sleep(0.1)

    def send_order(self, vm: str, key: str, attempt: int) -> str:
        body = {
            "customer": "ladera",
            "kind": "closure",
            "shard": "shard-01",
            "key": key,
            "order": "mend the net",
            "deadline_ms": DEADLINE_MS,
            "repeat": attempt > 0,
        }
        url = f"http://{self._addresses[vm]}/v1/order"
        try:
            reply = self._http.request("POST", url, json=body, timeout=REQUEST_TIMEOUT_SECONDS)
            return str(reply.json()["ran"])
        except (HTTPError, ValueError, KeyError):
            return "none"

    async def inject_faults(self, end_time: float) -> None:
        faults = {
            "kill": self.kill_one,
            "stop": self.freeze_one,
            "outage": self.short_outage,
            "lose": self.lose_replies,
        }
        while time.monotonic() < end_time:
            name = self.rng.choice(sorted(faults))
            self.fault_counts[name] += 1
            await faults[name]()
            await asyncio.sleep(FAULT_SECONDS / 2)

    async def kill_one(self) -> None:
        name = self.rng.choice(VMS)
        process = self._processes[name]
        process.kill()
        await asyncio.to_thread(process.wait, 10.0)
        self._spawn(name, self._arguments[name])
        await self._wait_until_listening(name)

    async def freeze_one(self) -> None:
        process = self._processes[self.rng.choice(VMS)]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(2 * FAULT_SECONDS)
        process.send_signal(signal.SIGCONT)

    async def short_outage(self) -> None:
        await self._control("platform", "outage", True)
        await asyncio.sleep(FAULT_SECONDS)
        await self._control("platform", "outage", False)

    async def lose_replies(self) -> None:
        for _ in range(5):
            await self._control("platform", "fail_write", "lost_reply")

    async def effects_by_key(self) -> collections.Counter[str]:
        counts: collections.Counter[str] = collections.Counter()
        for name in self._processes:
            if name.startswith("shard-"):
                counts.update((await self._control(name, "effects"))["effects"])
        return counts


def count_violations(
    reported: dict[str, list[str]], effects: collections.Counter[str]
) -> dict[str, int]:
    """Count the orders whose effects or answers break a guarantee."""
    return {
        "twice": sum(count > 1 for count in effects.values()),
        "yes_without_effect": sum(
            "yes" in results and not effects[key] for key, results in reported.items()
        ),
        "no_with_effect": sum(
            results[-1] == "no" and effects[key] > 0 for key, results in reported.items()
        ),
    }


async def measure(seconds: float, seed: int) -> dict[str, object]:
    environment = OrderFaultEnvironment(random.Random(seed))
    try:
        await environment.act(next(iter(parse(SITE))))
        end_time = time.monotonic() + seconds
        workers = (environment.send_orders(end_time) for _ in range(WORKERS))
        await asyncio.gather(environment.inject_faults(end_time), *workers)
        await asyncio.sleep(2 * REQUEST_TIMEOUT_SECONDS)
        effects = await environment.effects_by_key()
    finally:
        await environment.close()
    answers = collections.Counter(
        result for attempts in environment.reported.values() for result in attempts
    )
    last = collections.Counter(
        attempts[-1] for attempts in environment.reported.values() if attempts
    )
    return {
        "orders": len(environment.reported),
        "answers": dict(answers),
        "last_answers": dict(last),
        "effects": sum(effects.values()),
        "faults": dict(environment.fault_counts),
        "wrong": count_violations(environment.reported, effects),
    }


if __name__ == "__main__":
    figures = asyncio.run(measure(float(sys.argv[1]), int(sys.argv[2])))
    sys.stdout.write(json.dumps(figures) + "\n")
    sys.exit(any(figures["wrong"].values()))  # type: ignore[attr-defined]
