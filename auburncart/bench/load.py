"""Open-loop load of searches over HTTP: arrivals do not wait for answers.

Latency counts from the time at which a request was due, so that a slow answer cannot hide the
queueing delay of later requests. Duration and number of requests are bounded before the run.
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

MAX_THREADS = 400
TIMEOUT_MARGIN_SECONDS = 10.0
MAX_REQUESTS = 200_000
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
OK = 200


class Stream(NamedTuple):
    """Requests of one kind.

    :param address: ``"IP:port"`` on which an entry VM listens.
    :param customer: customer on whose account they run.
    :param kind: kind of work.
    :param rate: requests per second.
    :param deadline_ms: deadline of each request in milliseconds.
    """

    address: str
    customer: str
    kind: str
    rate: float
    deadline_ms: int


class LoadFigures(NamedTuple):
    """Outcomes and latency of one stream.

    :param stream: the stream.
    :param offered: number of requests.
    :param outcomes: number of requests by ``complete``, ``partial``, status and reason, or the
        name of an error.
    :param in_time: share of all requests that were answered in full within their deadline.
    :param p50_ms: median latency of all requests, in milliseconds.
    :param p99_ms: 99th percentile of the latency.
    :param max_ms: maximum latency.
    """

    stream: Stream
    offered: int
    outcomes: dict[str, int]
    in_time: float
    p50_ms: float
    p99_ms: float
    max_ms: float


class _StreamRecorder:
    """Records the outcomes and latencies of one stream."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.in_time = 0
        self.histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def add(self, outcome: str, seconds: float, deadline_ms: int) -> None:
        self.outcomes[outcome] += 1
        self.in_time += outcome == "complete" and seconds * 1000.0 <= deadline_ms
        self.histogram.record_value(min(MAX_MICROSECONDS, max(1, int(seconds * 1e6))))

    def figures(self, stream: Stream) -> LoadFigures:
        offered = sum(self.outcomes.values())
        quantiles = [
            self.histogram.get_value_at_percentile(percentile) / 1000.0
            for percentile in (50, 99, 100)
        ]
        share = self.in_time / offered if offered else 0.0
        return LoadFigures(stream, offered, dict(self.outcomes), share, *quantiles)


async def run_load(streams: list[Stream], seconds: float, seed: int) -> list[LoadFigures]:
    """Send all streams, wait for the last answer and return the figures of each stream.

    :param seconds: time during which requests arrive.
    :param seed: seed of the arrival times.
    :raises ValueError: the run would send more than ``MAX_REQUESTS`` requests.
    """
    if sum(stream.rate for stream in streams) * seconds > MAX_REQUESTS:
        raise ValueError(f"more than {MAX_REQUESTS} requests in one run")
    pool = urllib3.PoolManager(maxsize=MAX_THREADS, retries=False)
    with ThreadPoolExecutor(MAX_THREADS) as threads:
        runs = [
            _run_stream(stream, seconds, random.Random(f"{seed}/{number}"), pool, threads)
            for number, stream in enumerate(streams)
        ]
        recorders = await asyncio.gather(*runs)
    pool.clear()
    return [recorder.figures(stream) for recorder, stream in zip(recorders, streams, strict=True)]


async def _run_stream(
    stream: Stream,
    seconds: float,
    rng: random.Random,
    pool: urllib3.PoolManager,
    threads: ThreadPoolExecutor,
) -> _StreamRecorder:
    loop = asyncio.get_running_loop()
    recorder = _StreamRecorder()
    pending: list[asyncio.Future[None]] = []
    due = loop.time()
    end = due + seconds

    async def send(due_time: float) -> None:
        outcome = await loop.run_in_executor(threads, _send, stream, pool)
        recorder.add(outcome, loop.time() - due_time, stream.deadline_ms)

    while (due := due + rng.expovariate(stream.rate)) < end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        pending.append(asyncio.ensure_future(send(due)))
    await asyncio.gather(*pending)
    return recorder


def _send(stream: Stream, pool: urllib3.PoolManager) -> str:
    body = {
        "customer": stream.customer,
        "kind": stream.kind,
        "query": "net",
        "deadline_ms": stream.deadline_ms,
    }
    url = f"http://{stream.address}/v1/search"
    timeout = stream.deadline_ms / 1000.0 + TIMEOUT_MARGIN_SECONDS
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
        return "no reason given"
