"""What forwarding needs from outside, as abstract base classes that transport implements."""

from abc import ABC, abstractmethod

from auburncart.state.forward import ForwardAnswer, ForwardRequest, Reply
from auburncart.state.registration import Registration

__all__ = ["Forwarder", "ReplicaConnection", "ReplicaDialer", "VmListener"]


class ReplicaConnection(ABC):
    """One kept connection to one replica; it carries one request at a time."""

    @property
    @abstractmethod
    def usable(self) -> bool:
        """Whether it is open, idle, and nothing has arrived that no request asked for."""

    @property
    @abstractmethod
    def idle_limit(self) -> float:
        """Seconds for which the replica said that it keeps an idle connection, or infinity."""

    @abstractmethod
    async def exchange(self, request: ForwardRequest, instance: str) -> Reply:
        """Send a request once and wait for its reply; cancelling closes the connection.

        :raises UpstreamError: no reply of this request; ``sent`` tells whether it may have run.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection at once; a request at work on it fails."""


class ReplicaDialer(ABC):
    """Opens connections to replicas."""

    @abstractmethod
    async def connect(self, registration: Registration) -> ReplicaConnection:
        """Open a connection.

        :raises UpstreamError: the replica could not be reached.
        """


class VmListener(ABC):
    """Takes other VMs' connections."""

    @abstractmethod
    async def start(self) -> None:
        """Listen."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop listening and end all connections."""


class Forwarder(ABC):
    """Answers callers' requests, whatever they came over."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Whether new callers should come here."""

    @property
    @abstractmethod
    def leaving(self) -> bool:
        """Whether this VM is being stopped, so that callers should use another connection."""

    @abstractmethod
    async def answer(self, request: ForwardRequest) -> ForwardAnswer:
        """Answer a request; cancelling ends all work on it."""
