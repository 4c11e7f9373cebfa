"""A search by scatter-gather: every shard is asked, and the parts are merged."""

import asyncio
import math

from auburncart.coordination.forwarding.attempts import ForwardingContext
from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.fanout import (
    NO_REPLY_IN_TIME,
    NO_STAMP,
    Fanout,
    merge_portions,
)
from auburncart.coordination.forwarding.search import Search
from auburncart.state.failure import Failure, Ran, Refusal, RefusalCode, Step
from auburncart.state.forward import MergedAnswer, PartialAnswer

__all__ = ["RELISTING_RETRY_SECONDS", "ScatterGather"]

RELISTING_RETRY_SECONDS = 1.0  # replicas whose entries expired register again within 2 seconds


class ScatterGather:
    """One search over the shards of its route; :meth:`run` is called once.

    :param search: the search, with all shards of its route.
    :param min_share: share of the shards below which there is no merged answer.
    :param context: the collaborators of the forwarding code.
    :param delegation: chooses the helpers; None to ask all shards directly.
    """

    def __init__(
        self,
        search: Search,
        min_share: float,
        context: ForwardingContext,
        delegation: Delegation | None,
    ) -> None:
        self._search = search
        self._registry = context.registry
        self._fanout = Fanout(search, context, delegation)
        self._needed_parts = max(1, math.ceil(min_share * len(search.shards) - 1e-9))
        self._portions: list[PartialAnswer] = []
        self._stamps: set[bytes] = set()
        self._failures: dict[str, Failure] = {}

    async def run(self) -> MergedAnswer | Refusal:
        """Ask all shards and return the merged answer."""
        missing = [shard for shard in self._search.shards if not self._registry.candidates(shard)]
        if len(self._search.shards) - len(missing) < self._needed_parts:
            reason = f"{len(missing)} of {len(self._search.shards)} shards have no replica"
            return Refusal(
                RefusalCode.UNAVAILABLE, reason, Ran.NO, RELISTING_RETRY_SECONDS, Step.ROUTE
            )
        deliver_at, until = self._search.deliver_at, self._search.until
        self._fanout.start()
        try:
            while not self._finished():
                now = asyncio.get_running_loop().time()
                if now >= until:
                    break
                wake_at = deliver_at if now < deliver_at else until
                for portion in await self._fanout.take(min(wake_at, until)):
                    self._add(portion)
        finally:
            self._fanout.close()
        return self._answer()

    @property
    def _part_count(self) -> int:
        return len(self._stamps)

    def _add(self, portion: PartialAnswer) -> None:
        self._failures.update(portion.failures)
        new_stamps = set(portion.stamps) - self._stamps
        if len(new_stamps) < len(portion.shards):
            # An answer that repeats a stamp would be invalid as a whole.
            self._failures.update(dict.fromkeys(portion.shards, NO_STAMP))
            return
        self._stamps |= new_stamps
        self._portions.append(portion)

    def _finished(self) -> bool:
        if self._fanout.done:
            return True
        if len(self._search.shards) - len(self._failures) < self._needed_parts:
            return True
        overdue = asyncio.get_running_loop().time() >= self._search.deliver_at
        return overdue and self._part_count >= self._needed_parts

    def _answer(self) -> MergedAnswer | Refusal:
        merged = merge_portions(self._portions, self._search.top_records)
        missing = [shard for shard in self._search.shards if shard not in merged.shards]
        failures = {shard: self._failures.get(shard, NO_REPLY_IN_TIME) for shard in missing}
        if self._part_count >= self._needed_parts:
            return MergedAnswer(merged.body, merged.stamps, len(missing), failures)
        return self._refusal(failures)

    def _refusal(self, failures: dict[str, Failure]) -> Refusal:
        ran = bool(self._portions) or any(failure.sent for failure in failures.values())
        first = next(iter(failures.values()))
        count = len(self._search.shards)
        reason = f"{len(failures)} of {count} shards gave no part: {first.reason}"
        if not ran:
            return Refusal(RefusalCode.UNAVAILABLE, reason, Ran.NO, 0.0, first.step, first.peer)
        timed_out = asyncio.get_running_loop().time() >= self._search.until
        code = RefusalCode.TIMED_OUT if timed_out else RefusalCode.FAILED
        return Refusal(code, reason, Ran.UNKNOWN, 0.0, first.step, first.peer)
