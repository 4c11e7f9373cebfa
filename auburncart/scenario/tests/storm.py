"""Measures orders on real processes while entry VMs are killed and stopped and the store fails.

Run ``python -m auburncart.scenario.tests.storm SECONDS SEED``; prints one line of JSON and exits
with 1 if an order took effect twice or an answer was untrue.
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
TRIES = 6
DEADLINE_MS = 1500
CALL_SECONDS = 4.0
FAULT_SECONDS = 1.0


class OrderFaultEnvironment(ProcessEnvironment):
    """Sends orders, repeats those whose outcome is not known, and makes things fail."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(peers=True)
        self.rng = rng
        self.said: dict[str, list[str]] = {}
        self.faults: collections.Counter[str] = collections.Counter()

    async def work(self, until: float) -> None:
        while time.monotonic() < until:
            key = make_key(time.time(), secrets.randbits(80))
            self.said[key] = []
            for number in range(TRIES):
                ran = await asyncio.to_thread(self.try_once, self.rng.choice(VMS), key, number)
                self.said[key].append(ran)
                if ran == "yes" or (ran == "no" and self.rng.random() < 0.5):
                    break
                await asyncio.sleep(0.1)

    def try_once(self, vm: str, key: str, number: int) -> str:
        body = {
            "customer": "ladera",
            "kind": "closure",
            "shard": "shard-01",
            "key": key,
            "order": "mend the net",
            "deadline_ms": DEADLINE_MS,
            "repeat": number > 0,
        }
        url = f"http://{self._addresses[vm]}/v1/order"
        try:
            reply = self._http.request("POST", url, json=body, timeout=CALL_SECONDS)
            return str(reply.json()["ran"])
        except (HTTPError, ValueError, KeyError):
            return "none"

    async def fail(self, until: float) -> None:
        faults = {
            "kill": self.kill_one,
            "stop": self.stop_one,
            "outage": self.short_outage,
            "lose": self.lose_replies,
        }
        while time.monotonic() < until:
            name = self.rng.choice(sorted(faults))
            self.faults[name] += 1
            await faults[name]()
            await asyncio.sleep(FAULT_SECONDS / 2)

    async def kill_one(self) -> None:
        name = self.rng.choice(VMS)
        process = self._processes[name]
        process.kill()
        await asyncio.to_thread(process.wait, 10.0)
        self._spawn(name, self._arguments[name])
        await self._wait_until_listening(name)

    async def stop_one(self) -> None:
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


def judge(said: dict[str, list[str]], effects: collections.Counter[str]) -> dict[str, int]:
    """Count what must not be."""
    return {
        "twice": sum(count > 1 for count in effects.values()),
        "yes_without_effect": sum("yes" in ran and not effects[key] for key, ran in said.items()),
        "no_with_effect": sum(ran[-1] == "no" and effects[key] > 0 for key, ran in said.items()),
    }


async def measure(seconds: float, seed: int) -> dict[str, object]:
    environment = OrderFaultEnvironment(random.Random(seed))
    try:
        await environment.act(next(iter(parse(SITE))))
        until = time.monotonic() + seconds
        workers = (environment.work(until) for _ in range(WORKERS))
        await asyncio.gather(environment.fail(until), *workers)
        await asyncio.sleep(2 * CALL_SECONDS)
        effects = await environment.effects_by_key()
    finally:
        await environment.close()
    answers = collections.Counter(ran for tries in environment.said.values() for ran in tries)
    last = collections.Counter(tries[-1] for tries in environment.said.values() if tries)
    return {
        "orders": len(environment.said),
        "answers": dict(answers),
        "last_answers": dict(last),
        "effects": sum(effects.values()),
        "faults": dict(environment.faults),
        "wrong": judge(environment.said, effects),
    }


if __name__ == "__main__":
    figures = asyncio.run(measure(float(sys.argv[1]), int(sys.argv[2])))
    sys.stdout.write(json.dumps(figures) + "\n")
    sys.exit(any(figures["wrong"].values()))  # type: ignore[attr-defined]
