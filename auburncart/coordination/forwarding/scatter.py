"""A search over many shards: every shard is asked, and the parts are merged."""

import asyncio
import heapq
import math
from typing import NamedTuple

from auburncart.coordination.forwarding.attempts import Attempts, Outcome, Plan, Tools
from auburncart.coordination.mailbox import Mailbox
from auburncart.state.configuration import Route
from auburncart.state.failure import Failure, FailureCode, Ran, Refusal, RefusalCode, Step
from auburncart.state.forward import ForwardRequest, Merged, Reply

__all__ = ["Scatter", "merge_records"]

RECORD_BYTES = 16  # size of a record; a shorter remainder is none
PENDING = Failure(Step.REPLY, "", "no reply in time", FailureCode.TIMED_OUT, True)
UNPROVED = Failure(Step.MATCH, "", "the part has no proof of its own", FailureCode.MISMATCH, True)


class _Part(NamedTuple):
    shard: str
    outcome: Outcome


def merge_records(bodies: list[bytes], top: int) -> bytes:
    """Return the greatest records of several parts, greatest first.

    >>> merge_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"rest"], 2) == b"c" * 16 + b"b" * 16
    True
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(top, records))


class Scatter:
    """One search on the shards of one version; :meth:`run` is called once.

    :param request: the search.
    :param route: its route, which names the shards.
    :param tools: what tries are made with.
    :param hedge_delay: seconds after which a shard's second replica is asked.
    :param deliver_at: loop time in seconds from which the parts that are there are answered, if
        they are enough.
    :param until: loop time in seconds at which to give up.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: Route,
        tools: Tools,
        hedge_delay: float,
        deliver_at: float,
        until: float,
    ) -> None:
        self._request = request
        self._route = route
        self._tools = tools
        self._hedge_delay = hedge_delay
        self._deliver_at = deliver_at
        self._until = until
        self._needed = max(1, math.ceil(route.least_share * len(route.shards) - 1e-9))
        self._mailbox: Mailbox[_Part] = Mailbox()
        self._parts: dict[str, Reply] = {}
        self._failures: dict[str, Failure] = {}
        self._may_have_run = False

    async def run(self) -> Merged | Refusal:
        """Ask all shards and return the merged answer."""
        tasks = [
            asyncio.create_task(self._ask(shard), name=f"shard {shard}")
            for shard in self._route.shards
        ]
        try:
            while not self._settled():
                now = asyncio.get_running_loop().time()
                if now >= self._until:
                    break
                until = self._deliver_at if now < self._deliver_at else self._until
                for part in await self._mailbox.take(min(until, self._until)):
                    self._take(part)
        finally:
            for task in tasks:
                task.cancel()
        return self._answer()

    async def _ask(self, shard: str) -> None:
        self._tools.budget.record_request(shard)
        route = self._route
        plan = Plan(
            shard, route.priority, True, route.most_attempts, self._hedge_delay, self._until
        )
        self._mailbox.post(_Part(shard, await Attempts(self._request, plan, self._tools).run()))

    def _take(self, part: _Part) -> None:
        outcome = part.outcome
        self._may_have_run |= outcome.may_have_run
        reply = outcome.reply
        if reply is None or not reply.succeeded:
            self._failures[part.shard] = outcome.failure or PENDING
        elif not reply.stamp or any(reply.stamp == other.stamp for other in self._parts.values()):
            self._failures[part.shard] = UNPROVED
        else:
            self._parts[part.shard] = reply

    def _settled(self) -> bool:
        total = len(self._route.shards)
        if len(self._parts) + len(self._failures) == total:
            return True
        if total - len(self._failures) < self._needed:
            return True
        late = asyncio.get_running_loop().time() >= self._deliver_at
        return late and len(self._parts) >= self._needed

    def _answer(self) -> Merged | Refusal:
        missing = [shard for shard in self._route.shards if shard not in self._parts]
        failures = {shard: self._failures.get(shard, PENDING) for shard in missing}
        if len(self._parts) >= self._needed:
            body = merge_records(
                [part.body for part in self._parts.values()], self._route.top_records
            )
            stamps = tuple(part.stamp for part in self._parts.values())
            return Merged(body, stamps, len(missing), failures)
        return self._refusal(failures)

    def _refusal(self, failures: dict[str, Failure]) -> Refusal:
        ran = bool(self._parts) or any(failure.sent for failure in failures.values())
        first = next(iter(failures.values()))
        reason = f"{len(failures)} of {len(self._route.shards)} shards have no part: {first.reason}"
        timed_out = asyncio.get_running_loop().time() >= self._until
        if ran or self._may_have_run:
            code = RefusalCode.TIMED_OUT if timed_out else RefusalCode.FAILED
            return Refusal(code, reason, Ran.UNKNOWN, 0.0, first.step, first.peer)
        return Refusal(RefusalCode.UNAVAILABLE, reason, Ran.NO, 0.0, first.step, first.peer)
