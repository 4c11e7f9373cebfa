"""One run: an environment, a period of faults, a period without them, and the checks."""

import asyncio
import tempfile
from pathlib import Path
from typing import NamedTuple

from auburncart.daemon.tests.soak.checker import SETTLING_SECONDS, check_guarantees
from auburncart.daemon.tests.soak.environment import Environment
from auburncart.daemon.tests.soak.faults import FAULTS, Fault, inject

__all__ = ["Result", "soak"]

FAULT_FREE_SECONDS = 2.0  # after the settling time; requests must be served again in it


class Result(NamedTuple):
    """The result of a run.

    :param violations: guarantees that were violated.
    :param requests: number of requests sent.
    :param served: number of requests answered with status 200.
    :param late_ticks: how often this process itself was late.
    """

    seed: int
    violations: list[str]
    requests: int
    served: int
    runs: int
    late_ticks: int
    faults: list[str]


async def soak(
    seed: int,
    seconds: float,
    vms: int = 4,
    folder: Path | None = None,
    kinds: tuple[type[Fault], ...] = FAULTS,
) -> Result:
    """Run one seed.

    :param seconds: period in which new faults begin.
    :param folder: folder for the logs, by default a temporary one.
    """
    with tempfile.TemporaryDirectory() as temporary:
        environment = Environment(seed, vms, folder or Path(temporary))
        try:
            await environment.start()
            injected = await inject(environment, seconds, kinds)
            fault_free_from = environment.time() + SETTLING_SECONDS
            await asyncio.sleep(SETTLING_SECONDS + FAULT_FREE_SECONDS)
        finally:
            await environment.close()
        history = environment.history
        served = sum(one.status == 200 for one in history.exchanges.values())
        runs = sum(arrival.ran for arrival in history.arrivals)
        violations = check_guarantees(environment, fault_free_from)
        if violations:
            # The fault periods show whether a request may have been delayed.
            violations += [f"fault period: {period}" for period in history.fault_periods]
        return Result(
            seed, violations, len(history.exchanges), served, runs, environment.late_ticks, injected
        )
