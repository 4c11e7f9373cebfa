"""A search by scatter-gather: every shard is asked, and the parts are merged."""

import asyncio
import math
import random

from auburncart.coordination.forwarding.attempts import (
    LIMITED,
    AttemptPolicy,
    Attempts,
    ForwardingContext,
)
from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.fanout import (
    NO_BUDGET,
    NO_REPLY_IN_TIME,
    NO_STAMP,
    Fanout,
    merge_partial_answers,
)
from auburncart.coordination.forwarding.search import Search
from auburncart.state.failure import Failure, Ran, Refusal, RefusalCode, Step
from auburncart.state.forward import MergedAnswer, PartialAnswer

__all__ = ["RELISTING_RETRY_SECONDS", "ScatterGather", "limited_retry_after"]

MIN_LIMITED_RETRY_SECONDS = 0.1
MAX_LIMITED_RETRY_SECONDS = 5.0  # other VMs have other shares of a limit
RELISTING_RETRY_SECONDS = 1.0  # replicas whose entries expired register again within 2 seconds


def limited_retry_after(delay: float) -> float:
    """Return the Retry-After of a request that no replica takes in time, in seconds.

    Random, so that callers that were refused together return one after the other.

    :param delay: seconds until a replica takes one more request.
    """
    delay = min(max(delay, MIN_LIMITED_RETRY_SECONDS), MAX_LIMITED_RETRY_SECONDS)
    return delay * random.uniform(1.0, 2.0)


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
        self._context = context
        self._fanout = Fanout(search, context, delegation)
        self._needed_parts = max(1, math.ceil(min_share * len(search.shards) - 1e-9))
        self._partials: list[PartialAnswer] = []
        self._stamps: set[bytes] = set()
        self._failures: dict[str, Failure] = {}

    async def run(self) -> MergedAnswer | Refusal:
        """Ask all shards and return the merged answer."""
        registry = self._context.registry
        missing = [shard for shard in self._search.shards if not registry.candidates(shard)]
        if len(self._search.shards) - len(missing) < self._needed_parts:
            reason = f"{len(missing)} of {len(self._search.shards)} shards have no replica"
            return Refusal(
                RefusalCode.UNAVAILABLE, reason, Ran.NO, RELISTING_RETRY_SECONDS, Step.ROUTE
            )
        delay = self._send_delay()
        if delay > 0.0:
            return Refusal(
                RefusalCode.OVERLOADED,
                LIMITED.reason,
                Ran.NO,
                limited_retry_after(delay),
                Step.ROUTE,
            )
        if self._context.quarantine.on_trial(self._search.request):
            failure = await self._try_one_shard()
            if failure is not None:
                ran = Ran.UNKNOWN if failure.sent else Ran.NO
                return Refusal(
                    RefusalCode.FAILED, failure.reason, ran, 0.0, failure.step, failure.peer
                )
        deliver_at, until = self._search.deliver_at, self._search.until
        self._fanout.start()
        try:
            while not self._finished():
                now = asyncio.get_running_loop().time()
                if now >= until:
                    break
                wake_at = deliver_at if now < deliver_at else until
                for partial in await self._fanout.take(min(wake_at, until)):
                    self._add(partial)
        finally:
            self._fanout.close()
        return self._answer()

    def _send_delay(self) -> float:
        """Return the seconds until replicas of enough shards take the search, 0 if soon enough."""
        search, registry = self._search, self._context.registry
        if not registry.paced:
            return 0.0
        patience = 0.5 * (search.deliver_at - asyncio.get_running_loop().time())
        delays = sorted(registry.send_delay(shard, search.priority) for shard in search.shards)
        delay = delays[self._needed_parts - 1]
        return delay if delay > patience else 0.0

    async def _try_one_shard(self) -> Failure | None:
        """Send a search that crashed replicas before to one shard; return why it has no part."""
        search = self._search
        shard = search.shards[0]
        if not self._context.budget.spend(shard):
            return NO_BUDGET
        policy = AttemptPolicy(
            shard, search.priority, True, 1, search.hedge_delay, search.until, is_part=True
        )
        outcome = await Attempts(search.request, policy, self._context).run()
        return outcome.failure

    @property
    def _part_count(self) -> int:
        return len(self._stamps)

    def _add(self, partial: PartialAnswer) -> None:
        self._failures.update(partial.failures)
        new_stamps = set(partial.stamps) - self._stamps
        if len(new_stamps) < len(partial.shards):
            # An answer that repeats a stamp would be invalid as a whole.
            self._failures.update(dict.fromkeys(partial.shards, NO_STAMP))
            return
        self._stamps |= new_stamps
        self._partials.append(partial)

    def _finished(self) -> bool:
        if self._fanout.done:
            return True
        if len(self._search.shards) - len(self._failures) < self._needed_parts:
            return True
        overdue = asyncio.get_running_loop().time() >= self._search.deliver_at
        return overdue and self._part_count >= self._needed_parts

    def _answer(self) -> MergedAnswer | Refusal:
        merged = merge_partial_answers(self._partials, self._search.top_records)
        missing = [shard for shard in self._search.shards if shard not in merged.shards]
        failures = {shard: self._failures.get(shard, NO_REPLY_IN_TIME) for shard in missing}
        if self._part_count >= self._needed_parts:
            return MergedAnswer(merged.body, merged.stamps, len(missing), failures)
        return self._refusal(failures)

    def _refusal(self, failures: dict[str, Failure]) -> Refusal:
        ran = bool(self._partials) or any(failure.sent for failure in failures.values())
        first = next(iter(failures.values()))
        count = len(self._search.shards)
        reason = f"{len(failures)} of {count} shards gave no part: {first.reason}"
        if not ran:
            return Refusal(RefusalCode.UNAVAILABLE, reason, Ran.NO, 0.0, first.step, first.peer)
        timed_out = asyncio.get_running_loop().time() >= self._search.until
        code = RefusalCode.TIMED_OUT if timed_out else RefusalCode.FAILED
        return Refusal(code, reason, Ran.UNKNOWN, 0.0, first.step, first.peer)
