"""The stand-ins behind coordination's abstract base classes, without sockets or threads."""

import asyncio
from typing import TypeVar

import msgspec

from auburncart.coordination import Key, Store, Stored, UpstreamConnection, UpstreamDialer
from auburncart.exception import StoreConflictError, StoreUnavailableError, UpstreamError
from auburncart.protocol import platform as protocol
from auburncart.standins.platform import PlatformModel, PlatformOutageError, TagMismatchError
from auburncart.standins.upstream import UpstreamCrashError, UpstreamModel
from auburncart.state import Batch, BatchReply, Member, OrderReply, Replica, UpstreamOrder

__all__ = ["FakeConnection", "FakeDialer", "FakeStore"]

T = TypeVar("T")


class FakeStore(Store):
    """A store over a :class:`PlatformModel`, through the product's own codecs.

    :param model: the platform.
    :param timeout: seconds after which a call without a reply fails.
    """

    def __init__(self, model: PlatformModel, timeout: float = 2.0) -> None:
        self._model = model
        self._timeout = timeout
        self.cut = False

    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None if it does not exist."""
        return await self._get(key, self._model.read(protocol.object_path(key)), 0.0)

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Wait until the object's tag differs."""
        return await self._get(key, self._model.watch(protocol.object_path(key), etag, wait), wait)

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write on condition."""
        body = protocol.encode_value(key, value)
        call = self._model.write(protocol.object_path(key), body, etag)
        try:
            return await self._run(call, 0.0)
        except TagMismatchError as error:
            raise StoreConflictError(str(error), step="store") from error

    async def members(self) -> tuple[Member, ...]:
        """Return the platform's list of VMs."""
        return protocol.decode_members(
            msgspec.json.encode(await self._run(self._model.members(), 0.0))
        )

    async def _get(self, key, call, wait):  # type: ignore[no-untyped-def]
        found = await self._run(call, wait)
        return None if found is None else Stored(protocol.decode_value(key, found.body), found.etag)

    async def _run(self, call, wait):  # type: ignore[no-untyped-def]
        if self.cut:
            call.close()
            await asyncio.sleep(self._timeout)
            raise StoreUnavailableError("cut off", step="store")
        try:
            async with asyncio.timeout(self._timeout + wait):
                return await call
        except (PlatformOutageError, TimeoutError) as error:
            raise StoreUnavailableError(str(error) or "no reply", step="store") from error


class FakeConnection(UpstreamConnection):
    """A connection to an :class:`UpstreamModel`.

    :param seconds: time one way over the network.
    """

    def __init__(self, model: UpstreamModel, seconds: float) -> None:
        self._model = model
        self._seconds = seconds
        self._open = True

    async def search(self, batch: Batch) -> BatchReply:
        """Answer a batch until its deadline."""
        return await self._exchange(self._model.search(batch), batch.deadline)

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Carry out an order."""
        return await self._exchange(self._model.order(order), order.deadline)

    async def close(self) -> None:
        """Let the connection go."""
        if self._open:
            self._open = False
            self._model.disconnect()

    async def _exchange(self, call, deadline):  # type: ignore[no-untyped-def]
        address = self._model.shape.address
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(self._seconds)
                reply = await call
                await asyncio.sleep(self._seconds)
        except TimeoutError as error:
            raise UpstreamError(
                "no reply before the deadline", step="reply", peer=address
            ) from error
        except UpstreamCrashError as error:
            raise UpstreamError(str(error), step="reply", peer=address) from error
        finally:
            call.close()
        return reply


class FakeDialer(UpstreamDialer):
    """Connects to models by address.

    :param models: models by address.
    :param seconds: time one way over the network.
    :param connect_seconds: time of a new connection.
    """

    def __init__(
        self,
        models: dict[str, UpstreamModel],
        seconds: float = 0.0005,
        connect_seconds: float = 0.006,
    ) -> None:
        self._models = models
        self._seconds = seconds
        self._connect_seconds = connect_seconds
        self.cut: set[str] = set()

    async def connect(self, replica: Replica) -> FakeConnection:
        """Open a connection."""
        await asyncio.sleep(self._connect_seconds)
        model = self._models.get(replica.address)
        if model is None or replica.address in self.cut:
            raise UpstreamError("no route", step="connect", peer=replica.address, sent=False)
        try:
            model.connect()
        except UpstreamCrashError as error:
            raise UpstreamError(
                str(error), step="connect", peer=replica.address, sent=False
            ) from error
        return FakeConnection(model, self._seconds)

    async def cancel(self, replica: Replica, request_id: str) -> None:
        """Tell the model that nobody waits any more."""
        await asyncio.sleep(self._seconds)
        model = self._models.get(replica.address)
        if model is not None and replica.address not in self.cut:
            model.cancel(request_id)
