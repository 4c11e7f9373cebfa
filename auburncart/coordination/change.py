"""Changes of the operators' table, each made by one conditional write with its audit entry."""

import asyncio
from typing import NamedTuple

from eliot import log_message

from auburncart.coordination.audit import AuditArchiver, describe_entry, find_audit_entry
from auburncart.coordination.interfaces import Store, Stored
from auburncart.coordination.table import TABLE
from auburncart.exception import (
    InputError,
    StoreConflictError,
    StoreUnavailableError,
    TableConflictError,
)
from auburncart.state.table import AuditEntry, Floors, Row, Table, TableDocument

__all__ = ["ChangeResult", "Author", "Proposal", "TableEditor", "changed_rows"]

MAX_WRITE_ATTEMPTS = 5
FIRST_RETRY_SECONDS = 0.5


class Author(NamedTuple):
    """Who makes a change.

    :param who: name of the operator.
    :param address: address from which the change is made.
    """

    who: str
    address: str


class Proposal(NamedTuple):
    """A change that an operator proposes.

    :param change_id: identifier of the change, the same for each attempt to apply it.
    :param rows: all rows of the new table.
    :param floors: floors of the new table.
    :param based_on: version that the operator started from, 0 for none, None for any.
    :param above: version that the new one must exceed, for a store restored from a backup.
    """

    change_id: str
    rows: tuple[Row, ...]
    floors: Floors
    based_on: int | None = None
    above: int = 0


class ChangeResult(NamedTuple):
    """The result of applying a proposal.

    :param version: version in force.
    :param entry: audit entry of the change, None if the proposal changes nothing.
    :param repeated: whether an earlier attempt had already applied the change.
    """

    version: int
    entry: AuditEntry | None
    repeated: bool = False


class TableEditor:
    """Applies proposals to the stored table.

    :param store: the platform's store.
    :param author: who makes the changes.
    """

    def __init__(self, store: Store, author: Author) -> None:
        self._store = store
        self._author = author
        self._archiver = AuditArchiver(store)

    async def apply(self, proposal: Proposal, when: float) -> ChangeResult:
        """Apply a proposal to the stored table.

        :param when: seconds since the epoch.
        :return: the version in force, a new one only if the proposal changes something.
        :raises TableConflictError: another change was made first; nothing was written.
        :raises StoreUnavailableError: the outcome is unknown; apply the same proposal again.
        """
        try:
            accepted = await self._apply(proposal, when)
        except TableConflictError as error:
            self._log("table_refused", proposal, reason=str(error), changes=list(error.changes))
            raise
        except (InputError, StoreUnavailableError) as error:
            self._log("table_not_applied", proposal, reason=str(error))
            raise
        self._log("table_accepted", proposal, version=accepted.version, new=bool(accepted.entry))
        return accepted

    async def _apply(self, proposal: Proposal, when: float) -> ChangeResult:
        stored = await self._store.read(TABLE)
        repeated = await self._find_repeat(stored, proposal)
        if repeated is not None:
            return repeated
        self._check_base(stored, proposal)
        entry = self._make_entry(stored, proposal, when)
        if entry is None:
            return ChangeResult(_version(stored), None)
        document = await self._make_document(stored, proposal, entry)
        return await self._write(document, stored.etag if stored else "", proposal, entry)

    async def _find_repeat(
        self, stored: Stored[TableDocument] | None, proposal: Proposal
    ) -> ChangeResult | None:
        if stored is None:
            return None
        entry = await find_audit_entry(self._store, stored.value, proposal.change_id)
        if entry is None:
            return None
        return ChangeResult(entry.version, entry, repeated=True)

    def _check_base(self, stored: Stored[TableDocument] | None, proposal: Proposal) -> None:
        if proposal.based_on is None or proposal.based_on == _version(stored):
            return
        raise _conflict(stored, proposal.based_on)

    def _make_entry(
        self, stored: Stored[TableDocument] | None, proposal: Proposal, when: float
    ) -> AuditEntry | None:
        old = stored.value.table if stored else Table(0, (), (0.0, 0.0, 0.0))
        before, after = changed_rows(old.rows, proposal.rows)
        floors_changed = stored is None or old.floors != proposal.floors
        if not (before or after or floors_changed) and proposal.above < old.version:
            return None
        return AuditEntry(
            version=max(old.version, proposal.above) + 1,
            change_id=proposal.change_id,
            who=self._author.who,
            when=when,
            address=self._author.address,
            before=before,
            after=after,
            follows=old.version,
            floors_before=old.floors if floors_changed and stored else None,
            floors_after=proposal.floors if floors_changed else None,
        )

    async def _make_document(
        self, stored: Stored[TableDocument] | None, proposal: Proposal, entry: AuditEntry
    ) -> TableDocument:
        table = Table(entry.version, proposal.rows, proposal.floors)
        if stored is None:
            return TableDocument(table, (entry,))
        kept, archived = await self._archiver.archive_oldest(stored.value, entry)
        return TableDocument(table, (*kept, entry), archived)

    async def _write(
        self, document: TableDocument, etag: str, proposal: Proposal, entry: AuditEntry
    ) -> ChangeResult:
        for attempt in range(MAX_WRITE_ATTEMPTS):
            try:
                await self._store.write(TABLE, document, etag)
                return ChangeResult(entry.version, entry)
            except StoreUnavailableError:
                if attempt == MAX_WRITE_ATTEMPTS - 1:
                    raise
                await asyncio.sleep(FIRST_RETRY_SECONDS * 2**attempt)
            except StoreConflictError:
                return await self._resolve_conflict(proposal, entry)
        raise AssertionError("unreachable")

    async def _resolve_conflict(self, proposal: Proposal, entry: AuditEntry) -> ChangeResult:
        stored = await self._store.read(TABLE)
        applied = await self._find_repeat(stored, proposal)
        if applied is not None:
            return applied._replace(repeated=False)
        raise _conflict(stored, entry.follows)

    def _log(self, message_type: str, proposal: Proposal, **fields: object) -> None:
        log_message(
            message_type=message_type,
            who=self._author.who,
            address=self._author.address,
            change_id=proposal.change_id,
            based_on=proposal.based_on,
            **fields,
        )


def changed_rows(
    old: tuple[Row, ...], new: tuple[Row, ...]
) -> tuple[tuple[Row, ...], tuple[Row, ...]]:
    """Return the old form of rows changed or removed, and the new form of rows changed or added.

    >>> from auburncart.state.work import Rank
    >>> row = Row("*", "search", Rank.URGENT)
    >>> changed_rows((row,), (row._replace(weight=2.0),))[1][0].weight
    2.0
    """
    old_rows = set(old)
    new_rows = set(new)
    before = tuple(row for row in old if row not in new_rows)
    after = tuple(row for row in new if row not in old_rows)
    return before, after


def _version(stored: Stored[TableDocument] | None) -> int:
    return stored.value.table.version if stored else 0


def _conflict(stored: Stored[TableDocument] | None, based_on: int) -> TableConflictError:
    audit = stored.value.audit if stored else ()
    changes = tuple(describe_entry(entry) for entry in audit if entry.version > based_on)
    reason = f"the table is at version {_version(stored)}, the change is based on {based_on}"
    return TableConflictError(reason, changes=changes)
