"""Parts of a search as they come in, from replicas and from VMs near them."""

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
from auburncart.coordination.forwarding.delegation import Delegation, Group
from auburncart.coordination.forwarding.search import Search
from auburncart.coordination.mailbox import Mailbox
from auburncart.exception import LinkError, LinkTimeoutError
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.forward import Portion

__all__ = ["PENDING", "UNPROVED", "Gathering", "merge_portions", "merge_records"]

RECORD_BYTES = 16  # size of a record; a shorter remainder is none
FIRST_TRY_SECONDS = 0.02  # after the hedge delay, in which a helper that is lost has not hedged yet
PENDING = Failure(Step.REPLY, "", "no reply in time", FailureCode.TIMED_OUT, True)
UNPROVED = Failure(Step.MATCH, "", "the part has no proof of its own", FailureCode.MISMATCH, True)
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


def merge_portions(portions: Iterable[Portion], top: int) -> Portion:
    """Return one portion for several of disjoint shards."""
    portions = tuple(portions)
    failures: dict[str, Failure] = {}
    for portion in portions:
        failures.update(portion.failures)
    return Portion(
        tuple(shard for portion in portions for shard in portion.shards),
        merge_records((portion.body for portion in portions), top),
        tuple(stamp for portion in portions for stamp in portion.stamps),
        failures,
    )


class Gathering:
    """Asks shards, each with a task of its own, and those that stand elsewhere by way of a helper.

    :param search: what to ask.
    :param context: the collaborators of the forwarding code.
    :param delegation: knows VMs near the shards; None to ask all shards from here.
    """

    def __init__(
        self, search: Search, context: ForwardingContext, delegation: Delegation | None
    ) -> None:
        self._search = search
        self._context = context
        self._delegation = delegation
        self._mailbox: Mailbox[Portion] = Mailbox()
        self._tasks: list[asyncio.Task[None]] = []
        self._open = set(search.shards)

    @property
    def done(self) -> bool:
        """Whether every shard has its part or has failed, as far as was taken."""
        return not self._open

    def start(self) -> None:
        """Ask all shards."""
        near = self._search.shards
        groups: tuple[Group, ...] = ()
        if self._delegation is not None:
            near, groups = self._delegation.split(near)
        for shard in near:
            self._begin(self._ask(shard), shard)
        for group in groups:
            self._begin(self._ask_helper(group), group.helper.vm.name)

    async def take(self, until: float) -> list[Portion]:
        """Return what has come in; none if nothing does.

        :param until: loop time in seconds at which to give up.
        """
        portions = await self._mailbox.take(until)
        for portion in portions:
            self._open.difference_update(portion.shards, portion.failures)
        return portions

    def close(self) -> None:
        """End all work."""
        for task in self._tasks:
            task.cancel()

    def _begin(self, step: Coroutine[Any, Any, None], name: str) -> None:
        self._tasks.append(asyncio.create_task(step, name=f"ask {name}"))

    async def _ask(self, shard: str, *, again: bool = False) -> None:
        """Ask a shard's replicas.

        :param again: whether one replica may have been asked already.
        """
        budget = self._context.budget
        if not again:
            budget.record_request(shard)
        elif not budget.spend(shard):
            self._mailbox.post(Portion((), b"", (), {shard: NO_BUDGET}))
            return
        search = self._search
        most_attempts = search.most_attempts - 1 if again else search.most_attempts
        policy = AttemptPolicy(
            shard, search.priority, True, most_attempts, search.hedge_delay, search.until
        )
        outcome = await Attempts(search.request, policy, self._context).run()
        self._mailbox.post(_portion_of(shard, outcome))

    async def _ask_helper(self, group: Group) -> None:
        """Have a helper ask some shards; those that it did not ask are asked from here."""
        assert self._delegation is not None
        search = self._search
        began = asyncio.get_running_loop().time()
        left = set(group.shards)
        try:
            async for portion in self._delegation.ask(group, search):
                left.difference_update(portion.shards, portion.failures)
                self._mailbox.post(portion)
                if not left:
                    return
        except LinkError as error:
            again = error.step != "connect"
            seconds = asyncio.get_running_loop().time() - began
            silent = isinstance(error, LinkTimeoutError)
            hedged = not silent and seconds > search.hedge_delay + FIRST_TRY_SECONDS
            if again and (hedged or search.most_attempts < 2):
                # The helper may have made all the tries that the route allows.
                failure = Failure(Step.REPLY, error.peer, error.reason, FailureCode.LOST, True)
                self._mailbox.post(Portion((), b"", (), dict.fromkeys(left, failure)))
                return
            await asyncio.gather(*(self._ask(shard, again=again) for shard in sorted(left)))


def _portion_of(shard: str, outcome: Outcome) -> Portion:
    reply = outcome.reply
    if reply is None or not reply.succeeded:
        return Portion((), b"", (), {shard: outcome.failure or PENDING})
    if not reply.stamp:
        return Portion((), b"", (), {shard: UNPROVED})
    return Portion((shard,), reply.body, (reply.stamp,), {})
