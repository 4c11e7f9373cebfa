"""Callers with persistent connections."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from auburncart.daemon.tests.soak.history import Exchange, History
from auburncart.daemon.tests.soak.vm import Vm
from auburncart.daemon.tests.soak.wire import read_message
from auburncart.transport.client import split_address

__all__ = ["Caller", "RequestKind"]

HOST = "soak.example"
READ_LIMIT_BYTES = 1 << 20
REUSE_PROBABILITY = 0.95  # that a connection is reused after an answer
DISCONNECT_PROBABILITY = 0.03  # that a caller disconnects before the answer
THINK_SECONDS = (0.01, 0.08)
CONNECT_TIMEOUT_SECONDS = 1.0
EXTRA_WAIT_SECONDS = 2.0  # for which a caller waits beyond its deadline
_numbers = itertools.count(1)


class RequestKind(NamedTuple):
    """A kind of request.

    :param route: first part of its path.
    :param seconds: deadline given by the caller.
    """

    route: str
    method: str
    seconds: float
    share: float


class Caller:
    """Sends requests in sequence; :meth:`run` runs until cancelled.

    :param pick_vm: chooses a VM, as the load balancer does.
    :param kinds: returns the current kinds of request.
    :param host: IP address that it connects from, by default that of all callers.
    """

    def __init__(
        self,
        pick_vm: Callable[[], Vm],
        kinds: Callable[[], tuple[RequestKind, ...]],
        history: History,
        rng: random.Random,
        host: str = "",
    ) -> None:
        self._pick_vm = pick_vm
        self._kinds = kinds
        self._history = history
        self._rng = rng
        self._host = host
        self._vm: Vm | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        try:
            while True:
                kinds = self._kinds()
                kind = self._rng.choices(kinds, [kind.share for kind in kinds])[0]
                await self.send(kind)
                await asyncio.sleep(self._rng.uniform(*THINK_SECONDS))
        finally:
            self.close()

    async def send(self, kind: RequestKind, name: str = "", query: str = "x=1") -> None:
        """Send one request and record its answer.

        :param name: last part of its path, by default its request id.
        """
        if not await self._connect():
            return
        assert self._vm is not None and self._writer is not None
        request_id = f"q{next(_numbers)}"
        target = f"/{kind.route}/{name or request_id}?{query}"
        body = f"body of {name or request_id}".encode() if kind.method == "POST" else b""
        exchange = Exchange(request_id, self._vm.name, self._vm.boot, kind.route, target, body)
        exchange.seconds = kind.seconds
        exchange.sent_at = _now()
        self._history.exchanges[request_id] = exchange
        head = (
            f"{kind.method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: {request_id}\r\n"
            f"X-Deadline-Remaining: {kind.seconds * 1000:.0f}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._writer.write(head.encode() + body)
        disconnects = self._rng.random() < DISCONNECT_PROBABILITY
        wait_seconds = (
            self._rng.uniform(0.0, 0.2) if disconnects else kind.seconds + EXTRA_WAIT_SECONDS
        )
        if not await self._receive(exchange, wait_seconds):
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _receive(self, exchange: Exchange, wait_seconds: float) -> bool:
        """Wait for an answer; return whether the connection is to be reused."""
        assert self._reader is not None
        try:
            async with asyncio.timeout(wait_seconds):
                answer = await read_message(self._reader)
        except TimeoutError:
            exchange.disconnected_at = _now()
            return False
        except (asyncio.IncompleteReadError, OSError):
            exchange.ended_at = _now()
            return False
        exchange.ended_at = _now()
        exchange.status = int(answer.start_line[1])
        exchange.headers, exchange.answer = answer.headers, answer.body
        if answer.headers.get("connection") == "close":
            return False
        return self._rng.random() < REUSE_PROBABILITY

    async def _connect(self) -> bool:
        if self._writer is not None and self._reader is not None:
            if not self._reader.at_eof():
                return True
            self.close()
        self._vm = self._pick_vm()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self._reader, self._writer = await asyncio.open_connection(
                    *split_address(self._vm.front_proxy.address),
                    limit=READ_LIMIT_BYTES,
                    local_addr=(self._host, 0) if self._host else None,
                )
        except (OSError, TimeoutError):
            await asyncio.sleep(THINK_SECONDS[1])
            return False
        return True


def _now() -> float:
    return asyncio.get_running_loop().time()
