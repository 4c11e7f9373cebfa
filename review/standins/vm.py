"""The daemon of one VM as a process, started with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import signal
import tomllib
from pathlib import Path
from typing import Any

from review.standins.wire import Record

__all__ = ["Vm"]

ROOT = Path(__file__).resolve().parents[2]
RESTART_SECONDS = 0.5  # the platform restarts a process that has ended after a short delay
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
    "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryRatio": 0.2, "retryWindowS": 10,
    "retrySlack": 56, "recoverS": 12,
}  # fmt: skip


class Vm:
    """Starts the daemon, restarts it whenever it ends, and counts its ends.

    :param name: name of the machine.
    :param zone: its zone.
    :param host: its IP address; all VMs use the same ports.
    :param folder: folder for its settings and logs.
    :param store: address of the store.
    :param record: record of the run.
    """

    def __init__(
        self, name: str, zone: str, host: str, folder: Path, store: str, record: Record
    ) -> None:
        self.name = name
        self.front = (host, 8104)
        self.ready_address = (host, 8108)
        self.own_ends: list[int] = []
        self.log = folder / f"{name}.log"
        self.errors = folder / f"{name}.err"
        self._zone = zone
        self._host = host
        self._settings = folder / f"{name}.json"
        self._store = store
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._stopping = False
        self._killed = False
        self._task: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Identifier of the process, 0 if none runs."""
        running = self._process is not None and self._process.returncode is None
        return self._process.pid if running and self._process is not None else 0

    async def start(self) -> None:
        """Start the process, and keep it running."""
        self._write_settings(first_start=True)
        self._task = asyncio.create_task(self._run())
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until the VM answers its readiness probe with 200."""
        async with asyncio.timeout(20.0):
            while True:
                if await self._is_ready():
                    return
                await asyncio.sleep(0.1)

    def kill(self) -> None:
        """Kill the process, which the platform then restarts."""
        if self._process is not None and self._process.returncode is None:
            self._killed = True
            self._process.send_signal(signal.SIGKILL)

    def kill_for_memory(self) -> None:
        """Kill the process because it exceeds its memory, which counts as an end of its own."""
        if self._process is not None and self._process.returncode is None:
            self._record.write(self.name, "exceeds its memory and is killed")
            self._process.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Kill the process for good."""
        self._stopping = True
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        words = deploy["roles"]["entry"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables = {
            **kept, "PYTHONPATH": str(ROOT / "target/deps"),
            "AUBURNCART_SETTINGS": str(self._settings),
        }  # fmt: skip
        while not self._stopping:
            with self.log.open("ab") as log, self.errors.open("ab") as errors:
                self._process = await asyncio.create_subprocess_exec(
                    *words, cwd=ROOT, env=variables, stdout=log, stderr=errors
                )
            code = await self._process.wait()
            if self._stopping:
                return
            if not self._killed:
                self.own_ends.append(code)
                self._record.write(self.name, f"its process ended by itself, exit code {code}")
            self._killed = False
            await asyncio.sleep(RESTART_SECONDS)
            self._write_settings(first_start=False)

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready_address)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def _write_settings(self, *, first_start: bool) -> None:
        zones = {"quetzal-a": "altiplano", "coban-a": "verapaz"}
        settings: dict[str, Any] = {
            "nodeName": self.name, "role": "entry", "machineClass": "edge",
            "servedRoles": ["edge"], "ipAddr": self._host, "zone": self._zone,
            "region": zones[self._zone], "zones": zones,
            "listenAddrs": {
                "front": "{}:{}".format(*self.front),
                "ready": "{}:{}".format(*self.ready_address),
            },
            "portRange": [7380, 7395], "seedAddrs": [], "bootstrap": first_start,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discoverySource": "platform", "entryKind": "vip",
            "beatIntervalMs": 1200, "contractParams": BOUNDS,
            "activeContracts": [
                "base", "drain", "config", "cost", "retry", "recover", "scatter", "platform",
            ],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "platform": {
                "address": self._store, "form": "objects", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
            },
        }  # fmt: skip
        self._settings.write_text(json.dumps(settings), encoding="utf-8")

    def logged(self, word: str) -> list[str]:
        """Return the lines of its log that contain a word."""
        with contextlib.suppress(FileNotFoundError):
            text = self.log.read_text(encoding="utf-8", errors="replace")
            return [line for line in text.splitlines() if word in line]
        return []
