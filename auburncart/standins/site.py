"""A small site for demonstrations: its shard map, its table and the hits of its shards."""

from typing import Any

from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.table import TABLE
from auburncart.protocol.platform import encode_value, object_path
from auburncart.standins.platform import PlatformModel
from auburncart.standins.upstream import UpstreamProfile
from auburncart.state.shards import Replica, Shard, ShardMap
from auburncart.state.table import Row, Table, TableDocument
from auburncart.state.work import Rank

__all__ = ["DEMO_TABLE", "demo_hits", "make_shard_map", "publish"]

DEMO_TABLE = TableDocument(
    Table(
        1,
        (
            Row("*", "closure", Rank.URGENT, 4.0),
            Row("*", "schedule", Rank.NORMAL, 2.0),
            Row("*", "archive", Rank.BACKGROUND, 1.0),
        ),
    )
)


def demo_hits(shard: str) -> tuple[dict[str, Any], ...]:
    """Return the hits of a demonstration shard, a single record."""
    return ({"record": f"{shard}/1", "text": f"defect in the net of {shard}"},)


def make_shard_map(
    profiles: list[UpstreamProfile], data_centres: list[str], batch_limit: int
) -> ShardMap:
    """Return the shard map of some upstreams.

    :param profiles: profiles of the upstreams.
    :param data_centres: data centre of each upstream.
    :param batch_limit: maximum number of sub-queries in one request.
    """
    replicas: dict[str, list[Replica]] = {}
    for profile, data_centre in zip(profiles, data_centres, strict=True):
        replica = Replica(
            profile.address, data_centre, profile.slots, profile.max_connections, batch_limit
        )
        for shard in profile.shards:
            replicas.setdefault(shard, []).append(replica)
    shards = {
        name: Shard(name, tuple(shard_replicas))
        for name, shard_replicas in sorted(replicas.items())
    }
    return ShardMap(profiles[0].snapshot, 1, shards)


async def publish(model: PlatformModel, shard_map: ShardMap, table: TableDocument) -> None:
    """Write a shard map and a table to a platform that holds neither."""
    await model.write(object_path(SHARD_MAP), encode_value(SHARD_MAP, shard_map), "")
    await model.write(object_path(TABLE), encode_value(TABLE, table), "")
