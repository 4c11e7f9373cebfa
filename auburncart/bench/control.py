"""Slopes of what one daemon spends: decisions, objects of the store, memory."""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from auburncart.bench.echo import EchoDialer
from auburncart.bench.fit import Point, Slope, fit
from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.policies import default_policies
from auburncart.coordination.table import TABLE
from auburncart.protocol.platform import decode_value, encode_value
from auburncart.standins.fakes import FakeStore
from auburncart.standins.platform import PlatformModel
from auburncart.state.search import SearchRequest
from auburncart.state.shards import Replica, Shard, ShardMap
from auburncart.state.table import Row, Table, TableDocument, find_row
from auburncart.state.work import Rank

__all__ = ["SHARD_SIZES", "decision_slopes", "make_map", "make_table", "object_slopes"]

SHARD_SIZES = (10, 52, 200, 1300)
REPLICA_SIZES = (100, 1000, 10_000)
ROW_SIZES = (1, 10, 100, 1000)
SUB_QUERIES = 13_000  # sub-queries of each measurement of searches
SECONDS_MEASURED = 0.3
SEARCH_SECONDS = 60.0
MICROSECONDS = 1e6


def make_map(shards: int, replicas: int = 1, version: int = 1) -> ShardMap:
    """Return a shard map with that many shards of that many replicas."""
    return ShardMap(
        f"s{version}",
        version,
        {
            f"shard-{shard:05}": Shard(
                f"shard-{shard:05}",
                tuple(
                    Replica(f"10.{copy}.{shard // 250}.{shard % 250}:8080", "dc1", batch_limit=16)
                    for copy in range(replicas)
                ),
            )
            for shard in range(shards)
        },
    )


def make_table(rows: int, version: int = 1) -> TableDocument:
    """Return a table of that many rows, the last one for customer and kind ``"last"``."""
    named = [Row(f"customer-{row:04}", "search", Rank.NORMAL) for row in range(rows - 1)]
    return TableDocument(Table(version, (*named, Row("last", "last", Rank.URGENT))))


def decision_slopes() -> list[Slope]:
    """Measure searches through the decisions alone, over upstreams that answer at once."""
    searches = fit(
        "search, decisions only",
        "shards",
        "us of a core",
        [Point(size, asyncio.run(_search_cost(size))) for size in SHARD_SIZES],
    )
    memory = fit(
        "memory of a node after one search over all",
        "replicas",
        "bytes",
        [Point(size, asyncio.run(_node_memory(size))) for size in REPLICA_SIZES],
    )
    return [searches, memory]


def object_slopes() -> list[Slope]:
    """Measure the objects of the store: their size, and the time to read them."""
    maps = {size: make_map(size) for size in REPLICA_SIZES}
    tables = {size: make_table(size) for size in ROW_SIZES}
    map_bodies = {size: encode_value(SHARD_MAP, value) for size, value in maps.items()}
    table_bodies = {size: encode_value(TABLE, value) for size, value in tables.items()}
    return [
        fit("shard map", "replicas", "bytes", _sizes(map_bodies)),
        fit("table without audit", "rows", "bytes", _sizes(table_bodies)),
        fit(
            "shard map decoded",
            "replicas",
            "us of a core",
            _times(map_bodies, lambda body: decode_value(SHARD_MAP, body)),
        ),
        fit(
            "table decoded",
            "rows",
            "us of a core",
            _times(table_bodies, lambda body: decode_value(TABLE, body)),
        ),
        fit(
            "row of the table found",
            "rows",
            "us of a core",
            _times(tables, lambda value: find_row(value.table, "last", "last")),
        ),
    ]


def make_node(shard_map: ShardMap, table: TableDocument) -> Node:
    """Return a node over upstreams that answer at once."""
    node = Node(
        "vm1",
        "dc1",
        FakeStore(PlatformModel()),
        EchoDialer(),
        default_policies(1),
        NullObserver(),
    )
    node.catalogue.install(shard_map)
    node.tables.install(table)
    return node


async def _search_cost(shards: int) -> float:
    node = make_node(make_map(shards), make_table(10))
    await _search(node, 0)
    count = max(5, SUB_QUERIES // shards)
    before = time.process_time()
    for number in range(count):
        await _search(node, number + 1)
    spent = time.process_time() - before
    await node.stop()
    return spent / count * MICROSECONDS


async def _node_memory(replicas: int) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    node = make_node(make_map(replicas), make_table(10))
    await _search(node, 0)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    await node.stop()
    return used


async def _search(node: Node, number: int) -> None:
    deadline = asyncio.get_running_loop().time() + SEARCH_SECONDS
    request = SearchRequest(f"r{number}", "last", "last", "net", deadline)
    answer = await node.searches.search(request)
    if answer.is_error() or not answer.ok.coverage.complete:
        raise RuntimeError(f"a measured search did not complete: {answer}")


def _sizes(bodies: dict[int, bytes]) -> list[Point]:
    return [Point(size, len(body)) for size, body in bodies.items()]


def _times(values: dict[int, Any], call: Callable[[Any], object]) -> list[Point]:
    return [Point(size, _time(call, value)) for size, value in values.items()]


def _time(call: Callable[[Any], object], value: Any) -> float:
    count = 0
    before = time.process_time()
    while time.process_time() - before < SECONDS_MEASURED:
        call(value)
        count += 1
    return (time.process_time() - before) / count * MICROSECONDS
