"""Stand-in for an upstream: shards, snapshots, slots and injected failures."""

import asyncio
import random
from collections.abc import Mapping
from typing import NamedTuple

from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.search import Hit, ShardAnswer, SubQuery
from auburncart.state.upstream import (
    Batch,
    BatchReply,
    OrderReply,
    UpstreamCondition,
    UpstreamOrder,
)

__all__ = ["UpstreamCrashError", "UpstreamModel", "UpstreamProfile"]


class UpstreamCrashError(Exception):
    """The upstream is down, or crashed during this request."""


class UpstreamProfile(NamedTuple):
    """Capacity and speed of an upstream.

    :param address: ``"IP:port"``.
    :param snapshot: snapshot that it serves initially.
    :param shards: hits by shard.
    :param slots: maximum number of requests executed at the same time.
    :param max_connections: maximum number of connections; further ones are refused.
    :param request_seconds: mean time of a request without its sub-queries.
    :param sub_query_seconds: mean time of each sub-query.
    :param log_std_dev: standard deviation of the logarithm of a request's time.
    """

    address: str
    snapshot: str
    shards: Mapping[str, tuple[Hit, ...]]
    slots: int = 2
    max_connections: int = 25
    request_seconds: float = 0.002
    sub_query_seconds: float = 0.001
    log_std_dev: float = 0.5


class UpstreamModel:
    """Answers requests as an upstream does, with injected failures.

    ``effects`` lists all orders that it has carried out.

    :param profile: capacity and speed.
    :param seed: seed of the random request times.
    """

    def __init__(self, profile: UpstreamProfile, seed: int = 0) -> None:
        self._profile = profile
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(profile.slots)
        self._snapshots = {profile.snapshot}
        self._cancellations: dict[str, asyncio.Future[None]] = {}
        self._alive = True
        self._condition = UpstreamCondition.READY
        self._reported_condition: UpstreamCondition | None = None
        self._slowdown = 1.0
        self._crash_text = ""
        self.shards = dict(profile.shards)
        self.open_connections = 0
        self.peak_connections = 0
        self.refused_connections = 0
        self.requests = 0
        self.sub_queries = 0
        self.crashes = 0
        self.start_count = 1
        self.effects: list[UpstreamOrder] = []

    @property
    def profile(self) -> UpstreamProfile:
        """Capacity and speed."""
        return self._profile

    @property
    def alive(self) -> bool:
        """Whether it accepts connections and requests."""
        return self._alive

    @property
    def _reported(self) -> UpstreamCondition:
        return self._reported_condition or self._condition

    def set_condition(self, condition: UpstreamCondition) -> None:
        """Set its condition: ready, cold, draining or shedding."""
        self._condition = condition

    def set_reported_condition(self, condition: UpstreamCondition | None) -> None:
        """Report this condition whatever the actual one is; None to report the actual one."""
        self._reported_condition = condition

    def set_slowdown(self, factor: float) -> None:
        """Make each request take this many times as long."""
        self._slowdown = factor

    def set_crash_text(self, text: str) -> None:
        """Crash on every query that contains this text; ``""`` for none."""
        self._crash_text = text

    def set_snapshots(self, *snapshots: str) -> None:
        """Serve these snapshots and no others."""
        self._snapshots = set(snapshots)

    def kill(self) -> None:
        """Crash, along with all requests in flight."""
        self._alive = False
        for cancelled in self._cancellations.values():
            _set_cancelled(cancelled)

    def restart(self) -> None:
        """Start again, without connections."""
        self._alive = True
        self._slots = asyncio.Semaphore(self._profile.slots)
        self.open_connections = 0
        self.start_count += 1

    def connect(self) -> None:
        """Accept a connection.

        :raises UpstreamCrashError: it is down or has too many connections.
        """
        if not self.alive:
            raise UpstreamCrashError("upstream is down")
        if self.open_connections >= self._profile.max_connections:
            self.refused_connections += 1
            raise UpstreamCrashError("too many connections")
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)

    def disconnect(self) -> None:
        """Close a connection."""
        self.open_connections = max(0, self.open_connections - 1)

    def cancel(self, request_id: str) -> None:
        """Cancel a request."""
        cancelled = self._cancellations.get(request_id)
        if cancelled is not None:
            _set_cancelled(cancelled)

    async def search(self, batch: Batch) -> BatchReply:
        """Answer a batch.

        :raises UpstreamCrashError: it is down, or crashed before it could answer.
        """
        self._check_alive()
        self.requests += 1
        self.sub_queries += len(batch.sub_queries)
        if self._condition is UpstreamCondition.SHEDDING:
            return self._all_failed(batch, FailureCode.SHED, "shedding load")
        cancelled: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._cancellations[batch.request_id] = cancelled
        try:
            finished = await self._run_batch(batch, cancelled)
        finally:
            del self._cancellations[batch.request_id]
        if not finished:
            return self._all_failed(batch, FailureCode.CANCELLED, "cancelled")
        return self._answer(batch)

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Carry out an order, again each time it is sent: orders are not idempotent here.

        :raises UpstreamCrashError: it is down, or crashed before it could answer.
        """
        self._check_alive()
        async with self._slots:
            await self._spend_time(1, asyncio.get_running_loop().create_future())
            self._check_alive()
            self.effects.append(order)
        return OrderReply(True, {"number": len(self.effects)}, self._condition)

    async def _run_batch(self, batch: Batch, cancelled: asyncio.Future[None]) -> bool:
        async with self._slots:
            self._check_alive()
            self._crash_on_matching_query(batch)
            finished = await self._spend_time(len(batch.sub_queries), cancelled)
        self._check_alive()
        return finished

    async def _spend_time(self, sub_query_count: int, cancelled: asyncio.Future[None]) -> bool:
        mean = self._profile.request_seconds + sub_query_count * self._profile.sub_query_seconds
        seconds = (
            mean * self._slowdown * self._random.lognormvariate(0.0, self._profile.log_std_dev)
        )
        await asyncio.wait((cancelled,), timeout=seconds)
        return not cancelled.done()

    def _crash_on_matching_query(self, batch: Batch) -> None:
        if self._crash_text and any(
            self._crash_text in sub_query.query for sub_query in batch.sub_queries
        ):
            self.crashes += 1
            self.kill()
            raise UpstreamCrashError("query crashed the upstream")

    def _check_alive(self) -> None:
        if not self.alive:
            raise UpstreamCrashError("upstream is down")

    def _answer(self, batch: Batch) -> BatchReply:
        reply = BatchReply({}, {}, self._reported)
        for sub_query in batch.sub_queries:
            failure = self._failure(sub_query)
            if failure is None:
                hits = self.shards[sub_query.shard]
                reply.answers[sub_query.sub_query_id] = ShardAnswer(
                    sub_query.sub_query_id, sub_query.shard, sub_query.snapshot, hits
                )
            else:
                reply.failures[sub_query.sub_query_id] = failure
        return reply

    def _failure(self, sub_query: SubQuery) -> Failure | None:
        if sub_query.snapshot not in self._snapshots:
            reason = f"snapshot {sub_query.snapshot!r} is retired"
            return Failure(Step.REPLY, self._profile.address, reason, FailureCode.RETIRED)
        if sub_query.shard not in self.shards:
            reason = f"this upstream does not hold shard {sub_query.shard!r}"
            return Failure(Step.REPLY, self._profile.address, reason, FailureCode.MOVED)
        return None

    def _all_failed(self, batch: Batch, code: FailureCode, reason: str) -> BatchReply:
        failure = Failure(Step.REPLY, self._profile.address, reason, code)
        return BatchReply(
            {}, {sub_query.sub_query_id: failure for sub_query in batch.sub_queries}, self._reported
        )


def _set_cancelled(cancelled: asyncio.Future[None]) -> None:
    if not cancelled.done():
        cancelled.set_result(None)
