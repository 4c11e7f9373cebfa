"""Measures the store load of orders: writes, reads and bytes per order.

Run ``python -m auburncart.bench.claims VMS ORDERS_PER_SECOND SECONDS [owned]``. It runs on virtual
time and prints one line of JSON. A store call takes 5 ms; no upstream takes part.
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

STORE_CALL_SECONDS = 0.005
UPSTREAM_SECONDS = 0.03
DEADLINE_SECONDS = 5.0
SEED = 1
DATA_CENTRES = 3


class _Tier:
    """VMs that claim and finish orders in one store."""

    def __init__(self, vms: int, owned: bool) -> None:
        self.platform = PlatformModel()
        self.platform.set_delay(STORE_CALL_SECONDS)
        self.rng = random.Random(SEED)
        self.stored_claims: list[StoredClaims] = []
        self.claim_seconds: list[float] = []
        self.total_seconds: list[float] = []
        self.refused = 0
        members = tuple(
            Member(f"10.0.0.{number}:1", f"dc{number % DATA_CENTRES}", 1) for number in range(vms)
        )
        network = FakeNetwork(latency_seconds=0.004)
        self.holders = [self._make_holder(member, members, network, owned) for member in members]

    def _make_holder(
        self, own: Member, members: tuple[Member, ...], network: FakeNetwork, owned: bool
    ) -> ClaimHolder:
        stored = StoredClaims(FakeStore(self.platform), random.Random(own.address))
        self.stored_claims.append(stored)
        claims: Claims = stored
        if owned:
            data_centres = tuple(f"dc{number}" for number in range(DATA_CENTRES))
            bus = FakeBus(own, network)
            claims = OwnedClaims(stored, FakeMembership(own, members), bus, lambda: data_centres)
        return ClaimHolder(own.address, claims, NullObserver(), random.Random(own.address))

    async def order(self, number: int) -> None:
        """Claim an order, wait for the time of a request to an upstream, and finish the order."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        key = make_key(start, self.rng.getrandbits(80))
        deadline = start + DEADLINE_SECONDS
        request = OrderRequest(f"r{number}", key, "c", "k", "s", "order", deadline)
        holder = self.rng.choice(self.holders)
        claim = holder.make_claim(request)
        if not await self.try_claim(holder, claim, deadline):
            self.refused += 1
            return
        self.claim_seconds.append(loop.time() - start)
        await asyncio.sleep(UPSTREAM_SECONDS)
        await holder.finish(claim, ClaimState.DONE, {"number": number}, deadline)
        self.total_seconds.append(loop.time() - start - UPSTREAM_SECONDS)

    async def try_claim(self, holder: ClaimHolder, claim: Claim, deadline: float) -> bool:
        """Claim an order and return whether the claim was granted."""
        try:
            return (await holder.claim(claim, deadline)).verdict is Verdict.HELD
        except StoreUnavailableError:
            return False

    async def run(self, rate: float, seconds: float) -> int:
        """Start orders at a rate, wait for all of them and return their number."""
        tasks = []
        for number in range(int(rate * seconds)):
            tasks.append(asyncio.create_task(self.order(number)))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)
        for claims in self.stored_claims:
            await claims.close()
        return len(tasks)


async def measure(vms: int, rate: float, seconds: float, owned: bool) -> dict[str, object]:
    """Return the figures of one run."""
    tier = _Tier(vms, owned)
    cpu_seconds = time.process_time()
    orders = await tier.run(rate, seconds)
    cpu_seconds = time.process_time() - cpu_seconds
    claim_seconds, total_seconds = sorted(tier.claim_seconds), sorted(tier.total_seconds)
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
        "claim_ms_p50": round(1000 * claim_seconds[len(claim_seconds) // 2], 1),
        "claim_ms_p99": round(1000 * claim_seconds[len(claim_seconds) * 99 // 100], 1),
        "both_ms_p50": round(1000 * total_seconds[len(total_seconds) // 2], 1),
        "both_ms_p99": round(1000 * total_seconds[len(total_seconds) * 99 // 100], 1),
        "largest_value_bytes": max(sizes),
        "objects": len(sizes),
        "cpu_ms_per_order": round(1000 * cpu_seconds / orders, 2),
    }


def _main() -> None:
    vms, rate, seconds = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        figures = runner.run(measure(vms, rate, seconds, "owned" in sys.argv[4:]))
    sys.stdout.write(json.dumps(figures) + "\n")


if __name__ == "__main__":
    _main()
