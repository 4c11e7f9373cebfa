"""Measures urgent searches beside a high load of archive searches, on processes over loopback.

Run as ``python -m auburncart.scenario.tests.flood [SECONDS]``. Two entry VMs share 40 upstreams of
20 shards. The load goes to one VM, each stream from its own process: 10 urgent searches per second
to the urgent port, archive searches to the general port.
"""

import asyncio
import os
import sys

from auburncart.scenario.language import parse
from auburncart.scenario.tests.real import ProcessEnvironment

SITE = "site shards=20 replicas=2 vms=2 data_centres=1 batch=16"
ARCHIVE_RATES = (0, 50, 200, 400)  # archive searches per second, from two processes
DEFAULT_SECONDS = "8"


async def run_load(stream: str, seconds: str, seed: int) -> str:
    """Run the load generator in its own process and return its output."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "auburncart", "bench", "load", stream),
        *("--seconds", seconds, "--seed", str(seed)),
        env={**os.environ, "PYTHONPATH": os.getcwd()},
        stdout=asyncio.subprocess.PIPE,
    )
    return (await process.communicate())[0].decode().strip()


async def main(seconds: str) -> None:
    environment = ProcessEnvironment()
    try:
        for command in parse(SITE):
            await environment.act(command)
        general, urgent = environment.ports("vm1")
        for rate in ARCHIVE_RATES:
            streams = [f"{urgent},ladera,closure,10,1000"]
            streams += [f"{general},ladera,archive,{rate / 2},2000"] * (2 if rate else 0)
            outputs = await asyncio.gather(
                *(run_load(stream, seconds, seed) for seed, stream in enumerate(streams, start=1))
            )
            sys.stdout.write(f"archive {rate} a second\n" + "\n".join(outputs) + "\n")
    finally:
        await environment.close()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1] if len(sys.argv) > 1 else DEFAULT_SECONDS))
