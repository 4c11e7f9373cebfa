"""Measures the real transport and daemon on loopback, with bounded requests and time."""

import asyncio
import contextlib
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from auburncart.bench.control import make_map, make_table
from auburncart.bench.fit import Point, Slope, fit
from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.table import TABLE
from auburncart.daemon.entry import Entry
from auburncart.protocol.platform import encode_value
from auburncart.settings.entry import EntrySettings
from auburncart.state.search import SubQuery
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch
from auburncart.transport.store import HttpStore
from auburncart.transport.upstream import HttpUpstreamDialer

__all__ = ["ControlCost", "control_cost", "transport_slope"]

BATCH_SIZES = (1, 4, 16, 64)
REQUESTS = 60
MICROSECONDS_PER_SECOND = 1e6
IDLE_SECONDS = 4.0
CHANGES = 20
CHANGE_INTERVAL_SECONDS = 0.1
SITE_REPLICAS = 106
SITE_ROWS = 10
LISTEN_ADDRESS = "127.0.0.1:0"
READY_PREFIX = "listening on "
SETTLE_SECONDS = 0.5
STOP_TIMEOUT_SECONDS = 10.0


class ControlCost(NamedTuple):
    """Resources that one daemon uses without callers.

    :param idle_share: share of a core without changes.
    :param change_seconds: processor seconds per change of the table, including those of the
        writer, which runs in the same process.
    :param memory_bytes: resident memory added after all imports, including 80 server threads.
    :param table_bytes: size of the stored table.
    :param map_bytes: size of the stored shard map.
    """

    idle_share: float
    change_seconds: float
    memory_bytes: int
    table_bytes: int
    map_bytes: int


@contextlib.contextmanager
def standin(*arguments: str) -> Iterator[str]:
    """Run one of the project's stand-ins as a process on loopback and yield its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "auburncart", "standin", *arguments, "--address", LISTEN_ADDRESS],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line.startswith(READY_PREFIX):
            raise RuntimeError(f"the stand-in did not start: {line!r}")
        yield line.removeprefix(READY_PREFIX).strip()
    finally:
        process.terminate()
        process.wait(STOP_TIMEOUT_SECONDS)


def transport_slope() -> Slope:
    """Return the cost of requests of 1 to 64 sub-queries over one persistent connection."""
    shards = [f"shard-{number:02}" for number in range(max(BATCH_SIZES))]
    with standin("upstream", "--shards", ",".join(shards)) as address:
        points = asyncio.run(_measure_batches(address, shards))
    return fit("request to an upstream by HTTP", "sub-queries", "us of a core", points)


def control_cost() -> ControlCost:
    """Return the cost of a daemon that watches the store by HTTP, idle and as the table changes."""
    with standin("platform") as address:
        return asyncio.run(_measure_control(address))


async def _measure_batches(address: str, shards: list[str]) -> list[Point]:
    connection = await HttpUpstreamDialer().connect(Replica(address, "dc1"))
    points = []
    for size in BATCH_SIZES:
        before = time.process_time()
        for number in range(REQUESTS):
            deadline = asyncio.get_running_loop().time() + 5.0
            sub_queries = tuple(
                SubQuery(f"r{number}.{shard}", shard, "s1", "search", "net", deadline)
                for shard in shards[:size]
            )
            reply = await connection.search(Batch(f"b{size}-{number}", "s1", deadline, sub_queries))
            if len(reply.answers) != size:
                raise RuntimeError(f"{len(reply.answers)} of {size} sub-queries answered")
        cpu_seconds = time.process_time() - before
        points.append(Point(size, cpu_seconds / REQUESTS * MICROSECONDS_PER_SECOND))
    await connection.close()
    return points


async def _measure_control(platform: str) -> ControlCost:
    store = HttpStore(platform)
    shard_map, table = make_map(SITE_REPLICAS // 2, 2), make_table(SITE_ROWS)
    await store.write(SHARD_MAP, shard_map, "")
    etag = await store.write(TABLE, table, "")
    settings = EntrySettings("vm1", "dc1", LISTEN_ADDRESS, LISTEN_ADDRESS, platform, log_file="")
    initial_bytes = _resident_bytes()
    entry = Entry(settings)
    await entry.start()
    await entry.wait_until_ready()
    await asyncio.sleep(SETTLE_SECONDS)
    idle_share = await _measure_idle()
    before = time.process_time()
    start = time.monotonic()
    for number in range(CHANGES):
        etag = await store.write(TABLE, make_table(SITE_ROWS, number + 2), etag)
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    cpu_seconds = time.process_time() - before - idle_share * (time.monotonic() - start)
    added_bytes = _resident_bytes() - initial_bytes
    await entry.stop()
    store.close()
    return ControlCost(
        idle_share,
        max(0.0, cpu_seconds) / CHANGES,
        added_bytes,
        len(encode_value(TABLE, table)),
        len(encode_value(SHARD_MAP, shard_map)),
    )


async def _measure_idle() -> float:
    before, start = time.process_time(), time.monotonic()
    await asyncio.sleep(IDLE_SECONDS)
    return (time.process_time() - before) / (time.monotonic() - start)


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
