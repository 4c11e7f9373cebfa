"""How requests that are passed on look on the wire of one platform.

A dialect turns headers into the fields of :mod:`auburncart.state` and back; framing is transport's.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from auburncart.state.forward import Field, ForwardAnswer, ForwardRequest, Reply

__all__ = ["CallerDialect", "Head", "ReplicaDialect", "WireReply"]


class Head(NamedTuple):
    """Head of a caller's request.

    :param target: path and query as sent.
    :param fields: all headers in their order.
    """

    method: str
    target: bytes
    fields: tuple[Field, ...]


class WireReply(NamedTuple):
    """A reply before or after its framing.

    :param fields: headers without those that frame the body or concern one connection.
    """

    status: int
    reason: bytes
    fields: tuple[Field, ...]
    body: bytes


class CallerDialect(ABC):
    """What callers send and read."""

    @abstractmethod
    def request(self, head: Head, body: bytes, now: float, caller: str) -> ForwardRequest:
        """Return the request that a caller sent.

        :param now: loop time in seconds at which its head was complete.
        :raises InputError: a header is missing or does not have the expected form.
        """

    @abstractmethod
    def reply(self, answer: ForwardAnswer) -> WireReply:
        """Return what the caller reads."""


class ReplicaDialect(ABC):
    """What replicas read and send."""

    @abstractmethod
    def request_fields(
        self, request: ForwardRequest, instance: str, remaining: float
    ) -> tuple[Field, ...]:
        """Return the headers of a request to one replica, without those that frame the body.

        :param instance: the replica for which it is meant.
        :param remaining: seconds after which the replica may stop working on it.
        """

    @abstractmethod
    def reply(self, reply: WireReply, request: ForwardRequest) -> Reply:
        """Return a replica's reply.

        :raises ProtocolError: it belongs to another request, or its body is encoded.
        """
