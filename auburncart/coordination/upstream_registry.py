"""All upstreams that the shard map names."""

from collections.abc import Callable, Iterator

from auburncart.coordination.upstream import Upstream
from auburncart.state.shards import Replica, Shard, ShardMap

__all__ = ["UpstreamRegistry"]


class UpstreamRegistry:
    """Keeps one :class:`Upstream` for each replica of the shard map.

    :param make: makes the upstream of a replica.
    """

    def __init__(self, make: Callable[[Replica], Upstream]) -> None:
        self._make = make
        self._upstreams: dict[str, Upstream] = {}

    def __iter__(self) -> Iterator[Upstream]:
        return iter(self._upstreams.values())

    def get(self, address: str) -> Upstream | None:
        """Return the upstream with an address, or None."""
        return self._upstreams.get(address)

    def candidates(self, shard: Shard) -> list[Upstream]:
        """Return the upstreams that hold a shard; those not known yet are made."""
        return [self._of(replica) for replica in shard.replicas]

    def trim_connections(self) -> None:
        """See that the connections held follow a change of their limits."""
        for upstream in self:
            upstream.trim_connections()

    def connection_counts(self) -> list[tuple[Replica, int]]:
        """Return the number of connections held to each replica."""
        return [(upstream.replica, upstream.connections) for upstream in self]

    async def close_removed(self, shard_map: ShardMap) -> None:
        """Close the upstreams that a shard map names no more and that are idle."""
        named = {
            replica.address for shard in shard_map.shards.values() for replica in shard.replicas
        }
        unused = [upstream for upstream in self if upstream.address not in named]
        for upstream in unused:
            if upstream.outstanding == 0:
                del self._upstreams[upstream.address]
                await upstream.close()

    async def close(self) -> None:
        """Close all upstreams."""
        for upstream in list(self):
            await upstream.close()
        self._upstreams.clear()

    def _of(self, replica: Replica) -> Upstream:
        upstream = self._upstreams.get(replica.address)
        if upstream is None:
            upstream = self._make(replica)
            self._upstreams[replica.address] = upstream
        return upstream
