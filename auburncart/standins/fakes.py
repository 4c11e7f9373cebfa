"""The stand-ins behind coordination's abstract base classes, without sockets or threads."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec

from auburncart.coordination.interfaces import (
    Key,
    Membership,
    PeerBus,
    Store,
    Stored,
    UpstreamConnection,
    UpstreamDialer,
)
from auburncart.exception import (
    LinkError,
    StoreConflictError,
    StoreUnavailableError,
    UpstreamError,
    UpstreamTimeoutError,
)
from auburncart.protocol import platform as protocol
from auburncart.standins.platform import PlatformModel, PlatformOutageError, TagMismatchError
from auburncart.standins.upstream import UpstreamCrashError, UpstreamModel
from auburncart.state.member import Member
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch, BatchReply, OrderReply, UpstreamOrder

__all__ = [
    "FakeBus",
    "Distance",
    "FakeConnection",
    "FakeDialer",
    "FakeMembership",
    "FakeNetwork",
    "FakeStore",
]

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
                reply = await call
        except (PlatformOutageError, TimeoutError) as error:
            raise StoreUnavailableError(str(error) or "no reply", step="store") from error
        if self.cut:
            raise StoreUnavailableError("cut off before the reply", step="store")
        return reply


class Distance(NamedTuple):
    """How far an upstream is.

    :param seconds: time one way over the network.
    :param connect_seconds: time of a new connection.
    """

    seconds: float = 0.0005
    connect_seconds: float = 0.006


class FakeConnection(UpstreamConnection):
    """A connection to an :class:`UpstreamModel`.

    :param seconds: time one way over the network.
    :param cut: addresses that nothing reaches for the time being.
    """

    def __init__(
        self, model: UpstreamModel, seconds: float, cut: Collection[str] = frozenset()
    ) -> None:
        self._model = model
        self._seconds = seconds
        self._cut = cut
        self._start = model.starts
        self._open = True

    async def search(self, batch: Batch) -> BatchReply:
        """Answer a batch until its deadline."""
        return await self._exchange(self._model.search(batch), batch.deadline)

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Carry out an order."""
        return await self._exchange(self._model.order(order), order.deadline)

    async def cancel(self, request_id: str) -> None:
        """Tell the model that nobody waits for a request any more."""
        await self._travel()
        self._model.cancel(request_id)

    async def close(self) -> None:
        """Let the connection go."""
        if self._open and self._start == self._model.starts:
            self._model.disconnect()
        self._open = False

    async def _exchange(self, call, deadline):  # type: ignore[no-untyped-def]
        address = self._model.shape.address
        if self._ended():
            call.close()
            reason = "closed by the other side"
            raise UpstreamError(reason, step="connect", peer=address, sent=False)
        try:
            async with asyncio.timeout_at(deadline):
                await self._travel()
                self._check_start()
                reply = await call
                await self._travel()
        except TimeoutError as error:
            raise UpstreamTimeoutError(
                "no reply before the deadline", step="reply", peer=address
            ) from error
        except UpstreamCrashError as error:
            raise UpstreamError(str(error), step="reply", peer=address) from error
        finally:
            call.close()
        return reply

    def _ended(self) -> bool:
        """Return whether the upstream's end of the connection has reached this side."""
        if self._model.shape.address in self._cut:
            return False
        return not self._model.alive or self._start != self._model.starts

    async def _travel(self) -> None:
        await asyncio.sleep(self._seconds)
        if self._model.shape.address in self._cut:
            await asyncio.get_running_loop().create_future()

    def _check_start(self) -> None:
        if self._start != self._model.starts:
            raise UpstreamCrashError("connection reset")


class FakeDialer(UpstreamDialer):
    """Connects to models by address.

    :param models: models by address.
    :param seconds: time one way over the network.
    :param connect_seconds: time of a new connection.
    :param distances: both times for those addresses for which they differ.
    """

    def __init__(
        self,
        models: dict[str, UpstreamModel],
        seconds: float = 0.0005,
        connect_seconds: float = 0.006,
        distances: Mapping[str, Distance] | None = None,
    ) -> None:
        self._models = models
        self._seconds = seconds
        self._connect_seconds = connect_seconds
        self._distances = distances or {}
        self.cut: set[str] = set()

    async def connect(self, replica: Replica) -> FakeConnection:
        """Open a connection."""
        distance = self._distance(replica)
        await asyncio.sleep(distance.connect_seconds)
        model = self._models.get(replica.address)
        if model is None or replica.address in self.cut:
            raise UpstreamError("no route", step="connect", peer=replica.address, sent=False)
        try:
            model.connect()
        except UpstreamCrashError as error:
            raise UpstreamError(
                str(error), step="connect", peer=replica.address, sent=False
            ) from error
        return FakeConnection(model, distance.seconds, self.cut)

    def _distance(self, replica: Replica) -> Distance:
        default = Distance(self._seconds, self._connect_seconds)
        return self._distances.get(replica.address, default)


class FakeNetwork:
    """Carries facts and questions between the :class:`FakeBus` of each VM.

    :param seconds: time one way.
    """

    def __init__(self, seconds: float = 0.001) -> None:
        self._seconds = seconds
        self._cuts: set[frozenset[str]] = set()
        self.buses: dict[str, FakeBus] = {}

    @property
    def seconds(self) -> float:
        """Time one way."""
        return self._seconds

    def cut(self, left: str, right: str) -> None:
        """Lose everything between two addresses."""
        self._cuts.add(frozenset((left, right)))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def reaches(self, left: str, right: str) -> bool:
        """Return whether two addresses are not cut off from each other."""
        return frozenset((left, right)) not in self._cuts


class FakeBus(PeerBus):
    """The bus of one VM on a :class:`FakeNetwork`."""

    def __init__(self, own: Member, network: FakeNetwork) -> None:
        self._own = own
        self._network = network
        self._handlers: dict[type, list[Callable[[Any, Member], None]]] = {}
        self._servers: dict[type, Callable[[Any, Member], Awaitable[tuple[Any, ...]]]] = {}
        network.buses[own.address] = self

    def publish(self, fact: tuple[Any, ...]) -> None:
        """Hand the fact to all that are reached, after the network's time."""
        loop = asyncio.get_running_loop()
        for address, bus in self._network.buses.items():
            if address != self._own.address and self._network.reaches(address, self._own.address):
                loop.call_later(self._network.seconds, bus.receive, fact, self._own)

    def subscribe(self, kind: type, handler: Callable[[Any, Member], None]) -> None:
        """Call the handler for each fact of a kind."""
        self._handlers.setdefault(kind, []).append(handler)

    async def ask(
        self, member: Member, question: tuple[Any, ...], timeout: float
    ) -> tuple[Any, ...]:
        """Put a question to one VM."""
        bus = self._network.buses.get(member.address)
        if bus is None or not self._network.reaches(member.address, self._own.address):
            await asyncio.sleep(timeout)
            raise LinkError("no answer", step="ask", peer=member.address)
        await asyncio.sleep(self._network.seconds)
        answer = await bus.answer(question, self._own)
        await asyncio.sleep(self._network.seconds)
        return answer

    def serve(
        self, kind: type, handler: Callable[[Any, Member], Awaitable[tuple[Any, ...]]]
    ) -> None:
        """Answer questions of a kind."""
        self._servers[kind] = handler

    def receive(self, fact: tuple[Any, ...], origin: Member) -> None:
        """Take a fact in."""
        for handler in self._handlers.get(type(fact), []):
            handler(fact, origin)

    async def answer(self, question: tuple[Any, ...], origin: Member) -> tuple[Any, ...]:
        """Answer a question."""
        return await self._servers[type(question)](question, origin)


class FakeMembership(Membership):
    """A membership that a test sets.

    :param own: this VM.
    :param members: all VMs, this one among them.
    """

    def __init__(self, own: Member, members: tuple[Member, ...] = ()) -> None:
        self._own = own
        self.members = members or (own,)

    @property
    def own(self) -> Member:
        """This VM."""
        return self._own

    def live(self, data_centre: str) -> tuple[Member, ...]:
        """Return the VMs of a data centre, by address."""
        return tuple(sorted(member for member in self.members if member.data_centre == data_centre))

    def max_active_vms(self, data_centre: str) -> int:
        """Return their number."""
        return len(self.live(data_centre))
