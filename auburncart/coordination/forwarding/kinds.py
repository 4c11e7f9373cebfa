"""Objects of one kind in the platform's store: where they come from and who receives them."""

from abc import ABC, abstractmethod
from typing import Any, NamedTuple

from auburncart.exception import StoreUnavailableError

__all__ = ["Changes", "Entry", "KindSink", "KindStore", "Page", "list_all"]


class Entry(NamedTuple):
    """An object of the store, or its deletion.

    :param value: decoded value; None if the object was deleted or cannot be decoded.
    :param revision: revision of the last change.
    :param error: why the value cannot be decoded, ``""`` if it can.
    """

    name: str
    value: Any
    revision: int
    error: str = ""


class Page(NamedTuple):
    """One page of a list.

    :param has_more: whether the list goes on after the last entry.
    :param revision: the store's revision.
    """

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


class Changes(NamedTuple):
    """Changes since a revision; the next watch continues from ``revision``."""

    entries: tuple[Entry, ...]
    revision: int


class KindStore(ABC):
    """A store whose objects are listed and watched by kind.

    Every call may raise :class:`~auburncart.exception.StoreUnavailableError`.
    """

    @abstractmethod
    async def list(self, kind: str, after: str = "", *, stale: bool = False) -> Page:
        """Return the objects of a kind whose names follow ``after``.

        :param stale: whether a cheaper answer that may be seconds old is accepted.
        """

    @abstractmethod
    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait until objects of a kind change.

        :param wait: seconds after which to return without changes.
        :raises HistoryLostError: changes since the revision are no longer known.
        """

    @abstractmethod
    async def put(self, kind: str, name: str, value: Any) -> None:
        """Create or replace an object."""

    @abstractmethod
    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists."""


async def list_all(store: KindStore, kind: str, *, stale: bool = False) -> Page:
    """Return all objects of a kind in one page, with the revision of the first one.

    :param stale: whether a cheaper answer that may be seconds old is accepted.
    :raises StoreUnavailableError: the store did not answer, or the list does not end.
    """
    page = await store.list(kind, stale=stale)
    entries, revision = list(page.entries), page.revision
    names = {""}
    while page.has_more:
        after = page.entries[-1].name if page.entries else ""
        if after in names:
            reason = f"the list of {kind} makes no progress after {after!r}"
            raise StoreUnavailableError(reason, step="list", sent=False)
        names.add(after)
        page = await store.list(kind, after, stale=stale)
        entries += page.entries
    return Page(tuple(entries), False, revision)


class KindSink(ABC):
    """Receives the objects of one kind and their changes."""

    @abstractmethod
    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Replace all known objects by a complete list."""

    @abstractmethod
    def apply_change(self, entry: Entry) -> None:
        """Apply one change."""

    @abstractmethod
    def confirm(self) -> None:
        """Handle the confirmation that the known objects are those in the store."""

    @abstractmethod
    def store_recovered(self, failed_at: float) -> None:
        """Handle the end of an outage of the store, which may have been one lost reply.

        :param failed_at: loop time at which the last call that failed began; the outage lasted at
            least until then.
        """
