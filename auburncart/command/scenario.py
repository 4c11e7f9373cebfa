"""``auburncart scenario``: runs a scenario on virtual time."""

import asyncio
import sys
from pathlib import Path

import async_solipsism

from auburncart.scenario import Runner, parse
from auburncart.scenario.virtual import VirtualTimeEnvironment

__all__ = ["run_text", "scenario"]


def scenario(file: Path, *, golden: bool = False) -> int:
    """Run a scenario on virtual time and print its transcript; needs the ``test`` extra.

    :param file: the scenario, one command per line; docs/SCENARIOS.md lists all commands.
    :param golden: print the transcript without times, in the form of the scenario's golden file.
    """
    runner = run_text(file.read_text(encoding="utf-8"))
    sys.stdout.write(runner.untimed_transcript if golden else runner.transcript)
    return 0


def run_text(text: str) -> Runner:
    """Run the text of a scenario and return the finished runner.

    :raises ScenarioError: the text is invalid.
    :raises ExpectationError: an expectation does not hold.
    """
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as loop:
        return loop.run(_run(text))


async def _run(text: str) -> Runner:
    runner = Runner(VirtualTimeEnvironment())
    await runner.run(parse(text))
    return runner
