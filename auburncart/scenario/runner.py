"""Runs a scenario on a world and writes down the session."""

import asyncio

from auburncart.exception import AuburncartError
from auburncart.scenario.environment import Environment, Outcome
from auburncart.scenario.language import Command

__all__ = ["ExpectationError", "Runner"]

STEP_SECONDS = 0.05


class ExpectationError(AuburncartError):
    """A scenario found something else than it expects."""


class Runner:
    """One run of one scenario.

    :param world: what it acts on.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._requests: dict[str, asyncio.Task[Outcome]] = {}
        self._transcript: list[tuple[float, str]] = []

    @property
    def transcript(self) -> str:
        """All commands with their times in seconds and their outcomes, a line each."""
        return "".join(f"{time:8.3f} {line}\n" for time, line in self._transcript)

    @property
    def untimed_transcript(self) -> str:
        """The session without its times, as golden files hold it."""
        return "".join(f"{line}\n" for _, line in self._transcript)

    async def run(self, commands: list[Command]) -> None:
        """Run all commands in turn, and end the world.

        :raises ExpectationError: an expectation does not hold.
        """
        try:
            for command in commands:
                self._write(command.text)
                await self._run(command)
        finally:
            for task in self._requests.values():
                task.cancel()
            await self._environment.close()

    async def _run(self, command: Command) -> None:
        if command.verb in ("search", "order"):
            await self._request(command)
        elif command.verb == "expect":
            await self._expect(command)
        elif command.verb == "wait":
            await asyncio.sleep(float(command.words[0]))
        else:
            await self._environment.act(command)

    async def _request(self, command: Command) -> None:
        send = self._environment.search if command.verb == "search" else self._environment.order
        name = command.options.get("as", f"line{command.line}")
        task = asyncio.ensure_future(send(command))
        self._requests[name] = task
        if command.options.get("wait", "yes") == "yes":
            await task
            self._write(f"  {name}: {task.result()}")

    async def _expect(self, command: Command) -> None:
        checks = {
            "effects": self._expect_effects,
            "lost-upstreams": self._expect_lost,
            "sub-queries": self._expect_sub_queries,
            "table": self._expect_table,
        }
        await checks.get(command.words[0], self._expect_request)(command)

    async def _expect_request(self, command: Command) -> None:
        name = command.words[0]
        if name not in self._requests:
            raise ExpectationError(f"line {command.line}: no request {name!r}", step="expect")
        outcome = await self._requests[name]
        if len(command.words) > 1:
            self._same(command, command.words[1], outcome.kind)
        for option, expected in command.options.items():
            self._same(command, f"{option}={expected}", f"{option}={_shown(outcome, option)}")

    async def _expect_effects(self, command: Command) -> None:
        found = await self._environment.effects(command.options["key"])
        self._same(command, command.options["count"], str(found))

    async def _expect_lost(self, command: Command) -> None:
        self._at_most(command, await self._environment.lost_upstreams())

    async def _expect_sub_queries(self, command: Command) -> None:
        self._at_most(command, await self._environment.sub_queries(command.words[1]))

    async def _expect_table(self, command: Command) -> None:
        """Wait up to ``within`` seconds for a version to be in force on a VM."""
        limit = self._environment.time() + float(command.options.get("within", "0"))
        expected = command.options["version"]
        found = await self._environment.table_version(command.words[1])
        while str(found) != expected and self._environment.time() < limit:
            await asyncio.sleep(STEP_SECONDS)
            found = await self._environment.table_version(command.words[1])
        self._same(command, f"version={expected}", f"version={found}")

    def _at_most(self, command: Command, found: int) -> None:
        most = int(command.options["most"])
        self._same(command, f"at most {most}", f"at most {max(found, most)}")

    def _write(self, line: str) -> None:
        self._transcript.append((self._environment.time(), line))

    def _same(self, command: Command, expected: str, found: str) -> None:
        if expected != found:
            reason = f"line {command.line}: {command.text}: expected {expected}, found {found}"
            raise ExpectationError(reason, step="expect")


def _shown(outcome: Outcome, option: str) -> str:
    value = getattr(outcome, option)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return ",".join(value) if isinstance(value, tuple) else str(value)
