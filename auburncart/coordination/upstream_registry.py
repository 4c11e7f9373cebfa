"""All upstreams that the shard map names."""

from collections.abc import Callable, Iterator

from auburncart.coordination.upstream import Upstream
from auburncart.state.shards import Replica, Shard, ShardMap

__all__ = ["UpstreamRegistry"]


class UpstreamRegistry:
    """Keeps one :class:`Upstream` for each replica of the shard map.

    :param make: creates the upstream of a replica.
    """

    def __init__(self, make: Callable[[Replica], Upstream]) -> None:
        self._make = make
        self._by_address: dict[str, Upstream] = {}

    def __iter__(self) -> Iterator[Upstream]:
        return iter(self._by_address.values())

    def get(self, address: str) -> Upstream | None:
        """Return the upstream with an address, or None."""
        return self._by_address.get(address)

    def candidates(self, shard: Shard) -> list[Upstream]:
        """Return the upstreams that hold a shard; those not known yet are created."""
        return [self._get_or_make(replica) for replica in shard.replicas]

    def trim_connections(self) -> None:
        """Close idle connections above this VM's shares, after the shares have changed."""
        for upstream in self:
            upstream.trim_connections()

    def connection_counts(self) -> list[tuple[Replica, int]]:
        """Return the number of connections held to each replica."""
        return [(upstream.replica, upstream.connections) for upstream in self]

    async def close_removed(self, shard_map: ShardMap) -> None:
        """Close the idle upstreams that a shard map no longer names."""
        named = {
            replica.address for shard in shard_map.shards.values() for replica in shard.replicas
        }
        removed = [upstream for upstream in self if upstream.address not in named]
        for upstream in removed:
            if upstream.outstanding == 0:
                del self._by_address[upstream.address]
                await upstream.close()

    async def close(self) -> None:
        """Close all upstreams."""
        for upstream in list(self):
            await upstream.close()
        self._by_address.clear()

    def _get_or_make(self, replica: Replica) -> Upstream:
        upstream = self._by_address.get(replica.address)
        if upstream is None:
            upstream = self._make(replica)
            self._by_address[replica.address] = upstream
        return upstream
