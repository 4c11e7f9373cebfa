"""Interface for the HTTP calls of a store that lists and watches objects by kind."""

from abc import ABC, abstractmethod
from typing import Any, NamedTuple

from auburncart.coordination.forwarding.kinds import Changes, Page

__all__ = ["KindCall", "KindDialect"]


class KindCall(NamedTuple):
    """One HTTP request; ``body`` is None if there is none."""

    method: str
    path: str
    body: bytes | None = None


class KindDialect(ABC):
    """Builds the calls and decodes the replies."""

    @abstractmethod
    def list_call(self, kind: str, after: str, stale: bool) -> KindCall:
        """Return the call that lists the objects of a kind whose names follow ``after``."""

    @abstractmethod
    def changes_call(self, kind: str, revision: int, wait: float) -> KindCall:
        """Return the call that waits for changes after a revision for ``wait`` seconds."""

    @abstractmethod
    def create_call(self, kind: str, name: str, value: Any) -> KindCall:
        """Return the call that creates an object."""

    @abstractmethod
    def replace_call(self, kind: str, name: str, value: Any) -> KindCall:
        """Return the call that replaces an object, regardless of its revision."""

    @abstractmethod
    def delete_call(self, kind: str, name: str) -> KindCall:
        """Return the call that deletes an object, regardless of its revision."""

    @abstractmethod
    def page(self, kind: str, body: bytes) -> Page:
        """Return the page of a list in a reply.

        :raises ProtocolError: the body is malformed.
        """

    @abstractmethod
    def changes(self, kind: str, body: bytes) -> Changes:
        """Return the changes in a reply.

        :raises ProtocolError: the body is malformed.
        """
