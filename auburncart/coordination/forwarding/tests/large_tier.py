"""A tier in which a tenth of the replicas leave, ask for pauses or name limits at once.

``python -m auburncart.coordination.forwarding.tests.large_tier 200 216`` prints the figures of 200
VMs and 216 shards.
"""

import asyncio
import random
import sys
from typing import NamedTuple

import async_solipsism

from auburncart.coordination.forwarding.tests.gateway_fixture import request
from auburncart.coordination.forwarding.tests.test_request_limit import most_in_window
from auburncart.coordination.forwarding.tests.tier_fixture import Tier
from auburncart.standins.replicas import Arrival, shed_reply
from auburncart.state.forward import ForwardAnswer, MergedAnswer

__all__ = ["LargeTierFigures", "run_large_tier"]

LOCATIONS = (("dc1", "dc2"), ("dc2", "dc4"), ("dc4", "dc1"))
START_SECONDS = 20.0
SEARCHES_PER_SECOND = 45.0
LIMIT = 8.0
PAUSE_SECONDS = 5.0
ANNOUNCING_SHARE = 30  # of the replicas, one in so many announces each kind
TOLD_SECONDS = 0.5
DRAIN_SECONDS = 3.0


class LargeTierFigures(NamedTuple):
    """What callers and replicas saw.

    :param whole: share of the searches answered with all parts.
    :param credit: mean square of the share of the parts in an answer.
    :param most_limited: most requests within 4 s at a replica with a limit, of VMs that were told.
    :param most_paused: most requests of one VM at a replica in a pause that it was told.
    :param late_leaving: requests to a replica that leaves, later than 3 s after the VM was told.
    :param questions: questions between VMs for each search.
    """

    whole: float
    credit: float
    most_limited: int
    most_paused: int
    late_leaving: int
    questions: float


async def run_large_tier(vms: int, shards: int, seconds: float) -> LargeTierFigures:
    """Search with replicas that announce something, and return the figures."""
    third = vms // 3
    tier = Tier({"dc1": third, "dc2": third, "dc4": vms - 2 * third}, shards, LOCATIONS)
    for vm in tier.vms.values():
        vm.share_limits()
        vm.journal.record = lambda event: None  # type: ignore[method-assign]
    await tier.link()
    await asyncio.sleep(START_SECONDS)
    rng = random.Random(1)
    names = sorted(tier.replicas.models)
    rng.shuffle(names)
    count = max(1, len(names) // ANNOUNCING_SHARE)
    limited, pausing, leaving = (names[i * count : (i + 1) * count] for i in range(3))
    since = asyncio.get_running_loop().time()
    for name in limited:
        tier.replicas.models[name].request_limit = LIMIT
    for name in pausing:
        tier.replicas.models[name].reply = shed_reply
        tier.replicas.models[name].retry_after = PAUSE_SECONDS
    for name in leaving:
        tier.replicas.models[name].leaving = True
    tasks = []
    asked = list(tier.vms.values())
    for number in range(round(SEARCHES_PER_SECOND * seconds)):
        answer = rng.choice(asked).gateway.answer(request(number))
        tasks.append(asyncio.create_task(answer))
        await asyncio.sleep(1.0 / SEARCHES_PER_SECOND)
    answers = await asyncio.gather(*tasks)
    arrivals = [arrival for arrival in tier.arrivals if arrival.at >= since]
    return LargeTierFigures(
        sum(isinstance(one, MergedAnswer) and not one.missing for one in answers) / len(answers),
        sum(_credit(one, shards) for one in answers) / len(answers),
        max(most_in_window(arrivals, name, since) for name in limited),
        max(_most_paused(arrivals, name) for name in pausing),
        sum(_late(arrivals, name) for name in leaving),
        len(tier.questions) / len(answers),
    )


def _credit(answer: ForwardAnswer, shards: int) -> float:
    if not isinstance(answer, MergedAnswer):
        return 0.0
    return float(((shards - answer.missing) / shards) ** 2)


def _most_paused(arrivals: list[Arrival], name: str) -> int:
    began: dict[str, float] = {}
    early: dict[str, int] = {}
    for vm, at in ((item.vm, item.at) for item in arrivals if item.instance == name):
        if at - began.get(vm, -PAUSE_SECONDS) >= PAUSE_SECONDS:
            began[vm], early[vm] = at, 0
        elif at - began[vm] > TOLD_SECONDS:
            early[vm] += 1
    return max(early.values(), default=0)


def _late(arrivals: list[Arrival], name: str) -> int:
    told: dict[str, float] = {}
    late = 0
    for vm, at in ((item.vm, item.at) for item in arrivals if item.instance == name):
        late += at > told.setdefault(vm, at) + DRAIN_SECONDS
    return late


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        figures = runner.run(run_large_tier(int(sys.argv[1]), int(sys.argv[2]), 10.0))
    for name, value in figures._asdict().items():
        sys.stdout.write(f"{name}: {value:.3f}\n")
