"""What decisions need from outside, as abstract base classes that transport implements.

Nothing here names a codec or a socket. A test replaces each class by a small fake.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, Generic, NamedTuple, TypeVar

from auburncart.state.link import LinkMessage
from auburncart.state.member import Member
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch, BatchReply, OrderReply, UpstreamOrder

__all__ = [
    "Key",
    "Membership",
    "PeerBus",
    "PeerDialer",
    "PeerLink",
    "Store",
    "Stored",
    "UpstreamConnection",
    "UpstreamDialer",
]

T = TypeVar("T")
F = TypeVar("F", bound=tuple[Any, ...])


class UpstreamConnection(ABC):
    """One kept connection to one upstream; it carries one request at a time."""

    @abstractmethod
    async def search(self, batch: Batch) -> BatchReply:
        """Send a batch and wait for its reply.

        :raises UpstreamError: no matching reply arrived; the connection is not to be used again.
        """

    @abstractmethod
    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Send an order once and wait for its reply.

        :raises UpstreamError: no matching reply; ``sent`` tells whether it may have arrived.
        """

    @abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Tell the upstream that nobody waits for a request on another connection any more.

        Does nothing where the upstream takes no cancellation.

        :raises UpstreamError: the connection is not to be used again.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connection at once; a request at work on it fails."""


class UpstreamDialer(ABC):
    """Opens connections to upstreams."""

    @abstractmethod
    async def connect(self, replica: Replica) -> UpstreamConnection:
        """Open a connection.

        :raises UpstreamError: the upstream could not be reached.
        """


class Key(NamedTuple, Generic[T]):
    """Name of a stored object of type ``T``.

    :param kind: kind of the object, by which its codec is found.
    :param name: name within the kind.
    """

    kind: str
    name: str


class Stored(NamedTuple, Generic[T]):
    """A stored object with the tag of its version."""

    value: T
    etag: str


class Store(ABC):
    """The platform's object store.

    Every call may raise :class:`~auburncart.exception.StoreUnavailableError`.
    After that error a write may or may not have taken effect. A call that returns an object may
    raise :class:`~auburncart.exception.ProtocolError`: the stored value has another form.
    """

    @abstractmethod
    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None if it does not exist."""

    @abstractmethod
    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Wait until the object's tag differs from ``etag``.

        :param wait: seconds after which to return None if nothing changed.
        """

    @abstractmethod
    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write on the condition that the object's tag is ``etag``; ``""`` means it is absent.

        :return: the new tag.
        :raises StoreConflictError: the condition did not hold; nothing was written.
        """

    @abstractmethod
    async def members(self) -> tuple[Member, ...]:
        """Return the platform's list of live and leaving VMs, which lags."""


class Membership(ABC):
    """What this VM believes about the tier's VMs; two VMs may believe different things."""

    @property
    @abstractmethod
    def own(self) -> Member:
        """This VM."""

    @abstractmethod
    def live(self, data_centre: str) -> tuple[Member, ...]:
        """Return the VMs of a data centre that are live, this VM among them, by address."""

    @abstractmethod
    def max_active_vms(self, data_centre: str) -> int:
        """Return the largest number of VMs that may still act in a data centre.

        VMs that are suspected, paused or leaving count until it is certain that they have ended.
        """


class PeerBus(ABC):
    """Spreads facts between the VMs, and puts questions to one of them.

    A fact is a ``NamedTuple`` of :mod:`auburncart.state`. Facts may arrive late, twice, out of
    order or never; whoever handles one must cope with that.
    """

    @abstractmethod
    def publish(self, fact: tuple[Any, ...]) -> None:
        """Spread a fact to all VMs."""

    @abstractmethod
    def subscribe(self, kind: type[F], handler: Callable[[F, Member], None]) -> None:
        """Call ``handler(fact, origin)`` for each arriving fact of a kind."""

    @abstractmethod
    async def ask(
        self, member: Member, question: tuple[Any, ...], timeout: float
    ) -> tuple[Any, ...]:
        """Put a question to one VM and return its answer.

        :param timeout: seconds to wait.
        :raises LinkError: no answer arrived; the question may have been received all the same.
        """

    @abstractmethod
    def serve(
        self, kind: type[F], handler: Callable[[F, Member], Awaitable[tuple[Any, ...]]]
    ) -> None:
        """Answer questions of a kind by ``await handler(question, origin)``."""


class PeerLink(ABC):
    """One link to another entry VM; it carries messages of :data:`auburncart.state.MESSAGES`."""

    @property
    @abstractmethod
    def address(self) -> str:
        """Address of the other side, for logs."""

    @abstractmethod
    def post(self, message: LinkMessage) -> None:
        """Send a message without waiting; a side that does not read for long loses the link."""

    @abstractmethod
    async def receive(self) -> LinkMessage:
        """Wait for the next message.

        :raises ProtocolError: it does not have the agreed form.
        :raises LinkError: the link has ended.
        """

    @abstractmethod
    def allow_long_messages(self) -> None:
        """Accept long messages from now on: the other side has proved a key."""

    @abstractmethod
    async def close(self, reason: str) -> None:
        """Close the link and tell the other side why."""


class PeerDialer(ABC):
    """Opens links to other entry VMs."""

    @abstractmethod
    async def connect(self, address: str) -> PeerLink:
        """Open a link.

        :raises LinkError: the VM could not be reached.
        """
