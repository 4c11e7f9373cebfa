"""Freezes a VM: its calls to the store and to upstreams wait while it is frozen."""

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
    """Makes a VM's calls to the store and to upstreams wait while the VM is frozen."""

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    def freeze(self) -> None:
        """Freeze the VM."""
        self._running.clear()

    def thaw(self) -> None:
        """Let the VM run again."""
        self._running.set()

    async def call(self, make_call: Callable[[], Awaitable[T]]) -> T:
        """Make a call and return its result, each only while the VM is not frozen."""
        await self._running.wait()
        try:
            return await make_call()
        finally:
            await self._running.wait()


class FreezableStore(Store):
    """A store whose calls wait while the calling VM is frozen."""

    def __init__(self, store: Store, freeze_switch: FreezeSwitch) -> None:
        self._store = store
        self._freeze_switch = freeze_switch

    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None if it does not exist."""
        return await self._freeze_switch.call(lambda: self._store.read(key))

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Wait until the object's tag differs from ``etag``; None if it does not in ``wait`` s."""
        return await self._freeze_switch.call(lambda: self._store.watch(key, etag, wait))

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write a value if the object's tag is ``etag``, and return its new tag."""
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
    """A dialer whose connections wait while the calling VM is frozen."""

    def __init__(self, dialer: UpstreamDialer, freeze_switch: FreezeSwitch) -> None:
        self._dialer = dialer
        self._freeze_switch = freeze_switch

    async def connect(self, replica: Replica) -> UpstreamConnection:
        """Open a connection to a replica."""
        connection = await self._freeze_switch.call(lambda: self._dialer.connect(replica))
        return _FreezableConnection(connection, self._freeze_switch)
