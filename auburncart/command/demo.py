"""``auburncart demo``: an entry VM with embedded stand-ins in one process on loopback."""

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from auburncart.command.request import post
from auburncart.daemon.entry import Entry
from auburncart.exception import AuburncartError
from auburncart.settings.entry import EntrySettings
from auburncart.standins.platform import PlatformModel
from auburncart.standins.server import PlatformApplication, StandinServer, UpstreamApplication
from auburncart.standins.site import DEMO_TABLE, demo_hits, make_shard_map, publish
from auburncart.standins.upstream import UpstreamModel, UpstreamProfile
from auburncart.transport.loop import LoopBridge

__all__ = ["demo", "demo_site"]

SHARDS = 52
UPSTREAMS = 8
REPLICAS = 2
MAX_CONNECTIONS = 8
BATCH_LIMIT = 16
PLATFORM_THREADS = 16
CONTROL_THREADS = 2
READY_TIMEOUT_SECONDS = 10.0
DEADLINE_MS = 3000
OK = 200


def demo(*, once: bool = False) -> int:
    """Run an entry VM with a platform and upstreams on loopback, all in this process.

    :param once: run one search over HTTP, print its answer as JSON and exit.
    """
    asyncio.run(_demo(once))
    return 0


async def _demo(once: bool) -> None:
    async with demo_site() as address:
        if once:
            sys.stdout.write(await _search_once(address) + "\n")
            return
        sys.stdout.write(f"entry VM on http://{address}/v1, stop with Ctrl-C\n")
        sys.stdout.write(f"auburncart search net --to {address} --customer ladera --kind closure\n")
        sys.stdout.flush()
        await asyncio.Event().wait()


@asynccontextmanager
async def demo_site() -> AsyncIterator[str]:
    """Run the demonstration site and yield the entry VM's general address."""
    bridge = LoopBridge(asyncio.get_running_loop())
    platform = PlatformModel()
    platform_server = StandinServer(
        "127.0.0.1:0", PlatformApplication(platform, bridge), PLATFORM_THREADS
    )
    platform_server.start()
    servers = [platform_server]
    profiles = []
    for number in range(UPSTREAMS):
        profile, server = _start_upstream(number, bridge)
        profiles.append(profile)
        servers.append(server)
    await publish(platform, make_shard_map(profiles, ["dc1"] * UPSTREAMS, BATCH_LIMIT), DEMO_TABLE)
    entry = Entry(_settings(platform_server.address))
    await entry.start()
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        await entry.wait_until_ready()
    try:
        yield entry.addresses[0]
    finally:
        await entry.stop()
        platform.set_outage(True)
        await asyncio.gather(*(asyncio.to_thread(server.stop) for server in servers))


def _start_upstream(number: int, bridge: LoopBridge) -> tuple[UpstreamProfile, StandinServer]:
    shards = [f"shard-{index:02}" for index in range(SHARDS) if _holds(number, index)]
    profile = UpstreamProfile(
        f"upstream-{number}", "s1", {name: demo_hits(name) for name in shards}
    )
    application = UpstreamApplication(UpstreamModel(profile, number), bridge)
    server = StandinServer("127.0.0.1:0", application, MAX_CONNECTIONS + CONTROL_THREADS)
    server.start()
    return profile._replace(address=server.address, max_connections=MAX_CONNECTIONS), server


def _holds(upstream: int, shard: int) -> bool:
    return any((shard + replica) % UPSTREAMS == upstream for replica in range(REPLICAS))


def _settings(platform_address: str) -> EntrySettings:
    return EntrySettings(
        name="demo-vm",
        data_centre="dc1",
        general_address="127.0.0.1:0",
        urgent_address="127.0.0.1:0",
        platform_address=platform_address,
        general_threads=8,
        urgent_threads=4,
        connecting_vms=1,
        log_file="",
    )


async def _search_once(address: str) -> str:
    body: dict[str, object] = {
        "customer": "ladera",
        "kind": "closure",
        "query": "net",
        "deadline_ms": DEADLINE_MS,
    }
    status, text = await asyncio.to_thread(post, address, "/v1/search", body, DEADLINE_MS / 1000.0)
    if status != OK:
        raise AuburncartError(text, step="search", peer=address)
    return text
