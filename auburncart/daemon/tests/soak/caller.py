"""Callers, who keep their connections until the VM closes them."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from auburncart.daemon.tests.soak.ledger import Exchange, Ledger
from auburncart.daemon.tests.soak.vm import Vm
from auburncart.daemon.tests.soak.wire import read_message
from auburncart.transport.client import split_address

__all__ = ["Caller", "Kind"]

HOST = "soak.example"
LIMIT = 1 << 20
KEEP_SHARE = 0.95  # of the answers after which a connection is used again
LEAVE_SHARE = 0.03  # of the requests whose caller gives up early
THINK_SECONDS = (0.01, 0.08)
OPEN_SECONDS = 1.0
OVERTIME_SECONDS = 2.0  # after its deadline a caller closes the connection
_numbers = itertools.count(1)


class Kind(NamedTuple):
    """A kind of request.

    :param route: first part of its path.
    :param seconds: how long its caller waits.
    """

    route: str
    method: str
    seconds: float
    share: float


class Caller:
    """Sends one request after the other; :meth:`run` runs until it is cancelled.

    :param pick: returns a VM, as the balancer does.
    :param kinds: returns the kinds of request that are sent now.
    """

    def __init__(
        self,
        pick: Callable[[], Vm],
        kinds: Callable[[], tuple[Kind, ...]],
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        self._pick = pick
        self._kinds = kinds
        self._ledger = ledger
        self._rng = rng
        self._vm: Vm | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        while True:
            kinds = self._kinds()
            kind = self._rng.choices(kinds, [kind.share for kind in kinds])[0]
            await self.send(kind)
            await asyncio.sleep(self._rng.uniform(*THINK_SECONDS))

    async def send(self, kind: Kind, name: str = "") -> None:
        """Send one request and keep its answer.

        :param name: last part of its path; its own number if it is left out.
        """
        if not await self._connect():
            return
        assert self._vm is not None and self._writer is not None
        request_id = f"q{next(_numbers)}"
        target = f"/{kind.route}/{name or request_id}?x=1"
        body = f"body of {name or request_id}".encode() if kind.method == "POST" else b""
        exchange = Exchange(request_id, self._vm.name, self._vm.boot, kind.route, target, body)
        exchange.seconds = kind.seconds
        exchange.sent_at = _now()
        self._ledger.exchanges[request_id] = exchange
        head = (
            f"{kind.method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: {request_id}\r\n"
            f"X-Deadline-Remaining: {kind.seconds * 1000:.0f}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._writer.write(head.encode() + body)
        leaves = self._rng.random() < LEAVE_SHARE
        patience = self._rng.uniform(0.0, 0.2) if leaves else kind.seconds + OVERTIME_SECONDS
        if not await self._receive(exchange, patience):
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _receive(self, exchange: Exchange, patience: float) -> bool:
        """Wait for an answer; return whether the connection is used again."""
        assert self._reader is not None
        try:
            async with asyncio.timeout(patience):
                answer = await read_message(self._reader)
        except TimeoutError:
            exchange.left_at = _now()
            return False
        except (asyncio.IncompleteReadError, OSError):
            exchange.ended_at = _now()
            return False
        exchange.ended_at = _now()
        exchange.status = int(answer.start[1])
        exchange.fields, exchange.answer = answer.fields, answer.body
        if answer.fields.get("connection") == "close":
            return False
        return self._rng.random() < KEEP_SHARE

    async def _connect(self) -> bool:
        if self._writer is not None and self._reader is not None:
            if not self._reader.at_eof():
                return True
            self.close()
        self._vm = self._pick()
        try:
            async with asyncio.timeout(OPEN_SECONDS):
                self._reader, self._writer = await asyncio.open_connection(
                    *split_address(self._vm.front_link.address), limit=LIMIT
                )
        except (OSError, TimeoutError):
            await asyncio.sleep(THINK_SECONDS[1])
            return False
        return True


def _now() -> float:
    return asyncio.get_running_loop().time()
