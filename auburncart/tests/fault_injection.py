"""Injects faults at chosen steps of VMs.

A step is a call to the store, a question to a peer, a connection to an upstream or an order sent
to one; searches are no steps.
"""

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

__all__ = [
    "Fault",
    "FaultInjectingBus",
    "FaultInjectingDialer",
    "FaultInjectingStore",
    "FaultInjector",
]

T = TypeVar("T")
PAUSE_SECONDS = 10.0


class Fault(Enum):
    """What happens at a step, before or after its call.

    A cut fails the step, a pause delays the VM by ``PAUSE_SECONDS``, and a killed VM never goes on.
    """

    CUT_BEFORE = "cut before"
    CUT_AFTER = "cut after"
    PAUSE_BEFORE = "pause before"
    PAUSE_AFTER = "pause after"
    KILL_BEFORE = "kill before"
    KILL_AFTER = "kill after"


BEFORE = {Fault.CUT_BEFORE, Fault.PAUSE_BEFORE, Fault.KILL_BEFORE}
CUTS = {Fault.CUT_BEFORE, Fault.CUT_AFTER}
KILLS = {Fault.KILL_BEFORE, Fault.KILL_AFTER}


class FaultInjector:
    """Numbers the steps of all VMs in order and injects the planned faults.

    :param plan: faults by step number, from 0.
    """

    def __init__(self, plan: dict[int, Fault]) -> None:
        self._plan = plan
        self._numbers = itertools.count()
        self._paused_until: dict[str, float] = {}
        self._next_faults: dict[str, Fault] = {}
        self.last_step = 0
        self.tasks: list[asyncio.Future[Any]] = []

    def clear_plan(self) -> None:
        self._plan = {}

    def is_killed(self, vm: str) -> bool:
        return self._paused_until.get(vm, 0.0) == float("inf")

    def fail_next_step(self, vm: str, fault: Fault) -> None:
        """Inject a fault at the next step of a VM."""
        self._next_faults[vm] = fault

    def pause_until(self, vm: str, until: float) -> None:
        """Pause all steps of a VM until a loop time; a longer pause stays in force."""
        self._paused_until[vm] = max(until, self._paused_until.get(vm, 0.0))

    async def run_step(
        self, vm: str, call: Callable[[], Awaitable[T]], make_error: Callable[[], Exception]
    ) -> T:
        await self._wait_while_paused(vm)
        self.last_step = next(self._numbers)
        fault = self._next_faults.pop(vm, None) or self._plan.get(self.last_step)
        if fault is None:
            result = await call()
        elif fault in BEFORE:
            await self._fail(vm, fault, make_error)
            result = await call()
        else:
            result = await call()
            await self._fail(vm, fault, make_error)
        await self._wait_while_paused(vm)
        return result

    async def _fail(self, vm: str, fault: Fault, make_error: Callable[[], Exception]) -> None:
        if fault in CUTS:
            raise make_error()
        now = asyncio.get_running_loop().time()
        self.pause_until(vm, float("inf") if fault in KILLS else now + PAUSE_SECONDS)
        await self._wait_while_paused(vm)

    async def _wait_while_paused(self, vm: str) -> None:
        until = self._paused_until.get(vm, 0.0)
        if until == float("inf"):
            await asyncio.Event().wait()
        await asyncio.sleep(max(0.0, until - asyncio.get_running_loop().time()))


class FaultInjectingStore(Store):
    """A store whose calls are steps of one VM."""

    def __init__(self, vm: str, store: Store, injector: FaultInjector) -> None:
        self._vm = vm
        self._store = store
        self._injector = injector

    async def read(self, key: Key[T]) -> Stored[T] | None:
        return await self._run_step(lambda: self._store.read(key))

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        return await self._run_step(lambda: self._store.watch(key, etag, wait))

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        return await self._run_step(lambda: self._store.write(key, value, etag))

    async def members(self) -> tuple[Member, ...]:
        return await self._run_step(self._store.members)

    async def _run_step(self, call: Callable[[], Awaitable[Any]]) -> Any:
        return await self._injector.run_step(
            self._vm, call, lambda: StoreUnavailableError("connection cut")
        )


class FaultInjectingBus(FakeBus):
    """A bus whose questions are steps of one VM; the asked VM still answers if the asker stops."""

    def __init__(self, vm: str, own: Member, network: FakeNetwork, injector: FaultInjector) -> None:
        super().__init__(own, network)
        self._vm = vm
        self._injector = injector

    async def ask(
        self, member: Member, question: tuple[Any, ...], timeout: float
    ) -> tuple[Any, ...]:
        async def call() -> tuple[Any, ...]:
            answer = asyncio.ensure_future(
                super(FaultInjectingBus, self).ask(member, question, timeout)
            )
            self._injector.tasks.append(answer)
            try:
                async with asyncio.timeout(timeout):
                    return await asyncio.shield(answer)
            except TimeoutError as error:
                raise LinkError("no answer") from error

        return await self._injector.run_step(self._vm, call, lambda: LinkError("connection cut"))


class FaultInjectingDialer(UpstreamDialer):
    """A dialer whose connects, and the orders on its connections, are steps of one VM."""

    def __init__(self, vm: str, dialer: UpstreamDialer, injector: FaultInjector) -> None:
        self._vm = vm
        self._dialer = dialer
        self._injector = injector

    async def connect(self, replica: Replica) -> UpstreamConnection:
        connection = await self._injector.run_step(
            self._vm,
            lambda: self._dialer.connect(replica),
            lambda: UpstreamError("connection cut", step="connect", sent=False),
        )
        return _FaultInjectingConnection(self._vm, connection, self._injector)


class _FaultInjectingConnection(UpstreamConnection):
    def __init__(self, vm: str, connection: UpstreamConnection, injector: FaultInjector) -> None:
        self._vm = vm
        self._connection = connection
        self._injector = injector

    async def search(self, batch: Batch) -> BatchReply:
        return await self._connection.search(batch)

    async def order(self, order: UpstreamOrder) -> OrderReply:
        return await self._injector.run_step(
            self._vm,
            lambda: self._connection.order(order),
            lambda: UpstreamError("connection cut", step="reply"),
        )

    async def cancel(self, request_id: str) -> None:
        await self._connection.cancel(request_id)

    async def close(self) -> None:
        await self._connection.close()
