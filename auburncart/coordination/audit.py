"""The audit trail of the table: bounded where it is kept, moved on to archives without a gap."""

from auburncart.coordination.interfaces import Key, Store
from auburncart.exception import StoreConflictError, StoreUnavailableError
from auburncart.state.table import AuditArchive, AuditEntry, Row, TableDocument

__all__ = [
    "AuditArchiver",
    "archive_key",
    "describe_entry",
    "read_history",
    "find_audit_entry",
    "max_stored_bytes",
]

KEPT_BYTES = 150_000
ARCHIVE_BYTES = 400_000
ROW_BYTES = 120
ENTRY_BYTES = 300


def archive_key(number: int) -> Key[AuditArchive]:
    """Return the key of an archive."""
    return Key("audit", str(number))


def max_stored_bytes(rows: tuple[Row, ...]) -> int:
    """Return a bound on the bytes that rows take when they are stored."""
    return sum(2 * len((row.customer + row.kind).encode()) + ROW_BYTES for row in rows)


class AuditArchiver:
    """Moves older audit entries out of the table's stored value.

    :param store: the platform's store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def make_room(
        self, document: TableDocument, entry: AuditEntry
    ) -> tuple[tuple[AuditEntry, ...], int]:
        """Archive entries until those kept beside ``entry`` are within bounds.

        An entry is left out of what is kept only once an archive holds it.

        :return: the entries kept, and the number of the newest archive.
        """
        kept, archived = document.audit, document.archived
        room = KEPT_BYTES - _entry_size(entry)
        while kept and sum(map(_entry_size, kept)) > room:
            archived += 1
            archive = await self._write(archived, _oldest(kept))
            newest = archive.entries[-1].version
            kept = tuple(one for one in kept if one.version > newest)
        return kept, archived

    async def _write(self, number: int, entries: tuple[AuditEntry, ...]) -> AuditArchive:
        archive = AuditArchive(number, entries)
        try:
            await self._store.write(archive_key(number), archive, "")
        except StoreConflictError as error:
            found = await self._store.read(archive_key(number))
            if found is None or found.value.entries[0] != entries[0]:
                reason = f"archive {number} does not follow the table's audit trail"
                raise StoreUnavailableError(reason, step="archive") from error
            return found.value
        return archive


async def read_history(store: Store, document: TableDocument, limit: int) -> list[AuditEntry]:
    """Return the newest audit entries, newest first, across archives.

    :param limit: most entries to return.
    """
    entries = list(reversed(document.audit))
    number = document.archived
    while number > 0 and len(entries) < limit:
        found = await store.read(archive_key(number))
        if found is None:
            raise StoreUnavailableError(f"archive {number} is missing", step="history")
        entries.extend(reversed(found.value.entries))
        number -= 1
    return entries[:limit]


async def find_audit_entry(
    store: Store, document: TableDocument, change_id: str
) -> AuditEntry | None:
    """Return the entry of a change from the table's value or its newest archive, or None."""
    entries = document.audit
    if document.archived:
        found = await store.read(archive_key(document.archived))
        entries = (*(found.value.entries if found else ()), *entries)
    return next((entry for entry in entries if entry.change_id == change_id), None)


def describe_entry(entry: AuditEntry) -> str:
    """Return one line that tells who changed what."""
    names = sorted({f"{row.customer}/{row.kind}" for row in (*entry.before, *entry.after)})
    if entry.floors_after is not None:
        names.append("floors")
    shown = ", ".join(names[:10]) + (f" and {len(names) - 10} more" if len(names) > 10 else "")
    return f"version {entry.version} by {entry.who} from {entry.address}: {shown or 'no rows'}"


def _entry_size(entry: AuditEntry) -> int:
    return ENTRY_BYTES + max_stored_bytes(entry.before) + max_stored_bytes(entry.after)


def _oldest(entries: tuple[AuditEntry, ...]) -> tuple[AuditEntry, ...]:
    size = 0
    for count, entry in enumerate(entries):
        size += _entry_size(entry)
        if count and size > ARCHIVE_BYTES:
            return entries[:count]
    return entries
