"""One run: a world, some seconds of faults, a calm end, and the judgement."""

import asyncio
import tempfile
from pathlib import Path
from typing import NamedTuple

from auburncart.daemon.tests.soak.faults import FAULTS, Fault, play
from auburncart.daemon.tests.soak.promises import SETTLING_SECONDS, judge
from auburncart.daemon.tests.soak.world import World

__all__ = ["Result", "soak"]

CALM_SECONDS = 2.0  # in which all must be served again, after the settling time


class Result(NamedTuple):
    """How a run went.

    :param broken: promises that were broken.
    :param requests: number of requests sent.
    :param served: number of those that were answered with success.
    :param lags: how often the soak's own process was late.
    """

    seed: int
    broken: list[str]
    requests: int
    served: int
    runs: int
    lags: int
    faults: list[str]


async def soak(
    seed: int,
    seconds: float,
    vms: int = 4,
    folder: Path | None = None,
    kinds: tuple[type[Fault], ...] = FAULTS,
) -> Result:
    """Play one seed.

    :param seconds: for how long new faults begin.
    :param folder: where logs are kept; a temporary one if it is left out.
    """
    with tempfile.TemporaryDirectory() as temporary:
        world = World(seed, vms, folder or Path(temporary))
        try:
            await world.start()
            played = await play(world, seconds, kinds)
            calm_from = world.time() + SETTLING_SECONDS
            await asyncio.sleep(SETTLING_SECONDS + CALM_SECONDS)
        finally:
            await world.close()
        ledger = world.ledger
        served = sum(one.status == 200 for one in ledger.exchanges.values())
        runs = sum(arrival.ran for arrival in ledger.arrivals)
        broken = judge(world, calm_from)
        if broken:
            # The troubles tell whether a request was held up on its way.
            broken += [f"trouble: {span}" for span in ledger.spans]
        return Result(seed, broken, len(ledger.exchanges), served, runs, world.lags, played)
