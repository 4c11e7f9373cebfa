"""Interfaces for the HTTP headers of one platform, on both sides of a forwarded request.

A dialect maps headers to the types of :mod:`auburncart.state` and back; the transport layer does
the framing.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from auburncart.state.forward import ForwardAnswer, ForwardRequest, Header, Reply

__all__ = ["CallerDialect", "ReplicaDialect", "RequestHead", "WireReply"]


class RequestHead(NamedTuple):
    """Request line and headers of a caller's request.

    :param target: path and query as sent.
    :param headers: all headers in the order sent.
    """

    method: str
    target: bytes
    headers: tuple[Header, ...]


class WireReply(NamedTuple):
    """A reply without its framing.

    :param headers: headers without those that frame the body or apply to one connection.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    body: bytes


class CallerDialect(ABC):
    """Maps callers' requests and the replies to them."""

    @abstractmethod
    def request(self, head: RequestHead, body: bytes, now: float, caller: str) -> ForwardRequest:
        """Return the request that a caller sent.

        :param now: loop time in seconds at which the headers were complete.
        :raises InputError: a header is missing or invalid.
        """

    @abstractmethod
    def reply(self, answer: ForwardAnswer) -> WireReply:
        """Return the reply to the caller."""


class ReplicaDialect(ABC):
    """Maps requests to replicas and their replies."""

    @abstractmethod
    def request_headers(
        self, request: ForwardRequest, instance: str, remaining: float
    ) -> tuple[Header, ...]:
        """Return the headers of a request to one replica, without those that frame the body.

        :param instance: identifier of the replica.
        :param remaining: seconds after which the replica may abandon the request.
        """

    @abstractmethod
    def reply(self, reply: WireReply, request: ForwardRequest) -> Reply:
        """Return a replica's reply.

        :raises ProtocolError: the reply belongs to another request, or its body is encoded.
        """
