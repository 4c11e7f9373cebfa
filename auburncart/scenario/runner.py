"""Runs a scenario in an environment and records a transcript."""

import asyncio

from auburncart.exception import AuburncartError
from auburncart.scenario.environment import Environment, Outcome
from auburncart.scenario.language import Command

__all__ = ["ExpectationError", "Runner"]

POLL_SECONDS = 0.05


class ExpectationError(AuburncartError):
    """An expectation of a scenario does not hold."""


class Runner:
    """One run of one scenario.

    :param environment: the environment that it runs in.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._requests: dict[str, asyncio.Task[Outcome]] = {}
        self._transcript: list[tuple[float, str]] = []

    @property
    def transcript(self) -> str:
        """All commands with their times in seconds and their outcomes, one per line."""
        return "".join(f"{time:8.3f} {line}\n" for time, line in self._transcript)

    @property
    def untimed_transcript(self) -> str:
        """The transcript without its times, as golden files hold it."""
        return "".join(f"{line}\n" for _, line in self._transcript)

    async def run(self, commands: list[Command]) -> None:
        """Run all commands in turn, then close the environment.

        :raises ExpectationError: an expectation does not hold.
        """
        try:
            for command in commands:
                self._record(command.text)
                await self._run_command(command)
        finally:
            for task in self._requests.values():
                task.cancel()
            await self._environment.close()

    async def _run_command(self, command: Command) -> None:
        if command.verb in ("search", "order"):
            await self._send_request(command)
        elif command.verb == "expect":
            await self._expect(command)
        elif command.verb == "wait":
            await asyncio.sleep(float(command.words[0]))
        else:
            await self._environment.act(command)

    async def _send_request(self, command: Command) -> None:
        send = self._environment.search if command.verb == "search" else self._environment.order
        name = command.options.get("as", f"line{command.line}")
        task = asyncio.ensure_future(send(command))
        self._requests[name] = task
        if command.options.get("wait", "yes") == "yes":
            await task
            self._record(f"  {name}: {task.result()}")

    async def _expect(self, command: Command) -> None:
        checks = {
            "effects": self._expect_effects,
            "lost-upstreams": self._expect_lost_upstreams,
            "sub-queries": self._expect_sub_queries,
            "table": self._expect_table,
        }
        await checks.get(command.words[0], self._expect_request)(command)

    async def _expect_request(self, command: Command) -> None:
        name = command.words[0]
        if name not in self._requests:
            raise ExpectationError(f"line {command.line}: unknown request {name!r}", step="expect")
        outcome = await self._requests[name]
        if len(command.words) > 1:
            self._check_equal(command, command.words[1], outcome.kind)
        for option, expected in command.options.items():
            self._check_equal(
                command, f"{option}={expected}", f"{option}={_format_field(outcome, option)}"
            )

    async def _expect_effects(self, command: Command) -> None:
        found = await self._environment.effects(command.options["key"])
        self._check_equal(command, command.options["count"], str(found))

    async def _expect_lost_upstreams(self, command: Command) -> None:
        self._check_at_most(command, await self._environment.lost_upstreams())

    async def _expect_sub_queries(self, command: Command) -> None:
        self._check_at_most(command, await self._environment.sub_queries(command.words[1]))

    async def _expect_table(self, command: Command) -> None:
        """Wait up to ``within`` seconds for a table version to be in force on a VM."""
        deadline = self._environment.time() + float(command.options.get("within", "0"))
        expected = command.options["version"]
        found = await self._environment.table_version(command.words[1])
        while str(found) != expected and self._environment.time() < deadline:
            await asyncio.sleep(POLL_SECONDS)
            found = await self._environment.table_version(command.words[1])
        self._check_equal(command, f"version={expected}", f"version={found}")

    def _check_at_most(self, command: Command, found: int) -> None:
        maximum = int(command.options["most"])
        self._check_equal(command, f"at most {maximum}", f"at most {max(found, maximum)}")

    def _record(self, line: str) -> None:
        self._transcript.append((self._environment.time(), line))

    def _check_equal(self, command: Command, expected: str, found: str) -> None:
        if expected != found:
            reason = f"line {command.line}: {command.text}: expected {expected}, found {found}"
            raise ExpectationError(reason, step="expect")


def _format_field(outcome: Outcome, option: str) -> str:
    value = getattr(outcome, option)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return ",".join(value) if isinstance(value, tuple) else str(value)
