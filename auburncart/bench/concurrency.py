"""What one event loop with a thread for each connection costs, against threads throughout.

Both ways send the same sub-queries, one in each request, over the same number of kept connections
to an upstream on loopback. Processor time is that of this process only.
"""

import asyncio
import queue
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from auburncart.protocol import upstream as protocol
from auburncart.state.search import SubQuery
from auburncart.state.upstream import Batch
from auburncart.transport.http import HttpConnection

__all__ = ["ConcurrencyCost", "measure_loop", "measure_threads"]

CONNECT_SECONDS = 2.0
CALL_SECONDS = 10.0
HEADERS = {"Content-Type": "application/json"}


class ConcurrencyCost(NamedTuple):
    """Cost of one way.

    :param way: ``loop`` or ``threads``.
    :param sub_queries: number sent and answered.
    :param processor_ms: processor time of this process for each, in milliseconds.
    :param wall_ms: time for each, in milliseconds.
    """

    way: str
    sub_queries: int
    processor_ms: float
    wall_ms: float


def measure_loop(address: str, shard: str, connections: int, count: int) -> ConcurrencyCost:
    """Send from one loop: a task for each connection hands its calls to a thread of its own."""
    return _measure("loop", count, lambda: asyncio.run(_loop(address, shard, connections, count)))


def measure_threads(address: str, shard: str, connections: int, count: int) -> ConcurrencyCost:
    """Send from threads alone, which share a queue and a lock around what is decided."""
    return _measure("threads", count, lambda: _threads(address, shard, connections, count))


def _measure(way: str, count: int, run: Callable[[], None]) -> ConcurrencyCost:
    wall, processor = time.perf_counter(), time.process_time()
    run()
    processor_ms = (time.process_time() - processor) * 1000.0 / count
    wall_ms = (time.perf_counter() - wall) * 1000.0 / count
    return ConcurrencyCost(way, count, processor_ms, wall_ms)


def _batch(shard: str, number: int) -> Batch:
    sub = SubQuery(f"q{number}", shard, "s1", "closure", "net", CALL_SECONDS)
    return Batch(f"c-{number}", "s1", CALL_SECONDS, (sub,))


def _check(batch: Batch, body: bytes, address: str) -> None:
    reply = protocol.decode_batch_reply(body, batch, address)
    if len(reply.answers) != len(batch.sub_queries):
        raise RuntimeError(f"{address} did not answer {batch.request_id}: {reply.failures}")


async def _loop(address: str, shard: str, connections: int, count: int) -> None:
    numbers: asyncio.Queue[int] = asyncio.Queue()
    for number in range(count):
        numbers.put_nowait(number)

    async def serve() -> None:
        connection = HttpConnection(address, CONNECT_SECONDS, protocol.MAX_REPLY_BYTES)
        await connection.connect()
        while not numbers.empty():
            batch = _batch(shard, numbers.get_nowait())
            path, body = protocol.encode_batch(batch, 0.0)
            reply = await connection.request("POST", path, body, HEADERS, CALL_SECONDS)
            _check(batch, reply.body, address)
        connection.close()

    await asyncio.gather(*(serve() for _ in range(connections)))


def _threads(address: str, shard: str, connections: int, count: int) -> None:
    numbers: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in range(count):
        numbers.put(number)
    decisions = threading.Lock()

    def serve() -> None:
        connection = HttpConnection(address, CONNECT_SECONDS, protocol.MAX_REPLY_BYTES)
        connection.connect_here()
        while True:
            with decisions:
                if numbers.empty():
                    break
                number = numbers.get()
            batch = _batch(shard, number)
            path, body = protocol.encode_batch(batch, 0.0)
            reply = connection.request_here("POST", path, body, HEADERS, CALL_SECONDS)
            with decisions:
                _check(batch, reply.body, address)
        connection.close()

    threads = [threading.Thread(target=serve) for _ in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
