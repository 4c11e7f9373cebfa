"""A search over many shards: every shard is asked, and the parts are merged."""

import asyncio
import math

from auburncart.coordination.forwarding.attempts import ForwardingContext
from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.gathering import (
    PENDING,
    UNPROVED,
    Gathering,
    merge_portions,
)
from auburncart.coordination.forwarding.search import Search
from auburncart.state.failure import Failure, Ran, Refusal, RefusalCode, Step
from auburncart.state.forward import Merged, Portion

__all__ = ["RETURN_RETRY_SECONDS", "Scatter"]

RETURN_RETRY_SECONDS = 1.0  # replicas whose entries lapsed are listed again within two seconds


class Scatter:
    """One search on the shards of one version; :meth:`run` is called once.

    :param search: the search, with all shards of its route.
    :param least_share: share of the shards below which there is no merged answer.
    :param context: the collaborators of the forwarding code.
    :param delegation: knows VMs near the shards; None to ask all shards from here.
    """

    def __init__(
        self,
        search: Search,
        least_share: float,
        context: ForwardingContext,
        delegation: Delegation | None,
    ) -> None:
        self._search = search
        self._registry = context.registry
        self._gathering = Gathering(search, context, delegation)
        self._needed = max(1, math.ceil(least_share * len(search.shards) - 1e-9))
        self._portions: list[Portion] = []
        self._stamps: set[bytes] = set()
        self._failures: dict[str, Failure] = {}

    async def run(self) -> Merged | Refusal:
        """Ask all shards and return the merged answer."""
        lacking = [shard for shard in self._search.shards if not self._registry.candidates(shard)]
        if len(self._search.shards) - len(lacking) < self._needed:
            reason = f"{len(lacking)} of {len(self._search.shards)} shards have no replica"
            return Refusal(
                RefusalCode.UNAVAILABLE, reason, Ran.NO, RETURN_RETRY_SECONDS, Step.ROUTE
            )
        deliver_at, until = self._search.deliver_at, self._search.until
        self._gathering.start()
        try:
            while not self._settled():
                now = asyncio.get_running_loop().time()
                if now >= until:
                    break
                next_look = deliver_at if now < deliver_at else until
                for portion in await self._gathering.take(min(next_look, until)):
                    self._take(portion)
        finally:
            self._gathering.close()
        return self._answer()

    @property
    def _parts(self) -> int:
        return len(self._stamps)

    def _take(self, portion: Portion) -> None:
        self._failures.update(portion.failures)
        unique = set(portion.stamps) - self._stamps
        if len(unique) < len(portion.shards):
            # An answer in which a proof stands twice would be wrong as a whole.
            self._failures.update(dict.fromkeys(portion.shards, UNPROVED))
            return
        self._stamps |= unique
        self._portions.append(portion)

    def _settled(self) -> bool:
        if self._gathering.done:
            return True
        if len(self._search.shards) - len(self._failures) < self._needed:
            return True
        late = asyncio.get_running_loop().time() >= self._search.deliver_at
        return late and self._parts >= self._needed

    def _answer(self) -> Merged | Refusal:
        merged = merge_portions(self._portions, self._search.top_records)
        missing = [shard for shard in self._search.shards if shard not in merged.shards]
        failures = {shard: self._failures.get(shard, PENDING) for shard in missing}
        if self._parts >= self._needed:
            return Merged(merged.body, merged.stamps, len(missing), failures)
        return self._refusal(failures)

    def _refusal(self, failures: dict[str, Failure]) -> Refusal:
        ran = bool(self._portions) or any(failure.sent for failure in failures.values())
        first = next(iter(failures.values()))
        count = len(self._search.shards)
        reason = f"{len(failures)} of {count} shards have no part: {first.reason}"
        if not ran:
            return Refusal(RefusalCode.UNAVAILABLE, reason, Ran.NO, 0.0, first.step, first.peer)
        timed_out = asyncio.get_running_loop().time() >= self._search.until
        code = RefusalCode.TIMED_OUT if timed_out else RefusalCode.FAILED
        return Refusal(code, reason, Ran.UNKNOWN, 0.0, first.step, first.peer)
