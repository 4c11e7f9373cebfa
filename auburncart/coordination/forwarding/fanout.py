"""Fan-out of a search to the replicas of its shards, directly and through VMs near them."""

import asyncio
import heapq
from collections.abc import Coroutine, Iterable
from typing import Any

from auburncart.coordination.forwarding.attempts import (
    AttemptPolicy,
    Attempts,
    ForwardingContext,
    Outcome,
)
from auburncart.coordination.forwarding.delegation import Delegation, ShardGroup
from auburncart.coordination.forwarding.search import Search
from auburncart.coordination.mailbox import Mailbox
from auburncart.exception import LinkError, LinkTimeoutError
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.forward import PartialAnswer

__all__ = [
    "NO_BUDGET",
    "NO_REPLY_IN_TIME",
    "NO_STAMP",
    "Fanout",
    "merge_partial_answers",
    "merge_records",
]

RECORD_BYTES = 16  # size of a record; a shorter remainder of a body is ignored
LONG_PART_BYTES = 4096  # of a longer part, only its greatest records are kept until the merge
NO_REPLY_IN_TIME = Failure(Step.REPLY, "", "no reply in time", FailureCode.TIMED_OUT, True)
NO_STAMP = Failure(Step.MATCH, "", "the part has no stamp of its own", FailureCode.MISMATCH, True)
NO_BUDGET = Failure(Step.ROUTE, "", "the retry budget is spent", FailureCode.LOST, True)


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
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


def merge_partial_answers(partials: Iterable[PartialAnswer], top: int) -> PartialAnswer:
    """Merge the partial answers of disjoint shards into one."""
    partials = tuple(partials)
    failures: dict[str, Failure] = {}
    for partial in partials:
        failures.update(partial.failures)
    return PartialAnswer(
        tuple(shard for partial in partials for shard in partial.shards),
        merge_records((partial.body for partial in partials), top),
        tuple(stamp for partial in partials for stamp in partial.stamps),
        failures,
    )


class Fanout:
    """Asks each shard of a search, with one task for each shard or helper.

    Some shards are asked through helpers: VMs near their replicas, or their owners.

    :param search: the search.
    :param context: the collaborators of the forwarding code.
    :param delegation: chooses the helpers; None to ask all shards directly.
    """

    def __init__(
        self, search: Search, context: ForwardingContext, delegation: Delegation | None
    ) -> None:
        self._search = search
        self._context = context
        self._delegation = delegation
        self._mailbox: Mailbox[PartialAnswer] = Mailbox()
        self._tasks: list[asyncio.Task[None]] = []
        self._pending_shards = set(search.shards)

    @property
    def done(self) -> bool:
        """Whether :meth:`take` has returned a part or a failure of every shard."""
        return not self._pending_shards

    def start(self) -> None:
        """Ask all shards."""
        near = self._search.shards
        groups: tuple[ShardGroup, ...] = ()
        if self._delegation is not None:
            near, groups = self._delegation.split(near, self._search.scope)
        for shard in near:
            self._start_task(self._ask_replicas(shard), shard)
        for group in groups:
            self._start_task(self._ask_helper(group), group.helper.vm.name)

    async def take(self, until: float) -> list[PartialAnswer]:
        """Wait for partial answers and return those that came in; none if the time is over.

        :param until: loop time in seconds at which to give up.
        """
        partials = await self._mailbox.take(until)
        for partial in partials:
            self._pending_shards.difference_update(partial.shards, partial.failures)
        return partials

    def close(self) -> None:
        """Cancel all work."""
        for task in self._tasks:
            task.cancel()

    def _start_task(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        self._tasks.append(asyncio.create_task(coroutine, name=f"ask {name}"))

    async def _ask_replicas(self, shard: str, *, is_retry: bool = False) -> None:
        """Ask a shard's replicas.

        :param is_retry: whether a helper may have sent the search to one of them already.
        """
        budget = self._context.budget
        if not is_retry:
            budget.record_request(shard)
        elif not budget.spend(shard):
            self._mailbox.post(PartialAnswer((), b"", (), {shard: NO_BUDGET}))
            return
        search = self._search
        max_attempts = search.max_attempts - 1 if is_retry else search.max_attempts
        policy = AttemptPolicy(
            shard,
            search.priority,
            True,
            max_attempts,
            search.hedge_delay,
            search.until,
            send_by=0.5 * (search.request.arrived + search.deliver_at),
            reply_by=search.deliver_at,
            is_part=True,
        )
        outcome = await Attempts(search.request, policy, self._context).run()
        self._mailbox.post(_partial_answer_of(shard, outcome, search.top_records))

    async def _ask_helper(self, group: ShardGroup) -> None:
        """Have a helper ask some shards; if it is lost, ask the remaining ones directly."""
        assert self._delegation is not None
        search = self._search
        started_at = asyncio.get_running_loop().time()
        remaining = set(group.shards)
        budget = self._context.budget

        def may_give_up() -> bool:
            """Return whether the retry budget covers asking the replicas from here."""
            return all(budget.remaining(shard) >= 1.0 for shard in remaining)

        try:
            async for partial in self._delegation.ask(group, search, may_give_up):
                remaining.difference_update(partial.shards, partial.failures)
                self._mailbox.post(self._ask_limited_shards(partial))
                if not remaining:
                    return
        except LinkError as error:
            elapsed = asyncio.get_running_loop().time() - started_at
            # The helper's own delay is shorter by the round trip.
            may_have_hedged = elapsed > search.hedge_delay - group.round_trip
            asked = {
                shard for shard in remaining if self._may_ask_again(shard, error, may_have_hedged)
            }
            given_up = remaining - asked
            if given_up:
                failure = Failure(Step.REPLY, error.peer, error.reason, FailureCode.LOST, True)
                self._mailbox.post(PartialAnswer((), b"", (), dict.fromkeys(given_up, failure)))
            is_retry = error.step != "connect"
            await asyncio.gather(
                *(self._ask_replicas(shard, is_retry=is_retry) for shard in sorted(asked))
            )

    def _ask_limited_shards(self, partial: PartialAnswer) -> PartialAnswer:
        """Ask the shards that a helper could not, since a limit admitted no more from there.

        :return: the answer without these shards.
        """
        limited = [
            shard
            for shard, failure in partial.failures.items()
            if failure.code is FailureCode.SHED and not failure.sent
        ]
        for shard in limited:
            self._start_task(self._ask_replicas(shard), shard)
        failures = {
            shard: failure for shard, failure in partial.failures.items() if shard not in limited
        }
        return partial._replace(failures=failures)

    def _may_ask_again(self, shard: str, error: LinkError, may_have_hedged: bool) -> bool:
        """Return whether the route allows one more attempt at a shard of a helper that is lost.

        :param may_have_hedged: whether so much time has passed that the helper may have hedged.
        """
        max_attempts = self._search.max_attempts
        if error.step == "connect":
            return True
        if max_attempts < 2:
            return False
        if error.step == "accept" or not may_have_hedged:
            return True
        # The helper may have made two attempts; a third must not reach a third replica.
        replicas = len(self._context.registry.candidates(shard))
        return isinstance(error, LinkTimeoutError) and replicas <= max_attempts


def _partial_answer_of(shard: str, outcome: Outcome, top: int) -> PartialAnswer:
    reply = outcome.reply
    if reply is None or not reply.succeeded:
        return PartialAnswer((), b"", (), {shard: outcome.failure or NO_REPLY_IN_TIME})
    if not reply.stamp:
        return PartialAnswer((), b"", (), {shard: NO_STAMP})
    body = reply.body
    if len(body) > LONG_PART_BYTES:
        body = merge_records((body,), top)
    return PartialAnswer((shard,), body, (reply.stamp,), {})
