"""The shard map of a snapshot: which replica serves which shard."""

from typing import NamedTuple

__all__ = ["Replica", "Shard", "ShardMap"]


class Replica(NamedTuple):
    """An upstream that serves one or more shards.

    :param address: ``"IP:port"`` of the upstream.
    :param data_centre: data centre in which it runs.
    :param slots: number of requests that it works on at the same time.
    :param max_connections: connections that it accepts from all VMs together.
    :param batch_limit: most sub-queries in one request; 1 where it takes no batches.
    """

    address: str
    data_centre: str
    slots: int = 2
    max_connections: int = 25
    batch_limit: int = 1


class Shard(NamedTuple):
    """A shard and the replicas that hold it."""

    name: str
    replicas: tuple[Replica, ...]


class ShardMap(NamedTuple):
    """All shards of one snapshot.

    :param snapshot: identifier of the snapshot.
    :param version: number that grows with every publication; a lower one is older.
    :param shards: shards by name.
    """

    snapshot: str
    version: int
    shards: dict[str, Shard]
