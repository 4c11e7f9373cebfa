"""Uses the decisions without HTTP: a front end of its own over fakes, on virtual time.

Run it as ``python examples/own_front_end.py``; it needs the ``test`` extra for the virtual clock.
"""

import asyncio
import sys

import async_solipsism

from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.policies import baseline_policies
from auburncart.standins.fakes import FakeDialer, FakeStore
from auburncart.standins.platform import PlatformModel
from auburncart.standins.site import DEMO_TABLE, demo_hits, make_shard_map, publish
from auburncart.standins.upstream import UpstreamModel, UpstreamShape
from auburncart.state.search import SearchRequest


async def main() -> None:
    """Ask three shards, one of which is down."""
    shapes = [
        UpstreamShape(
            f"10.0.0.{number}:80", "s1", {f"shard-{number}": demo_hits(f"shard-{number}")}
        )
        for number in range(3)
    ]
    models = {shape.address: UpstreamModel(shape) for shape in shapes}
    platform = PlatformModel()
    await publish(platform, make_shard_map(shapes, ["dc1"] * 3, 1), DEMO_TABLE)
    node = Node(
        "vm1",
        "dc1",
        FakeStore(platform),
        FakeDialer(models),
        baseline_policies(max_concurrent=8, vms=1),
        NullObserver(),
    )
    node.start()
    await asyncio.sleep(0.1)
    models["10.0.0.1:80"].kill()
    deadline = asyncio.get_running_loop().time() + 0.5
    request = SearchRequest("r1", "ladera", "closure", "net", deadline)
    answer = (await node.searches.search(request)).ok
    coverage = answer.coverage
    sys.stdout.write(f"{coverage.answered} of {coverage.asked} shards from {answer.snapshot}\n")
    for gap in coverage.missing:
        sys.stdout.write(f"missing {gap.shard}: {gap.step.value} {gap.peer}: {gap.reason}\n")
    await node.stop()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(main())
