"""Abstract base classes for what coordination needs from transport.

They depend on no codec and no socket, so that tests can replace each by a small fake.
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
    """One persistent connection to one upstream; it carries one request at a time."""

    @abstractmethod
    async def search(self, batch: Batch) -> BatchReply:
        """Send a batch and wait for its reply.

        :raises UpstreamError: no matching reply arrived; the connection must not be used again.
        """

    @abstractmethod
    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Send an order once and wait for its reply.

        :raises UpstreamError: no matching reply; ``sent`` says whether the order may have arrived.
        """

    @abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Cancel a request that was sent on another connection.

        Does nothing if the upstream supports no cancellation.

        :raises UpstreamError: the connection must not be used again.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connection at once; a request in flight on it fails."""


class UpstreamDialer(ABC):
    """Opens connections to upstreams."""

    @abstractmethod
    async def connect(self, replica: Replica) -> UpstreamConnection:
        """Open a connection.

        :raises UpstreamError: the upstream is unreachable.
        """


class Key(NamedTuple, Generic[T]):
    """Key of a stored object of type ``T``.

    :param kind: kind of the object, which selects its codec.
    :param name: name, unique within the kind.
    """

    kind: str
    name: str


class Stored(NamedTuple, Generic[T]):
    """A stored object with the entity tag of its version."""

    value: T
    etag: str


class Store(ABC):
    """The platform's object store.

    Every call may raise :class:`~auburncart.exception.StoreUnavailableError`, after which a write
    may or may not have taken effect. A call that returns an object may raise
    :class:`~auburncart.exception.ProtocolError`: the stored value is malformed.
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
        """Write if the object's tag is still ``etag``; ``""`` requires that it does not exist.

        :return: the new tag.
        :raises StoreConflictError: the tag differs; nothing was written.
        """

    @abstractmethod
    async def members(self) -> tuple[Member, ...]:
        """Return the platform's list of live and leaving VMs, which may be out of date."""


class Membership(ABC):
    """This VM's view of the tier's VMs; the views of two VMs may differ."""

    @property
    @abstractmethod
    def own(self) -> Member:
        """This VM."""

    @abstractmethod
    def live(self, data_centre: str) -> tuple[Member, ...]:
        """Return the live VMs of a data centre, including this VM, ordered by address."""

    @abstractmethod
    def max_active_vms(self, data_centre: str) -> int:
        """Return the maximum number of VMs that may still be active in a data centre.

        VMs that are suspected, paused or leaving count until they are known to have ended.
        """


class PeerBus(ABC):
    """Publishes payloads to all VMs, and sends questions to one of them.

    A payload is a ``NamedTuple`` of :mod:`auburncart.state`. Payloads may arrive late, twice, out
    of order or never, and every handler must allow for that.
    """

    @abstractmethod
    def publish(self, payload: tuple[Any, ...]) -> None:
        """Publish a payload to all VMs."""

    @abstractmethod
    def subscribe(self, kind: type[F], handler: Callable[[F, Member], None]) -> None:
        """Call ``handler(payload, origin)`` for each payload of a kind that arrives."""

    @abstractmethod
    async def ask(
        self, member: Member, question: tuple[Any, ...], timeout: float
    ) -> tuple[Any, ...]:
        """Send a question to one VM and return its answer.

        :param timeout: seconds to wait.
        :raises LinkError: no answer arrived; the question may still have been received.
        """

    @abstractmethod
    def serve(
        self, kind: type[F], handler: Callable[[F, Member], Awaitable[tuple[Any, ...]]]
    ) -> None:
        """Answer questions of a kind with ``await handler(question, origin)``."""


class PeerLink(ABC):
    """A link to another entry VM; it carries messages of :data:`auburncart.state.MESSAGES`."""

    @property
    @abstractmethod
    def address(self) -> str:
        """Address of the peer, for logs."""

    @abstractmethod
    def post(self, message: LinkMessage) -> None:
        """Send a message without waiting; the link closes if the peer does not read for long."""

    @abstractmethod
    async def receive(self) -> LinkMessage:
        """Wait for the next message.

        :raises ProtocolError: the message is malformed.
        :raises LinkError: the link is closed.
        """

    @abstractmethod
    def allow_long_messages(self) -> None:
        """Accept long messages from now on, as the peer is authenticated."""

    @abstractmethod
    async def close(self, reason: str) -> None:
        """Close the link and send the reason to the peer."""


class PeerDialer(ABC):
    """Opens links to other entry VMs."""

    @abstractmethod
    async def connect(self, address: str) -> PeerLink:
        """Open a link.

        :raises LinkError: the VM is unreachable.
        """
