"""Abstract base classes between the forwarding code and the transport layer."""

from abc import ABC, abstractmethod

from auburncart.state.forward import ForwardAnswer, ForwardRequest, Reply
from auburncart.state.registration import Registration

__all__ = ["Forwarder", "ReplicaConnection", "ReplicaDialer", "VmListener"]


class ReplicaConnection(ABC):
    """A persistent connection to one replica, for one request at a time."""

    @property
    @abstractmethod
    def usable(self) -> bool:
        """Whether the connection is open and idle, without unexpected data from the replica."""

    @property
    @abstractmethod
    def idle_limit(self) -> float:
        """Seconds for which the replica says it keeps an idle connection, else infinity."""

    @abstractmethod
    async def exchange(self, request: ForwardRequest, instance: str) -> Reply:
        """Send a request once and wait for its reply; cancelling closes the connection.

        :raises UpstreamError: there is no reply; ``sent`` says whether the request may have run.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection at once; a request in flight on it fails."""


class ReplicaDialer(ABC):
    """Opens connections to replicas."""

    @abstractmethod
    async def connect(self, registration: Registration) -> ReplicaConnection:
        """Open a connection.

        :raises UpstreamError: the replica could not be reached.
        """


class VmListener(ABC):
    """Listens for connections of other VMs."""

    @abstractmethod
    async def start(self) -> None:
        """Start listening."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop listening and close all connections."""


class Forwarder(ABC):
    """Answers callers' requests, independent of the protocol they arrived by."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Whether new callers should be sent to this VM."""

    @property
    @abstractmethod
    def leaving(self) -> bool:
        """Whether this VM is shutting down, so that callers should use another connection."""

    @abstractmethod
    async def answer(self, request: ForwardRequest) -> ForwardAnswer:
        """Answer a request; cancelling stops all work on it."""
