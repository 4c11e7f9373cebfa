"""In-memory implementations of coordination's interfaces, without sockets or threads."""

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
    "FakeConnection",
    "FakeDialer",
    "FakeMembership",
    "FakeNetwork",
    "FakeStore",
    "NetworkDelay",
]

T = TypeVar("T")


class FakeStore(Store):
    """A store backed by a :class:`PlatformModel`, encoded as for the real platform.

    :param model: the simulated platform.
    :param timeout: seconds after which a call without a reply fails.
    """

    def __init__(self, model: PlatformModel, timeout: float = 2.0) -> None:
        self._model = model
        self._timeout = timeout
        self.unreachable = False

    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None if it does not exist."""
        return await self._get(key, self._model.read(protocol.object_path(key)), 0.0)

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Wait until the object's tag differs from ``etag``; None if it does not in ``wait`` s."""
        return await self._get(key, self._model.watch(protocol.object_path(key), etag, wait), wait)

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write a value if the object's tag is ``etag``, and return its new tag."""
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
        if self.unreachable:
            call.close()
            await asyncio.sleep(self._timeout)
            raise StoreUnavailableError("store is unreachable", step="store")
        try:
            async with asyncio.timeout(self._timeout + wait):
                reply = await call
        except (PlatformOutageError, TimeoutError) as error:
            raise StoreUnavailableError(str(error) or "no reply", step="store") from error
        if self.unreachable:
            raise StoreUnavailableError("store became unreachable before the reply", step="store")
        return reply


class NetworkDelay(NamedTuple):
    """Network delays between a VM and an upstream.

    :param latency_seconds: one-way latency of the network.
    :param connect_seconds: time to open a connection.
    """

    latency_seconds: float = 0.0005
    connect_seconds: float = 0.006


class FakeConnection(UpstreamConnection):
    """A connection to an :class:`UpstreamModel`.

    :param latency_seconds: one-way latency of the network.
    :param unreachable: addresses that cannot be reached at present.
    """

    def __init__(
        self,
        model: UpstreamModel,
        latency_seconds: float,
        unreachable: Collection[str] = frozenset(),
    ) -> None:
        self._model = model
        self._latency_seconds = latency_seconds
        self._unreachable = unreachable
        self._start_count = model.start_count
        self._open = True

    async def search(self, batch: Batch) -> BatchReply:
        """Send a batch and return its reply before the batch's deadline."""
        return await self._exchange(self._model.search(batch), batch.deadline)

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Send an order and return its reply before the order's deadline."""
        return await self._exchange(self._model.order(order), order.deadline)

    async def cancel(self, request_id: str) -> None:
        """Cancel a request at the upstream."""
        await self._cross_network()
        self._model.cancel(request_id)

    async def close(self) -> None:
        """Close the connection."""
        if self._open and self._start_count == self._model.start_count:
            self._model.disconnect()
        self._open = False

    async def _exchange(self, call, deadline):  # type: ignore[no-untyped-def]
        address = self._model.profile.address
        if self._is_closed_by_upstream():
            call.close()
            reason = "connection closed by the upstream"
            raise UpstreamError(reason, step="connect", peer=address, sent=False)
        try:
            async with asyncio.timeout_at(deadline):
                await self._cross_network()
                self._check_not_restarted()
                reply = await call
                await self._cross_network()
        except TimeoutError as error:
            raise UpstreamTimeoutError(
                "no reply before the deadline", step="reply", peer=address
            ) from error
        except UpstreamCrashError as error:
            raise UpstreamError(str(error), step="reply", peer=address) from error
        finally:
            call.close()
        return reply

    def _is_closed_by_upstream(self) -> bool:
        """Return whether this side has learned that the upstream closed the connection."""
        if self._model.profile.address in self._unreachable:
            return False
        return not self._model.alive or self._start_count != self._model.start_count

    async def _cross_network(self) -> None:
        await asyncio.sleep(self._latency_seconds)
        if self._model.profile.address in self._unreachable:
            await asyncio.get_running_loop().create_future()

    def _check_not_restarted(self) -> None:
        if self._start_count != self._model.start_count:
            raise UpstreamCrashError("connection reset")


class FakeDialer(UpstreamDialer):
    """Opens connections to simulated upstreams by address.

    :param models: simulated upstreams by address.
    :param latency_seconds: one-way latency of the network.
    :param connect_seconds: time to open a connection.
    :param delays: both times for the addresses where they differ from these.
    """

    def __init__(
        self,
        models: dict[str, UpstreamModel],
        latency_seconds: float = 0.0005,
        connect_seconds: float = 0.006,
        delays: Mapping[str, NetworkDelay] | None = None,
    ) -> None:
        self._models = models
        self._latency_seconds = latency_seconds
        self._connect_seconds = connect_seconds
        self._delays = delays or {}
        self.unreachable: set[str] = set()

    async def connect(self, replica: Replica) -> FakeConnection:
        """Open a connection to a replica."""
        delay = self._delay(replica)
        await asyncio.sleep(delay.connect_seconds)
        model = self._models.get(replica.address)
        if model is None or replica.address in self.unreachable:
            raise UpstreamError("no route", step="connect", peer=replica.address, sent=False)
        try:
            model.connect()
        except UpstreamCrashError as error:
            raise UpstreamError(
                str(error), step="connect", peer=replica.address, sent=False
            ) from error
        return FakeConnection(model, delay.latency_seconds, self.unreachable)

    def _delay(self, replica: Replica) -> NetworkDelay:
        default = NetworkDelay(self._latency_seconds, self._connect_seconds)
        return self._delays.get(replica.address, default)


class FakeNetwork:
    """Carries payloads and questions between the :class:`FakeBus` of each VM.

    :param latency_seconds: one-way latency.
    """

    def __init__(self, latency_seconds: float = 0.001) -> None:
        self._latency_seconds = latency_seconds
        self._cuts: set[frozenset[str]] = set()
        self.buses: dict[str, FakeBus] = {}

    @property
    def latency_seconds(self) -> float:
        """One-way latency."""
        return self._latency_seconds

    def cut(self, first: str, second: str) -> None:
        """Lose all messages between two addresses."""
        self._cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def connected(self, first: str, second: str) -> bool:
        """Return whether messages between two addresses arrive."""
        return frozenset((first, second)) not in self._cuts


class FakeBus(PeerBus):
    """The bus of one VM on a :class:`FakeNetwork`."""

    def __init__(self, own: Member, network: FakeNetwork) -> None:
        self._own = own
        self._network = network
        self._handlers: dict[type, list[Callable[[Any, Member], None]]] = {}
        self._responders: dict[type, Callable[[Any, Member], Awaitable[tuple[Any, ...]]]] = {}
        network.buses[own.address] = self

    def publish(self, payload: tuple[Any, ...]) -> None:
        """Deliver a payload to all VMs that can be reached, after the network's latency."""
        loop = asyncio.get_running_loop()
        for address, bus in self._network.buses.items():
            if address != self._own.address and self._network.connected(address, self._own.address):
                loop.call_later(self._network.latency_seconds, bus.receive, payload, self._own)

    def subscribe(self, kind: type, handler: Callable[[Any, Member], None]) -> None:
        """Call the handler for each payload of a kind."""
        self._handlers.setdefault(kind, []).append(handler)

    async def ask(
        self, member: Member, question: tuple[Any, ...], timeout: float
    ) -> tuple[Any, ...]:
        """Ask one VM and return its answer.

        :raises LinkError: the VM cannot be reached.
        """
        bus = self._network.buses.get(member.address)
        if bus is None or not self._network.connected(member.address, self._own.address):
            await asyncio.sleep(timeout)
            raise LinkError("no answer", step="ask", peer=member.address)
        await asyncio.sleep(self._network.latency_seconds)
        answer = await bus.answer(question, self._own)
        await asyncio.sleep(self._network.latency_seconds)
        return answer

    def serve(
        self, kind: type, handler: Callable[[Any, Member], Awaitable[tuple[Any, ...]]]
    ) -> None:
        """Answer questions of a kind."""
        self._responders[kind] = handler

    def receive(self, payload: tuple[Any, ...], origin: Member) -> None:
        """Pass a payload to the handlers of its kind."""
        for handler in self._handlers.get(type(payload), []):
            handler(payload, origin)

    async def answer(self, question: tuple[Any, ...], origin: Member) -> tuple[Any, ...]:
        """Return this VM's answer to a question."""
        return await self._responders[type(question)](question, origin)


class FakeMembership(Membership):
    """A membership with fixed members.

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
        """Return the VMs of a data centre, sorted by address."""
        return tuple(sorted(member for member in self.members if member.data_centre == data_centre))

    def max_active_vms(self, data_centre: str) -> int:
        """Return the number of VMs of a data centre."""
        return len(self.live(data_centre))
