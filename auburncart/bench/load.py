"""An open-loop load of searches by HTTP: arrivals do not wait for answers.

Latency counts from the time at which a request was due, so a slow answer cannot hide the wait of
those behind it. Time and number of requests are bounded before the run begins.
"""

import asyncio
import random
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec
import urllib3
from hdrh.histogram import HdrHistogram
from urllib3.exceptions import HTTPError

__all__ = ["LoadFigures", "Stream", "run_load"]

THREADS = 400
SLACK_SECONDS = 10.0
MOST_REQUESTS = 200_000
MOST_MICROSECONDS = 600_000_000
DIGITS = 3
OK = 200


class Stream(NamedTuple):
    """Requests of one kind.

    :param address: ``"IP:port"`` of an entry VM's port.
    :param customer: customer on whose account they run.
    :param kind: kind of work.
    :param rate: requests a second.
    :param deadline_ms: deadline of each in milliseconds.
    """

    address: str
    customer: str
    kind: str
    rate: float
    deadline_ms: int


class LoadFigures(NamedTuple):
    """What came of one stream.

    :param stream: the stream.
    :param offered: number of requests.
    :param outcomes: number by ``complete``, ``partial``, status and reason, or an error's name.
    :param in_time: share of all that were answered in full within their deadline.
    :param p50_ms: median latency of all requests, in milliseconds.
    :param p99_ms: 99th percentile.
    :param longest_ms: the longest.
    """

    stream: Stream
    offered: int
    outcomes: dict[str, int]
    in_time: float
    p50_ms: float
    p99_ms: float
    longest_ms: float


class _Tally:
    """Outcomes and latencies of one stream."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.in_time = 0
        self.histogram = HdrHistogram(1, MOST_MICROSECONDS, DIGITS)

    def add(self, outcome: str, seconds: float, deadline_ms: int) -> None:
        self.outcomes[outcome] += 1
        self.in_time += outcome == "complete" and seconds * 1000.0 <= deadline_ms
        self.histogram.record_value(min(MOST_MICROSECONDS, max(1, int(seconds * 1e6))))

    def figures(self, stream: Stream) -> LoadFigures:
        offered = sum(self.outcomes.values())
        quantiles = [self.histogram.get_value_at_percentile(at) / 1000.0 for at in (50, 99, 100)]
        share = self.in_time / offered if offered else 0.0
        return LoadFigures(stream, offered, dict(self.outcomes), share, *quantiles)


async def run_load(streams: list[Stream], seconds: float, seed: int) -> list[LoadFigures]:
    """Send all streams for some seconds and wait for the last answer.

    :param seconds: time in which requests arrive.
    :param seed: seed of the arrival times.
    :raises ValueError: more requests would be sent than one run may.
    """
    if sum(stream.rate for stream in streams) * seconds > MOST_REQUESTS:
        raise ValueError(f"more than {MOST_REQUESTS} requests in one run")
    pool = urllib3.PoolManager(maxsize=THREADS, retries=False)
    with ThreadPoolExecutor(THREADS) as threads:
        runs = [
            _run_stream(stream, seconds, random.Random(f"{seed}/{number}"), pool, threads)
            for number, stream in enumerate(streams)
        ]
        tallies = await asyncio.gather(*runs)
    pool.clear()
    return [tally.figures(stream) for tally, stream in zip(tallies, streams, strict=True)]


async def _run_stream(
    stream: Stream,
    seconds: float,
    rng: random.Random,
    pool: urllib3.PoolManager,
    threads: ThreadPoolExecutor,
) -> _Tally:
    loop = asyncio.get_running_loop()
    tally = _Tally()
    waiting: list[asyncio.Future[None]] = []
    due = loop.time()
    end = due + seconds

    async def send(at: float) -> None:
        outcome = await loop.run_in_executor(threads, _send, stream, pool)
        tally.add(outcome, loop.time() - at, stream.deadline_ms)

    while (due := due + rng.expovariate(stream.rate)) < end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        waiting.append(asyncio.ensure_future(send(due)))
    await asyncio.gather(*waiting)
    return tally


def _send(stream: Stream, pool: urllib3.PoolManager) -> str:
    body = {
        "customer": stream.customer,
        "kind": stream.kind,
        "query": "net",
        "deadline_ms": stream.deadline_ms,
    }
    url = f"http://{stream.address}/v1/search"
    timeout = stream.deadline_ms / 1000.0 + SLACK_SECONDS
    try:
        response = pool.request("POST", url, json=body, timeout=timeout)
    except HTTPError as error:
        return type(error).__name__
    if response.status != OK:
        return f"{response.status} {_reason(response.data)}"
    complete = msgspec.json.decode(response.data)["coverage"]["complete"]
    return "complete" if complete else "partial"


def _reason(body: bytes) -> str:
    try:
        return msgspec.json.decode(body)["reason"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "without a reason"
