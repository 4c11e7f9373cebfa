"""How a store that lists and watches objects by kind looks on the wire."""

from abc import ABC, abstractmethod
from typing import Any, NamedTuple

from auburncart.coordination.forwarding.kinds import Changes, Page

__all__ = ["KindCall", "KindDialect"]


class KindCall(NamedTuple):
    """One call; ``body`` is None where there is none."""

    method: str
    path: str
    body: bytes | None = None


class KindDialect(ABC):
    """Paths and bodies of the calls."""

    @abstractmethod
    def list_call(self, kind: str, after: str, stale: bool) -> KindCall:
        """Return the call that lists a kind's objects after a name."""

    @abstractmethod
    def changes_call(self, kind: str, revision: int, wait: float) -> KindCall:
        """Return the call that waits for changes after a revision for ``wait`` seconds."""

    @abstractmethod
    def create_call(self, kind: str, name: str, value: Any) -> KindCall:
        """Return the call that creates an object."""

    @abstractmethod
    def replace_call(self, kind: str, name: str, value: Any) -> KindCall:
        """Return the call that replaces an object whatever its revision."""

    @abstractmethod
    def delete_call(self, kind: str, name: str) -> KindCall:
        """Return the call that deletes an object whatever its revision."""

    @abstractmethod
    def page(self, kind: str, body: bytes) -> Page:
        """Return a page of a list.

        :raises ProtocolError: the body does not have the agreed form.
        """

    @abstractmethod
    def changes(self, kind: str, body: bytes) -> Changes:
        """Return what has changed.

        :raises ProtocolError: the body does not have the agreed form.
        """
