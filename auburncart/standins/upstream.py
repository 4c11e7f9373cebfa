"""Stand-in for an upstream: shards, snapshots, slots, and its failures."""

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

__all__ = ["UpstreamCrashError", "UpstreamModel", "UpstreamShape"]


class UpstreamCrashError(Exception):
    """The stand-in is down, or went down with this request."""


class UpstreamShape(NamedTuple):
    """Size and speed of an upstream.

    :param address: ``"IP:port"``.
    :param snapshot: snapshot that it serves at first.
    :param shards: hits by shard.
    :param slots: requests worked on at the same time.
    :param connections: most connections; one more is refused.
    :param request_seconds: mean time of a request without its sub-queries.
    :param sub_seconds: mean time of each sub-query.
    :param spread: standard deviation of the logarithm of a request's time.
    """

    address: str
    snapshot: str
    shards: Mapping[str, tuple[Hit, ...]]
    slots: int = 2
    connections: int = 25
    request_seconds: float = 0.002
    sub_seconds: float = 0.001
    spread: float = 0.5


class UpstreamModel:
    """Answers requests as an upstream does, with failures on command.

    :param shape: size and speed.
    :param seed: seed of its random times.
    """

    def __init__(self, shape: UpstreamShape, seed: int = 0) -> None:
        self._shape = shape
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(shape.slots)
        self._snapshots = {shape.snapshot}
        self._stops: dict[str, asyncio.Future[None]] = {}
        self._alive = True
        self._condition = UpstreamCondition.READY
        self._report: UpstreamCondition | None = None
        self._slow = 1.0
        self._crash_text = ""
        self.shards = dict(shape.shards)
        self.open_connections = 0
        self.peak_connections = 0
        self.refused_connections = 0
        self.requests = 0
        self.sub_queries = 0
        self.crashes = 0
        self.starts = 1
        self.effects: list[UpstreamOrder] = []

    @property
    def shape(self) -> UpstreamShape:
        """Size and speed."""
        return self._shape

    @property
    def alive(self) -> bool:
        """Whether it takes connections and requests."""
        return self._alive

    @property
    def _reported(self) -> UpstreamCondition:
        return self._report or self._condition

    def set_condition(self, condition: UpstreamCondition) -> None:
        """Make it ready, cold, draining or shedding."""
        self._condition = condition

    def set_report(self, condition: UpstreamCondition | None) -> None:
        """Report this condition whatever is true; None to report the true one."""
        self._report = condition

    def set_slow(self, factor: float) -> None:
        """Make each request take this many times as long."""
        self._slow = factor

    def set_crash_text(self, text: str) -> None:
        """Crash on each query that contains this text; ``""`` for none."""
        self._crash_text = text

    def set_snapshots(self, *snapshots: str) -> None:
        """Serve these snapshots and no others."""
        self._snapshots = set(snapshots)

    def kill(self) -> None:
        """Go down with everything at work."""
        self._alive = False
        for stop in self._stops.values():
            _stop(stop)

    def restart(self) -> None:
        """Come back."""
        self._alive = True
        self._slots = asyncio.Semaphore(self._shape.slots)
        self.open_connections = 0
        self.starts += 1

    def connect(self) -> None:
        """Take a connection.

        :raises UpstreamCrashError: it is down or has no room.
        """
        if not self.alive:
            raise UpstreamCrashError("down")
        if self.open_connections >= self._shape.connections:
            self.refused_connections += 1
            raise UpstreamCrashError("too many connections")
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)

    def disconnect(self) -> None:
        """Let a connection go."""
        self.open_connections = max(0, self.open_connections - 1)

    def cancel(self, request_id: str) -> None:
        """Stop work on a request."""
        stop = self._stops.get(request_id)
        if stop is not None:
            _stop(stop)

    async def search(self, batch: Batch) -> BatchReply:
        """Answer a batch.

        :raises UpstreamCrashError: it went down before it could answer.
        """
        self._check_alive()
        self.requests += 1
        self.sub_queries += len(batch.sub_queries)
        if self._condition is UpstreamCondition.SHEDDING:
            return self._all_failed(batch, FailureCode.SHED, "no room")
        stop: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._stops[batch.request_id] = stop
        try:
            finished = await self._work(batch, stop)
        finally:
            del self._stops[batch.request_id]
        if not finished:
            return self._all_failed(batch, FailureCode.CANCELLED, "cancelled")
        return self._answer(batch)

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Carry out an order each time it is asked to.

        :raises UpstreamCrashError: it went down.
        """
        self._check_alive()
        async with self._slots:
            await self._pause(1, asyncio.get_running_loop().create_future())
            self._check_alive()
            self.effects.append(order)
        return OrderReply(True, {"number": len(self.effects)}, self._condition)

    async def _work(self, batch: Batch, stop: asyncio.Future[None]) -> bool:
        async with self._slots:
            self._check_alive()
            self._crash_if_asked(batch)
            finished = await self._pause(len(batch.sub_queries), stop)
        self._check_alive()
        return finished

    async def _pause(self, subs: int, stop: asyncio.Future[None]) -> bool:
        mean = self._shape.request_seconds + subs * self._shape.sub_seconds
        seconds = mean * self._slow * self._random.lognormvariate(0.0, self._shape.spread)
        await asyncio.wait((stop,), timeout=seconds)
        return not stop.done()

    def _crash_if_asked(self, batch: Batch) -> None:
        if self._crash_text and any(self._crash_text in sub.query for sub in batch.sub_queries):
            self.crashes += 1
            self.kill()
            raise UpstreamCrashError("crashed by a query")

    def _check_alive(self) -> None:
        if not self.alive:
            raise UpstreamCrashError("down")

    def _answer(self, batch: Batch) -> BatchReply:
        reply = BatchReply({}, {}, self._reported)
        for sub in batch.sub_queries:
            failure = self._fault(sub)
            if failure is None:
                hits = self.shards[sub.shard]
                reply.answers[sub.sub_query_id] = ShardAnswer(
                    sub.sub_query_id, sub.shard, sub.snapshot, hits
                )
            else:
                reply.failures[sub.sub_query_id] = failure
        return reply

    def _fault(self, sub: SubQuery) -> Failure | None:
        if sub.snapshot not in self._snapshots:
            reason = f"snapshot {sub.snapshot!r} is retired"
            return Failure(Step.REPLY, self._shape.address, reason, FailureCode.RETIRED)
        if sub.shard not in self.shards:
            reason = f"shard {sub.shard!r} is not here"
            return Failure(Step.REPLY, self._shape.address, reason, FailureCode.MOVED)
        return None

    def _all_failed(self, batch: Batch, code: FailureCode, reason: str) -> BatchReply:
        failure = Failure(Step.REPLY, self._shape.address, reason, code)
        return BatchReply(
            {}, {sub.sub_query_id: failure for sub in batch.sub_queries}, self._reported
        )


def _stop(stop: asyncio.Future[None]) -> None:
    if not stop.done():
        stop.set_result(None)
