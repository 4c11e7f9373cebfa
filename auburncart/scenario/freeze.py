"""A VM that can be frozen: everything that it does towards the outside waits while it is."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from auburncart.coordination.interfaces import (
    Key,
    Store,
    Stored,
    UpstreamConnection,
    UpstreamDialer,
)
from auburncart.state.member import Member
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch, BatchReply, OrderReply, UpstreamOrder

__all__ = ["FreezableDialer", "FreezableStore", "FreezeSwitch"]

T = TypeVar("T")


class FreezeSwitch:
    """Whether a VM is frozen; calls to the outside wait here before and after."""

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    def freeze(self) -> None:
        """Stop the VM."""
        self._running.clear()

    def thaw(self) -> None:
        """Let the VM go on."""
        self._running.set()

    async def call(self, make_call: Callable[[], Awaitable[T]]) -> T:
        """Make a call while the VM runs, and hand back its result while the VM runs."""
        await self._running.wait()
        try:
            return await make_call()
        finally:
            await self._running.wait()


class FreezableStore(Store):
    """A store as a VM that can be frozen calls it."""

    def __init__(self, store: Store, freeze_switch: FreezeSwitch) -> None:
        self._store = store
        self._freeze_switch = freeze_switch

    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None."""
        return await self._freeze_switch.call(lambda: self._store.read(key))

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Wait for a change."""
        return await self._freeze_switch.call(lambda: self._store.watch(key, etag, wait))

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write on condition."""
        return await self._freeze_switch.call(lambda: self._store.write(key, value, etag))

    async def members(self) -> tuple[Member, ...]:
        """Return the platform's list of VMs."""
        return await self._freeze_switch.call(lambda: self._store.members())


class _FreezableConnection(UpstreamConnection):
    def __init__(self, connection: UpstreamConnection, freeze_switch: FreezeSwitch) -> None:
        self._connection = connection
        self._freeze_switch = freeze_switch

    async def search(self, batch: Batch) -> BatchReply:
        return await self._freeze_switch.call(lambda: self._connection.search(batch))

    async def order(self, order: UpstreamOrder) -> OrderReply:
        return await self._freeze_switch.call(lambda: self._connection.order(order))

    async def cancel(self, request_id: str) -> None:
        await self._freeze_switch.call(lambda: self._connection.cancel(request_id))

    async def close(self) -> None:
        await self._connection.close()


class FreezableDialer(UpstreamDialer):
    """Connections as a VM that can be frozen opens them."""

    def __init__(self, dialer: UpstreamDialer, freeze_switch: FreezeSwitch) -> None:
        self._dialer = dialer
        self._freeze_switch = freeze_switch

    async def connect(self, replica: Replica) -> UpstreamConnection:
        """Open a connection."""
        connection = await self._freeze_switch.call(lambda: self._dialer.connect(replica))
        return _FreezableConnection(connection, self._freeze_switch)
