"""``auburncart standin``: runs the project's stand-ins as processes."""

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Annotated

from cyclopts import App, Parameter

from auburncart.standins.platform import PlatformModel
from auburncart.standins.server import PlatformApplication, StandinServer, UpstreamApplication
from auburncart.standins.site import DEMO_TABLE, demo_hits, make_shard_map, publish
from auburncart.standins.upstream import UpstreamModel, UpstreamProfile
from auburncart.transport.loop import LoopBridge

__all__ = ["app"]

PLATFORM_THREADS = 64
CONTROL_THREADS = 4

app = App(name="standin", help="Run a stand-in for the platform or an upstream.")


@app.command
def platform(
    *,
    address: str,
    upstreams: Annotated[str, Parameter(help="file of lines ADDRESS DATA_CENTRE SHARD,SHARD")] = "",
) -> int:
    """Run a platform: an object store with versions, conditional writes and watches.

    :param address: ``IP:port`` to listen on.
    :param upstreams: file of the upstreams to publish in an initial shard map.
    """
    asyncio.run(_platform(address, upstreams))
    return 0


@app.command
def upstream(
    *,
    address: str,
    shards: str,
    snapshot: str = "s1",
    slots: int = 2,
    connections: int = 25,
    seed: int = 0,
) -> int:
    """Run an upstream that serves some shards.

    :param address: ``IP:port`` to listen on.
    :param shards: names of its shards, separated by commas.
    :param snapshot: snapshot that it serves.
    :param slots: number of requests that it runs concurrently.
    :param connections: maximum number of connections.
    :param seed: seed of its random service times.
    """
    hits = {shard: demo_hits(shard) for shard in shards.split(",")}
    profile = UpstreamProfile(address, snapshot, hits, slots, connections)
    asyncio.run(_upstream(profile, seed))
    return 0


async def _platform(address: str, upstreams: str) -> None:
    model = PlatformModel()
    if upstreams:
        with open(upstreams, encoding="utf-8") as lines:  # noqa: ASYNC230
            entries = [line.split() for line in lines if line.strip()]
        profiles = [
            UpstreamProfile(upstream_address, "s1", dict.fromkeys(shards.split(","), ()))
            for upstream_address, _, shards in entries
        ]
        shard_map = make_shard_map(profiles, [entry[1] for entry in entries], batch_limit=16)
        await publish(model, shard_map, DEMO_TABLE)
    application = PlatformApplication(model, LoopBridge(asyncio.get_running_loop()))
    await _serve(
        StandinServer(address, application, PLATFORM_THREADS), lambda: model.set_outage(True)
    )


async def _upstream(profile: UpstreamProfile, seed: int) -> None:
    bridge = LoopBridge(asyncio.get_running_loop())
    application = UpstreamApplication(UpstreamModel(profile, seed), bridge, exits=True)
    await _serve(
        StandinServer(profile.address, application, profile.max_connections + CONTROL_THREADS)
    )


async def _serve(server: StandinServer, before_stop: Callable[[], None] = lambda: None) -> None:
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    server.start()
    sys.stdout.write(f"listening on {server.address}\n")
    sys.stdout.flush()
    await stopped.wait()
    before_stop()
    await asyncio.to_thread(server.stop)
