"""Measures what orders cost the platform's store: writes, reads and bytes for each order.

Run ``python -m auburncart.bench.claims VMS ORDERS_PER_SECOND SECONDS [owned]``; virtual time, one
line of JSON. A call of the store takes 5 ms; the upstream is left out.
"""

import asyncio
import json
import random
import sys
import time

import async_solipsism

from auburncart.coordination.claims import Claims, StoredClaims
from auburncart.coordination.holder import ClaimHolder
from auburncart.coordination.idempotency import make_key
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.owner import OwnedClaims
from auburncart.exception import StoreUnavailableError
from auburncart.standins.fakes import FakeBus, FakeMembership, FakeNetwork, FakeStore
from auburncart.standins.platform import PlatformModel
from auburncart.state.member import Member
from auburncart.state.order import Claim, ClaimState, OrderRequest, Verdict

__all__ = ["measure"]

STORE_SECONDS = 0.005
SEND_SECONDS = 0.03
DEADLINE_SECONDS = 5.0
SEED = 1
CENTRES = 3


class _Tier:
    """Some VMs that claim and finish orders over one platform."""

    def __init__(self, vms: int, owned: bool) -> None:
        self.platform = PlatformModel()
        self.platform.set_delay(STORE_SECONDS)
        self.rng = random.Random(SEED)
        self.stored: list[StoredClaims] = []
        self.waits: list[float] = []
        self.ends: list[float] = []
        self.refused = 0
        members = tuple(
            Member(f"10.0.0.{number}:1", f"dc{number % CENTRES}", 1) for number in range(vms)
        )
        network = FakeNetwork(seconds=0.004)
        self.holders = [self._holder(member, members, network, owned) for member in members]

    def _holder(
        self, own: Member, members: tuple[Member, ...], network: FakeNetwork, owned: bool
    ) -> ClaimHolder:
        direct = StoredClaims(FakeStore(self.platform), random.Random(own.address))
        self.stored.append(direct)
        claims: Claims = direct
        if owned:
            centres = tuple(f"dc{number}" for number in range(CENTRES))
            bus = FakeBus(own, network)
            claims = OwnedClaims(direct, FakeMembership(own, members), bus, lambda: centres)
        return ClaimHolder(own.address, claims, NullObserver(), random.Random(own.address))

    async def order(self, number: int) -> None:
        """Claim an order, wait as if it were sent, and finish it."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        key = make_key(began, self.rng.getrandbits(80))
        deadline = began + DEADLINE_SECONDS
        request = OrderRequest(f"r{number}", key, "c", "k", "s", "order", deadline)
        holder = self.rng.choice(self.holders)
        claim = holder.make_claim(request)
        if not await self.claimed(holder, claim, deadline):
            self.refused += 1
            return
        self.waits.append(loop.time() - began)
        await asyncio.sleep(SEND_SECONDS)
        await holder.finish(claim, ClaimState.DONE, {"number": number}, deadline)
        self.ends.append(loop.time() - began - SEND_SECONDS)

    async def claimed(self, holder: ClaimHolder, claim: Claim, deadline: float) -> bool:
        """Claim an order and return whether it may be sent."""
        try:
            return (await holder.claim(claim, deadline)).verdict is Verdict.HELD
        except StoreUnavailableError:
            return False

    async def run(self, rate: float, seconds: float) -> int:
        """Begin orders at a rate, and wait for all of them."""
        tasks = []
        for number in range(int(rate * seconds)):
            tasks.append(asyncio.create_task(self.order(number)))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)
        for claims in self.stored:
            await claims.close()
        return len(tasks)


async def measure(vms: int, rate: float, seconds: float, owned: bool) -> dict[str, object]:
    """Return the figures of one run."""
    tier = _Tier(vms, owned)
    cpu = time.process_time()
    orders = await tier.run(rate, seconds)
    cpu = time.process_time() - cpu
    waits, ends = sorted(tier.waits), sorted(tier.ends)
    sizes = [len(stored.body) for stored in tier.platform.objects.values()]
    return {
        "vms": vms,
        "rate": rate,
        "owned": owned,
        "orders": orders,
        "refused": tier.refused,
        "writes_per_order": round(tier.platform.writes / orders, 3),
        "reads_per_order": round(tier.platform.reads / orders, 3),
        "writes_per_second": round(tier.platform.writes / seconds, 1),
        "claim_ms_p50": round(1000 * waits[len(waits) // 2], 1),
        "claim_ms_p99": round(1000 * waits[len(waits) * 99 // 100], 1),
        "both_ms_p50": round(1000 * ends[len(ends) // 2], 1),
        "both_ms_p99": round(1000 * ends[len(ends) * 99 // 100], 1),
        "largest_value_bytes": max(sizes),
        "objects": len(sizes),
        "cpu_ms_per_order": round(1000 * cpu / orders, 2),
    }


def _main() -> None:
    vms, rate, seconds = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        figures = runner.run(measure(vms, rate, seconds, "owned" in sys.argv[4:]))
    sys.stdout.write(json.dumps(figures) + "\n")


if __name__ == "__main__":
    _main()
