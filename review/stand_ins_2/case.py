"""What each case needs: a record, a deployment of some VMs, and requests of single callers."""

import asyncio
import itertools
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from auburncart.daemon.tests.soak.tcp_proxy import AddressPool
from auburncart.daemon.tests.soak.vm import Vm
from auburncart.daemon.tests.soak.wire import Message, read_message
from review.stand_ins_2.store import Store

__all__ = [
    "BOUNDS",
    "HOST",
    "Answer",
    "CaseError",
    "Deployment",
    "Record",
    "main",
    "send",
    "troubled",
]

HOST = "case.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
MAX_SECONDS = 115.0
STARTUP_SECONDS = 30.0
# As in the site `leidsla-leit`.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 5000, "ackMs": 6000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
    "rollbackSlackMs": 250, "maxSkewMs": 15000, "retryRatio": 0.2, "retryWindowS": 10,
    "retrySlack": 58, "recoverS": 12,
}  # fmt: skip
_numbers = itertools.count(1)


class CaseError(Exception):
    """The case could not be set up, or its own machine was too busy."""


class Answer(NamedTuple):
    """The answer to a caller's request; status 0 if there was none."""

    request_id: str
    vm: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str]
    body: bytes


class Record:
    """The file ``record.txt`` of a case, with seconds since the start of the case.

    :param path: the file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = now()

    def seconds(self, at: float) -> float:
        """Return a loop time as seconds since the start of the case."""
        return at - self._started_at

    def note(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        self._file.write(f"{self.seconds(now() if at is None else at):9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line, to standard output as well."""
        self.note(text)
        sys.stdout.write(text + "\n")
        sys.stdout.flush()


class Deployment:
    """A store and some VMs, each with its own loopback address.

    :param data_centres: that of each VM.
    :param folder: folder for settings and logs.
    :param bounds: the platform's bounds, by default those of ``leidsla-leit``.
    """

    def __init__(
        self,
        data_centres: tuple[str, ...],
        folder: Path,
        bounds: dict[str, float] | None = None,
    ) -> None:
        self.addresses = AddressPool()
        self.store = Store(self.addresses.next_address())
        self.folder = folder
        self.version = 0
        self.vms = [
            Vm(f"vm{number}", name, self.addresses, folder, self.store.address, bounds or BOUNDS)
            for number, name in enumerate(data_centres)
        ]

    async def start_vms(self) -> None:
        """Start the VMs together and wait until the balancer would use all of them."""
        await asyncio.gather(*(vm.start(first_start=True) for vm in self.vms))
        try:
            async with asyncio.timeout(STARTUP_SECONDS):
                while not all(vm.in_rotation for vm in self.vms):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise CaseError("the VMs did not become ready") from error

    def publish(self, routes: list[dict[str, Any]], max_connections: int = 60) -> int:
        """Write a configuration, as the operator does; return its size in bytes."""
        self.version += 2
        services = {
            service
            for route in routes
            for service in route.get("gather", [route.get("service")])
            if service
        }
        body = {
            "configVersion": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name, "healthPath": "/health", "maxConns": max_connections,
                    "protocol": "h1", "tls": False,
                }
                for name in sorted(services)
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }  # fmt: skip
        return self.store.write("config", "main", body)

    async def close(self) -> None:
        """End all processes and stop the store."""
        await asyncio.gather(*(vm.close() for vm in self.vms))
        self.store.stop()


def now() -> float:
    """Return the loop time in seconds."""
    return asyncio.get_running_loop().time()


def troubled() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


async def send(
    vm: Vm,
    target: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    seconds: float = 3.0,
    wait: float | None = None,
    host: str = "",
) -> Answer:
    """Send one request on a new connection and wait for its answer.

    :param seconds: time budget of the caller.
    :param wait: seconds after which the caller leaves, by default half a second after the budget.
    :param host: IP address of the caller, by default that of this machine.
    """
    request_id = f"a{os.getpid():x}x{next(_numbers):x}"
    sent_at = now()
    message: Message | None = None
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(seconds + 0.5 if wait is None else wait):
            address, port = vm.front_proxy.target.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(
                address, int(port), local_addr=(host, 0) if host else None
            )
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
                f"X-Deadline-Remaining: {seconds * 1000:.0f}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            message = await read_message(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return Answer(request_id, vm.name, sent_at, now(), 0, {}, b"")
    status = int(message.start_line[1])
    return Answer(request_id, vm.name, sent_at, now(), status, message.headers, message.body)


def main(folder: Path, run: Callable[[Record, Path], Awaitable[bool]]) -> int:
    """Run a case; return its exit code.

    :param folder: folder of the case, for its record.
    :param run: runs the case with a record and a temporary folder; returns whether the rule held.
    """

    async def bounded() -> int:
        record = Record(folder / "record.txt")
        with tempfile.TemporaryDirectory(prefix="case-") as scratch:
            try:
                async with asyncio.timeout(MAX_SECONDS):
                    held = await run(record, Path(scratch))
            except (CaseError, TimeoutError) as error:
                record.say(f"could not run: {error or 'took too long'}")
                return EXIT_NOT_RUN
        record.say("the rule held" if held else "the rule was broken")
        return EXIT_HELD if held else EXIT_BROKEN

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    return asyncio.run(bounded())
