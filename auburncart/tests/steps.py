"""Faults at chosen steps: every call that a VM makes to the outside is one step."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, TypeVar

from auburncart.coordination.interfaces import (
    Key,
    Store,
    Stored,
    UpstreamConnection,
    UpstreamDialer,
)
from auburncart.exception import LinkError, StoreUnavailableError, UpstreamError
from auburncart.standins.fakes import FakeBus, FakeNetwork
from auburncart.state.member import Member
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch, BatchReply, OrderReply, UpstreamOrder

__all__ = ["Fault", "SteppedBus", "SteppedDialer", "SteppedStore", "Steps"]

T = TypeVar("T")
PAUSE_SECONDS = 10.0


class Fault(Enum):
    """What happens at a step."""

    CUT_BEFORE = "cut before"
    CUT_AFTER = "cut after"
    PAUSE_BEFORE = "pause before"
    PAUSE_AFTER = "pause after"
    KILL_BEFORE = "kill before"
    KILL_AFTER = "kill after"


BEFORE = {Fault.CUT_BEFORE, Fault.PAUSE_BEFORE, Fault.KILL_BEFORE}
CUTS = {Fault.CUT_BEFORE, Fault.CUT_AFTER}
KILLS = {Fault.KILL_BEFORE, Fault.KILL_AFTER}


class Steps:
    """Numbers the steps of all VMs and makes the planned ones fail.

    :param plan: faults by number of the step.
    """

    def __init__(self, plan: dict[int, Fault]) -> None:
        self._plan = plan
        self._numbers = itertools.count()
        self._held_until: dict[str, float] = {}
        self._next: dict[str, Fault] = {}
        self.taken = 0
        self.tasks: list[asyncio.Future[Any]] = []

    def heal(self) -> None:
        self._plan = {}

    def killed(self, vm: str) -> bool:
        return self._held_until.get(vm, 0.0) == float("inf")

    def strike(self, vm: str, fault: Fault) -> None:
        """Make the next step of a VM fail."""
        self._next[vm] = fault

    def hold(self, vm: str, until: float) -> None:
        """Let nothing that a VM began go on before a loop time."""
        self._held_until[vm] = max(until, self._held_until.get(vm, 0.0))

    async def take(
        self, vm: str, call: Callable[[], Awaitable[T]], cut: Callable[[], Exception]
    ) -> T:
        await self._held(vm)
        self.taken = next(self._numbers)
        fault = self._next.pop(vm, None) or self._plan.get(self.taken)
        if fault is None:
            result = await call()
        elif fault in BEFORE:
            await self._fail(vm, fault, cut)
            result = await call()
        else:
            result = await call()
            await self._fail(vm, fault, cut)
        await self._held(vm)
        return result

    async def _fail(self, vm: str, fault: Fault, cut: Callable[[], Exception]) -> None:
        if fault in CUTS:
            raise cut()
        now = asyncio.get_running_loop().time()
        self.hold(vm, float("inf") if fault in KILLS else now + PAUSE_SECONDS)
        await self._held(vm)

    async def _held(self, vm: str) -> None:
        until = self._held_until.get(vm, 0.0)
        if until == float("inf"):
            await asyncio.Event().wait()
        await asyncio.sleep(max(0.0, until - asyncio.get_running_loop().time()))


class SteppedStore(Store):
    """A store whose calls are steps of one VM."""

    def __init__(self, vm: str, store: Store, steps: Steps) -> None:
        self._vm = vm
        self._store = store
        self._steps = steps

    async def read(self, key: Key[T]) -> Stored[T] | None:
        return await self._take(lambda: self._store.read(key))

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        return await self._take(lambda: self._store.watch(key, etag, wait))

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        return await self._take(lambda: self._store.write(key, value, etag))

    async def members(self) -> tuple[Member, ...]:
        return await self._take(self._store.members)

    async def _take(self, call: Callable[[], Awaitable[Any]]) -> Any:
        return await self._steps.take(self._vm, call, lambda: StoreUnavailableError("cut"))


class SteppedBus(FakeBus):
    """A bus whose questions are steps of one VM; the asked VM goes on when the asking one ends."""

    def __init__(self, vm: str, own: Member, network: FakeNetwork, steps: Steps) -> None:
        super().__init__(own, network)
        self._vm = vm
        self._steps = steps

    async def ask(
        self, member: Member, question: tuple[Any, ...], timeout: float
    ) -> tuple[Any, ...]:
        async def call() -> tuple[Any, ...]:
            answer = asyncio.ensure_future(super(SteppedBus, self).ask(member, question, timeout))
            self._steps.tasks.append(answer)
            try:
                async with asyncio.timeout(timeout):
                    return await asyncio.shield(answer)
            except TimeoutError as error:
                raise LinkError("no answer") from error

        return await self._steps.take(self._vm, call, lambda: LinkError("cut"))


class SteppedDialer(UpstreamDialer):
    """A dialer whose calls, and those of its connections, are steps of one VM."""

    def __init__(self, vm: str, dialer: UpstreamDialer, steps: Steps) -> None:
        self._vm = vm
        self._dialer = dialer
        self._steps = steps

    async def connect(self, replica: Replica) -> UpstreamConnection:
        connection = await self._steps.take(
            self._vm,
            lambda: self._dialer.connect(replica),
            lambda: UpstreamError("cut", step="connect", sent=False),
        )
        return _SteppedConnection(self._vm, connection, self._steps)


class _SteppedConnection(UpstreamConnection):
    def __init__(self, vm: str, connection: UpstreamConnection, steps: Steps) -> None:
        self._vm = vm
        self._connection = connection
        self._steps = steps

    async def search(self, batch: Batch) -> BatchReply:
        return await self._connection.search(batch)

    async def order(self, order: UpstreamOrder) -> OrderReply:
        return await self._steps.take(
            self._vm,
            lambda: self._connection.order(order),
            lambda: UpstreamError("cut", step="reply"),
        )

    async def cancel(self, request_id: str) -> None:
        await self._connection.cancel(request_id)

    async def close(self) -> None:
        await self._connection.close()
