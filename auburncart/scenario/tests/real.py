"""A scenario's environment of separate processes on loopback: VMs, upstreams and a platform."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from auburncart.exception import AuburncartError
from auburncart.scenario.environment import Environment, Outcome, idempotency_key
from auburncart.scenario.language import Command, parse
from auburncart.scenario.runner import Runner

START_SECONDS = 30.0
STOP_SECONDS = 15.0
SHUTDOWN_SECONDS = 4.0  # twice this plus the balancer lag stays below STOP_SECONDS
POLL_SECONDS = 0.1
REPLY_MARGIN_SECONDS = 10.0
MIN_REFUSAL_STATUS = 400
PEER_KEY = "a key for tests on loopback"


class ProcessEnvironment(Environment):
    """Runs VMs, upstreams and the platform as processes; stops only processes that it started.

    :param balancer_lag: seconds for which a VM that was told to stop still serves.
    :param peers: whether the VMs are linked to each other.
    """

    def __init__(self, balancer_lag: float = 0.2, *, peers: bool = False) -> None:
        self._balancer_lag = balancer_lag
        self._peer_addresses: list[str] | None = [] if peers else None
        self._started_at = asyncio.get_running_loop().time()
        self._started_at_epoch = time.time()
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._arguments: dict[str, list[str]] = {}
        self._addresses: dict[str, str] = {}
        self._urgent_addresses: dict[str, str] = {}
        self._http = urllib3.PoolManager(retries=False, maxsize=32)
        self._actions: dict[str, Callable[[Command], Awaitable[None]]] = {
            "site": self._site,
            "kill": self._kill,
            "restart": self._restart,
            "freeze": self._freeze,
            "thaw": self._thaw,
            "slow": self._slow,
            "condition": self._condition,
            "outage": self._outage,
            "lose": self._lose,
            "stop": self._stop,
        }

    def time(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    def ports(self, vm: str) -> tuple[str, str]:
        """Return the general and the urgent address of a VM."""
        return self._addresses[vm], self._urgent_addresses[vm]

    async def act(self, command: Command) -> None:
        await self._actions[command.verb](command)

    async def search(self, command: Command) -> Outcome:
        options = command.options
        body = {**_common_fields(options), "query": options.get("query", "net")}
        status, fields = await self._post(command.words[0], "/v1/search", body)
        if status >= MIN_REFUSAL_STATUS:
            return Outcome("refused", ran=fields["ran"], code=fields["error"])
        coverage = fields["coverage"]
        return Outcome(
            "complete" if coverage["complete"] else "partial",
            snapshot=fields["snapshot"],
            asked=coverage["asked"],
            answered=coverage["answered"],
            missing=tuple(gap["shard"] for gap in coverage["missing"]),
            hits=len(fields["hits"]),
        )

    async def order(self, command: Command) -> Outcome:
        options = command.options
        body = {
            **_common_fields(options),
            "shard": options.get("shard", "shard-00"),
            "key": idempotency_key(options["key"], self._started_at_epoch),
            "repeat": options.get("repeat") == "yes",
            "order": options.get("text", "mend the net"),
        }
        status, fields = await self._post(command.words[0], "/v1/order", body)
        if status >= MIN_REFUSAL_STATUS:
            kind = "unknown" if fields["ran"] == "unknown" else "refused"
            return Outcome(kind, ran=fields["ran"], code=fields["error"])
        kind = {"yes": "ran", "no": "refused", "unknown": "unknown"}[fields["ran"]]
        return Outcome(kind, ran=fields["ran"], repeated=fields["repeated"])

    async def effects(self, key: str) -> int:
        total = 0
        for name in self._processes:
            if name.startswith("shard-") and self._processes[name].poll() is None:
                total += (await self._control(name, "effects"))["effects"].count(
                    idempotency_key(key, self._started_at_epoch)
                )
        return total

    async def lost_upstreams(self) -> int:
        names = [name for name in self._processes if name.startswith("shard-")]
        return sum(self._processes[name].poll() is not None for name in names)

    async def sub_queries(self, upstream: str) -> int:
        raise AuburncartError("not available on processes", step="expect", peer=upstream)

    async def table_version(self, vm: str) -> int:
        raise AuburncartError("not available on processes", step="expect", peer=vm)

    async def close(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._processes.values():
            await asyncio.to_thread(process.wait, STOP_SECONDS)
        self._http.clear()
        self._folder.cleanup()

    async def _site(self, command: Command) -> None:
        options = command.options
        data_centres = [
            f"dc{number + 1}" for number in range(int(options.get("data_centres", "1")))
        ]
        upstream_lines = []
        for shard in range(int(options.get("shards", "4"))):
            for replica in range(int(options.get("replicas", "2"))):
                name = f"shard-{shard:02}/{replica}"
                self._addresses[name] = _free_address()
                upstream_lines.append(
                    f"{self._addresses[name]} {data_centres[replica % len(data_centres)]} "
                    f"shard-{shard:02}"
                )
                self._spawn(
                    name,
                    [
                        "standin",
                        "upstream",
                        "--address",
                        self._addresses[name],
                        "--shards",
                        f"shard-{shard:02}",
                    ],
                )
        upstream_list = Path(self._folder.name) / "upstreams"
        upstream_list.write_text("\n".join(upstream_lines))
        self._addresses["platform"] = _free_address()
        address = self._addresses["platform"]
        self._spawn(
            "platform",
            ["standin", "platform", "--address", address, "--upstreams", str(upstream_list)],
        )
        await asyncio.gather(*(self._wait_until_listening(name) for name in self._processes))
        names = [f"vm{number + 1}" for number in range(int(options.get("vms", "1")))]
        for number, name in enumerate(names):
            self._start_vm(name, data_centres[number % len(data_centres)], len(names))
        await asyncio.gather(*(self._wait_until_ready(name) for name in names))

    def _start_vm(self, name: str, data_centre: str, vms: int) -> None:
        self._addresses[name] = _free_address()
        settings = Path(self._folder.name) / f"{name}.json"
        fields = {
            "name": name,
            "data_centre": data_centre,
            "general_address": self._addresses[name],
            "urgent_address": self._urgent_addresses.setdefault(name, _free_address()),
            "platform_address": self._addresses["platform"],
            "connecting_vms": vms,
            "balancer_lag_seconds": self._balancer_lag,
            "shutdown_seconds": SHUTDOWN_SECONDS,
            "log_file": "",
            **self._peer_fields(),
        }
        settings.write_text(json.dumps(fields))
        self._spawn(name, ["entry", "--settings", str(settings)])

    def _peer_fields(self) -> dict[str, object]:
        if self._peer_addresses is None:
            return {}
        address, seeds = _free_address(), list(self._peer_addresses)
        self._peer_addresses.append(address)
        return {"peer_address": address, "peer_seeds": seeds, "peer_keys": [PEER_KEY]}

    def _spawn(self, name: str, arguments: list[str]) -> None:
        self._arguments[name] = arguments
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", "auburncart", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(Path.cwd())},
        )

    async def _wait_until_listening(self, name: str) -> None:
        host, port = self._addresses[name].rsplit(":", 1)
        async with asyncio.timeout(START_SECONDS):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(POLL_SECONDS)
                    continue
                writer.close()
                return

    async def _wait_until_ready(self, name: str) -> None:
        await self._wait_until_listening(name)
        body = {"customer": "ladera", "kind": "closure", "query": "ready?", "deadline_ms": 5000}
        async with asyncio.timeout(START_SECONDS):
            while (await self._post(name, "/v1/search", body))[0] != 200:
                await asyncio.sleep(POLL_SECONDS)

    async def _post(self, name: str, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        url = f"http://{self._addresses[name]}{path}"
        timeout = body.get("deadline_ms", 0) / 1000.0 + REPLY_MARGIN_SECONDS

        def call() -> tuple[int, Any]:
            response = self._http.request("POST", url, json=body, timeout=timeout)
            return response.status, response.json()

        try:
            return await asyncio.to_thread(call)
        except HTTPError as error:
            raise AuburncartError(str(error), step="send", peer=name) from error

    async def _control(self, name: str, command: str, value: object = None) -> Any:
        return (await self._post(name, "/v1/control", {"command": command, "value": value}))[1]

    def _name(self, command: Command) -> str:
        return command.words[1]

    async def _kill(self, command: Command) -> None:
        process = self._processes[self._name(command)]
        process.kill()
        await asyncio.to_thread(process.wait, STOP_SECONDS)

    async def _restart(self, command: Command) -> None:
        name = self._name(command)
        self._spawn(name, self._arguments[name])
        await (
            self._wait_until_ready(name)
            if command.words[0] == "vm"
            else self._wait_until_listening(name)
        )

    async def _stop(self, command: Command) -> None:
        process = self._processes[command.words[0]]
        process.terminate()
        await asyncio.to_thread(process.wait, STOP_SECONDS)

    async def _freeze(self, command: Command) -> None:
        self._processes[command.words[0]].send_signal(signal.SIGSTOP)

    async def _thaw(self, command: Command) -> None:
        self._processes[command.words[0]].send_signal(signal.SIGCONT)

    async def _slow(self, command: Command) -> None:
        await self._control(command.words[0], "slow", float(command.words[1]))

    async def _condition(self, command: Command) -> None:
        await self._control(command.words[0], "condition", command.words[1])

    async def _outage(self, command: Command) -> None:
        await self._control("platform", "outage", command.words[0] == "on")

    async def _lose(self, command: Command) -> None:
        await self._control("platform", "fail_write", f"lost_{command.words[0]}")


def _common_fields(options: dict[str, str]) -> dict[str, Any]:
    """Return the fields that searches and orders have in common."""
    return {
        "customer": options.get("customer", "ladera"),
        "kind": options.get("kind", "closure"),
        "deadline_ms": int(float(options.get("seconds", "5")) * 1000),
    }


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def run_on_processes(text: str) -> Runner:
    """Run a scenario's text on separate processes and return its finished runner."""
    runner = Runner(ProcessEnvironment())
    await runner.run(parse(text))
    return runner


if __name__ == "__main__":
    sys.stdout.write(asyncio.run(run_on_processes(Path(sys.argv[1]).read_text())).transcript)
