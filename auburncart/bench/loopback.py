"""What the real transport and the real daemon spend, on loopback, bounded in count and time."""

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
MICROSECONDS = 1e6
IDLE_SECONDS = 4.0
CHANGES = 20
CHANGE_INTERVAL_SECONDS = 0.1
SITE_REPLICAS = 106
SITE_ROWS = 10
LISTEN = "127.0.0.1:0"
READY = "listening on "
SETTLE_SECONDS = 0.5
STOP_SECONDS = 10.0


class ControlCost(NamedTuple):
    """What one daemon spends without any caller.

    :param idle_share: share of a core without any change.
    :param change_seconds: seconds of a core for each change of the table; those of the writer,
        which is in the same process, are counted in.
    :param memory_bytes: resident memory added after all imports, 80 server threads included.
    :param table_bytes: size of the table's object.
    :param map_bytes: size of the shard map's object.
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
        [sys.executable, "-m", "auburncart", "standin", *arguments, "--address", LISTEN],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line.startswith(READY):
            raise RuntimeError(f"the stand-in did not start: {line!r}")
        yield line.removeprefix(READY).strip()
    finally:
        process.terminate()
        process.wait(STOP_SECONDS)


def transport_slope() -> Slope:
    """Measure requests of 1 to 64 sub-queries over one kept connection."""
    shards = [f"shard-{number:02}" for number in range(max(BATCH_SIZES))]
    with standin("upstream", "--shards", ",".join(shards)) as address:
        points = asyncio.run(_batch_costs(address, shards))
    return fit("request to an upstream by HTTP", "sub-queries", "us of a core", points)


def control_cost() -> ControlCost:
    """Measure a daemon that follows the store over HTTP, idle and under changes of the table."""
    with standin("platform") as address:
        return asyncio.run(_control_cost(address))


async def _batch_costs(address: str, shards: list[str]) -> list[Point]:
    connection = await HttpUpstreamDialer().connect(Replica(address, "dc1"))
    points = []
    for size in BATCH_SIZES:
        before = time.process_time()
        for number in range(REQUESTS):
            deadline = asyncio.get_running_loop().time() + 5.0
            subs = tuple(
                SubQuery(f"r{number}.{shard}", shard, "s1", "search", "net", deadline)
                for shard in shards[:size]
            )
            reply = await connection.search(Batch(f"b{size}-{number}", "s1", deadline, subs))
            if len(reply.answers) != size:
                raise RuntimeError(f"{len(reply.answers)} of {size} sub-queries answered")
        spent = time.process_time() - before
        points.append(Point(size, spent / REQUESTS * MICROSECONDS))
    await connection.close()
    return points


async def _control_cost(platform: str) -> ControlCost:
    store = HttpStore(platform)
    shard_map, table = make_map(SITE_REPLICAS // 2, 2), make_table(SITE_ROWS)
    await store.write(SHARD_MAP, shard_map, "")
    etag = await store.write(TABLE, table, "")
    settings = EntrySettings("vm1", "dc1", LISTEN, LISTEN, platform, log_file="")
    memory = _resident_bytes()
    entry = Entry(settings)
    await entry.start()
    await entry.wait_until_ready()
    await asyncio.sleep(SETTLE_SECONDS)
    idle = await _idle_share()
    before = time.process_time()
    began = time.monotonic()
    for number in range(CHANGES):
        etag = await store.write(TABLE, make_table(SITE_ROWS, number + 2), etag)
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    spent = time.process_time() - before - idle * (time.monotonic() - began)
    added = _resident_bytes() - memory
    await entry.stop()
    store.close()
    return ControlCost(
        idle,
        max(0.0, spent) / CHANGES,
        added,
        len(encode_value(TABLE, table)),
        len(encode_value(SHARD_MAP, shard_map)),
    )


async def _idle_share() -> float:
    before, began = time.process_time(), time.monotonic()
    await asyncio.sleep(IDLE_SECONDS)
    return (time.process_time() - before) / (time.monotonic() - began)


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
