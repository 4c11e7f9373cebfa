import asyncio
import unittest

from auburncart.coordination.forwarding.choice import ShortestWait
from auburncart.coordination.forwarding.replica import ReplicaConnectionPool
from auburncart.coordination.forwarding.replica_pace import PaceShares
from auburncart.coordination.forwarding.request_limit import RequestShare
from auburncart.coordination.forwarding.tests.gateway_fixture import registration
from auburncart.standins.replicas import FakeReplicaDialer
from auburncart.state.registration import Registration
from auburncart.tests.virtual import virtual_time

COLD_SECONDS = 0.09  # a replica of this data centre just after its start
REMOTE_SECONDS = 0.056  # one of another region, with 40 ms on the way


class NoLimits(PaceShares):
    """Replicas without limits."""

    def share(self, replica: Registration, limit: float) -> RequestShare:
        raise NotImplementedError

    def record_limit(self, replica: Registration, before: float, limit: float) -> None:
        raise NotImplementedError

    def record_pause(self, replica: Registration, seconds: float) -> None:
        raise NotImplementedError


def pool(number: int, distance: int) -> ReplicaConnectionPool:
    return ReplicaConnectionPool(
        registration("s", number),
        distance,
        FakeReplicaDialer(),
        lambda: 4,
        NoLimits(),
        lambda pool: None,
    )


class ShortestWaitTest(unittest.TestCase):
    @virtual_time
    async def test_a_replica_that_was_slow_is_tried_again_after_some_time(self) -> None:
        """All shards start cold after a repartition; their nearest replicas must come back."""
        local, remote = pool(1, 0), pool(2, 2)
        local.record_latency(COLD_SECONDS)
        picked = []
        for _ in range(10):
            picked.append(ShortestWait().pick([local, remote], []))
            remote.record_latency(REMOTE_SECONDS)
            await asyncio.sleep(1.0)
        self.assertIs(picked[0], remote)
        self.assertIs(picked[-1], local)

    @virtual_time
    async def test_a_slow_replica_is_avoided_while_an_equal_one_is_faster(self) -> None:
        slow, fast = pool(1, 0), pool(2, 0)
        slow.record_latency(COLD_SECONDS)
        fast.record_latency(COLD_SECONDS / 4)
        for _ in range(3):
            self.assertIs(ShortestWait().pick([slow, fast], []), fast)
            fast.record_latency(COLD_SECONDS / 4)
            await asyncio.sleep(1.0)
