"""The latest change of each object, for VMs that learn from this one."""

from collections import OrderedDict
from typing import NamedTuple

from auburncart.coordination.forwarding.kinds import Entry
from auburncart.exception import HistoryLostError

__all__ = ["LatestChanges"]

MAX_DELETIONS = 2000  # remembered; several releases of all replicas


class _Change(NamedTuple):
    """A change, with the revision of the watch or list that returned it."""

    revision: int
    entry: Entry

    @property
    def deletion(self) -> bool:
        return self.entry.value is None and not self.entry.error


class LatestChanges:
    """Keeps one change for each object, so that its size is that of the list.

    Changes that a later one of the same object replaces are of no use to another VM. Deletions are
    forgotten from the oldest on; then changes since before them are no longer known.
    """

    def __init__(self) -> None:
        self._changes: OrderedDict[str, _Change] = OrderedDict()
        self._deletions: OrderedDict[str, int] = OrderedDict()
        self._oldest = 0

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All objects that exist."""
        return tuple(change.entry for change in self._changes.values() if not change.deletion)

    def replace(self, entries: tuple[Entry, ...], revision: int) -> None:
        """Replace all objects by a complete list."""
        self._changes = OrderedDict((entry.name, _Change(revision, entry)) for entry in entries)
        self._deletions.clear()
        self._oldest = revision

    def add(self, entry: Entry, revision: int) -> None:
        """Add a change of one object."""
        change = _Change(revision, entry)
        self._changes[entry.name] = change
        self._changes.move_to_end(entry.name)
        self._deletions.pop(entry.name, None)
        if change.deletion:
            self._deletions[entry.name] = revision
        while len(self._deletions) > MAX_DELETIONS:
            name, self._oldest = self._deletions.popitem(last=False)
            del self._changes[name]

    def since(self, revision: int) -> tuple[Entry, ...]:
        """Return the changes after a revision, oldest first.

        :raises HistoryLostError: they are no longer known.
        """
        if revision < self._oldest:
            raise HistoryLostError(f"changes since revision {revision} are lost", step="relay")
        entries = []
        for change in reversed(self._changes.values()):
            if change.revision <= revision:
                break
            entries.append(change.entry)
        return tuple(reversed(entries))
