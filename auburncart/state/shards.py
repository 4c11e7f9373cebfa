"""The shard map of a snapshot: which replicas serve which shard."""

from typing import NamedTuple

__all__ = ["Replica", "Shard", "ShardMap"]


class Replica(NamedTuple):
    """An upstream that serves one or more shards.

    :param address: ``"IP:port"`` of the upstream.
    :param data_centre: data centre in which it runs.
    :param slots: number of requests that it processes concurrently.
    :param max_connections: number of connections that it accepts from all VMs together.
    :param batch_limit: maximum number of sub-queries in one request; 1 if it accepts no batches.
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
    :param version: number that increases with every publication.
    :param shards: shards by name.
    """

    snapshot: str
    version: int
    shards: dict[str, Shard]
