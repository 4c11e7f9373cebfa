"""Searches on one pinned snapshot, restarted on a newer one when theirs is retired."""

import asyncio

from expression import Error, Ok, Result

from auburncart.coordination.admission import Permit
from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.gather import Gather
from auburncart.coordination.policies import Policies
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.state.failure import Refusal, RefusalCode, Step
from auburncart.state.search import SearchAnswer, SearchRequest
from auburncart.state.shards import ShardMap
from auburncart.state.work import Rank

__all__ = ["NOT_READY", "PinnedSearches"]

TIME_WEIGHT = 0.1  # weight of a new value in the moving average
NOT_READY_RETRY_SECONDS = 2.0
NOT_READY = Refusal(
    RefusalCode.UNAVAILABLE,
    "no shard map yet",
    retry_after=NOT_READY_RETRY_SECONDS,
    step=Step.ROUTE,
)


class PinnedSearches:
    """Runs each search on one snapshot at a time; answers of two snapshots are never joined.

    When a shard has no answer because its replicas retired the pinned snapshot, the whole search
    is restarted on a newer shard map if the deadline allows that. Otherwise the answer names the
    missing shards.

    :param catalogue: the shard map in force.
    :param upstreams: the upstreams named by the shard map.
    :param policies: the policies to decide by.
    """

    def __init__(
        self, catalogue: Catalogue, upstreams: UpstreamRegistry, policies: Policies
    ) -> None:
        self._catalogue = catalogue
        self._upstreams = upstreams
        self._policies = policies
        self._typical_seconds = 0.0

    async def run(
        self, request: SearchRequest, rank: Rank, permit: Permit
    ) -> Result[SearchAnswer, Refusal]:
        """Run one admitted search."""
        shard_map = self._catalogue.current
        if shard_map is None:
            return Error(NOT_READY)
        unknown = [name for name in request.shards if name not in shard_map.shards]
        if unknown:
            reason = f"snapshot {shard_map.snapshot} has no shard {unknown[0]!r}"
            return Error(Refusal(RefusalCode.BAD_REQUEST, reason, step=Step.ROUTE))
        return Ok(await self._run_with_restarts(request, rank, permit, shard_map))

    async def _run_with_restarts(
        self, request: SearchRequest, rank: Rank, permit: Permit, shard_map: ShardMap
    ) -> SearchAnswer:
        answer = None
        newer: ShardMap | None = shard_map
        while newer is not None:
            pinned = newer
            gather = self._make_gather(request, rank, permit, pinned)
            answer = _more_complete(answer, await self._run_timed(gather))
            newer = await self._newer_map(request, pinned) if gather.retired else None
        assert answer is not None
        return answer

    def _make_gather(
        self, request: SearchRequest, rank: Rank, permit: Permit, pinned: ShardMap
    ) -> Gather:
        names = tuple(dict.fromkeys(request.shards)) or tuple(sorted(pinned.shards))
        return Gather(
            request,
            pinned,
            names,
            rank,
            self._upstreams,
            self._policies,
            progress=permit.update_remaining,
            abandons=lambda: self._can_restart(request, pinned, self._catalogue.current),
        )

    async def _run_timed(self, gather: Gather) -> SearchAnswer:
        loop = asyncio.get_running_loop()
        start = loop.time()
        answer = await gather.run()
        if answer.coverage.complete:
            weight = TIME_WEIGHT if self._typical_seconds else 1.0
            self._typical_seconds += weight * (loop.time() - start - self._typical_seconds)
        return answer

    async def _newer_map(self, request: SearchRequest, pinned: ShardMap) -> ShardMap | None:
        until = request.deadline - self._typical_seconds
        newer = await self._catalogue.wait_for_newer(pinned.version, until)
        return newer if self._can_restart(request, pinned, newer) else None

    def _can_restart(
        self, request: SearchRequest, pinned: ShardMap, newer: ShardMap | None
    ) -> bool:
        """Return whether a search can be restarted on a shard map and end in time."""
        if newer is None or newer.version <= pinned.version:
            return False
        now = asyncio.get_running_loop().time()
        in_time = now + self._typical_seconds < request.deadline
        return in_time and all(name in newer.shards for name in request.shards)


def _more_complete(first: SearchAnswer | None, second: SearchAnswer) -> SearchAnswer:
    """Return the answer with the larger share of shards answered; the second if equal."""
    if first is None:
        return second
    shares = [
        answer.coverage.answered / max(1, answer.coverage.asked) for answer in (first, second)
    ]
    return first if shares[0] > shares[1] else second
