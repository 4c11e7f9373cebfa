"""Changes of the operators' table: each accepted by one conditional write with its audit entry."""

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

__all__ = ["Accepted", "Author", "Proposal", "TableEditor", "changed_rows"]

WRITE_TRIES = 5
RETRY_SECONDS = 0.5


class Author(NamedTuple):
    """Who makes a change.

    :param who: operator.
    :param address: address from which the change is made.
    """

    who: str
    address: str


class Proposal(NamedTuple):
    """A change that an operator asks for.

    :param change_id: identifier unique to this change, the same for each try of it.
    :param rows: all rows of the new table.
    :param floors: floors of the new table.
    :param based_on: version that the operator saw, 0 for none, None for whatever is in force.
    :param above: version that the new one must exceed, for a store restored from a copy.
    """

    change_id: str
    rows: tuple[Row, ...]
    floors: Floors
    based_on: int | None = None
    above: int = 0


class Accepted(NamedTuple):
    """What became of a proposal.

    :param version: version in force.
    :param entry: audit entry of the change, None if the proposal changes nothing.
    :param repeated: whether an earlier try of the same change had been accepted already.
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
        self._archivist = AuditArchiver(store)

    async def apply(self, proposal: Proposal, when: float) -> Accepted:
        """Put a proposal in force.

        :param when: seconds since the epoch.
        :return: the version in force; it is new only if the proposal changes something.
        :raises TableConflictError: another change came first; nothing was written.
        :raises StoreUnavailableError: the outcome is not known; apply the same proposal again.
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

    async def _apply(self, proposal: Proposal, when: float) -> Accepted:
        stored = await self._store.read(TABLE)
        repeated = await self._repeated(stored, proposal)
        if repeated is not None:
            return repeated
        self._check_base(stored, proposal)
        entry = self._entry(stored, proposal, when)
        if entry is None:
            return Accepted(_version(stored), None)
        document = await self._document(stored, proposal, entry)
        return await self._write(document, stored.etag if stored else "", proposal, entry)

    async def _repeated(
        self, stored: Stored[TableDocument] | None, proposal: Proposal
    ) -> Accepted | None:
        if stored is None:
            return None
        entry = await find_audit_entry(self._store, stored.value, proposal.change_id)
        if entry is None:
            return None
        return Accepted(entry.version, entry, repeated=True)

    def _check_base(self, stored: Stored[TableDocument] | None, proposal: Proposal) -> None:
        if proposal.based_on is None or proposal.based_on == _version(stored):
            return
        raise _conflict(stored, proposal.based_on)

    def _entry(
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

    async def _document(
        self, stored: Stored[TableDocument] | None, proposal: Proposal, entry: AuditEntry
    ) -> TableDocument:
        table = Table(entry.version, proposal.rows, proposal.floors)
        if stored is None:
            return TableDocument(table, (entry,))
        kept, archived = await self._archivist.make_room(stored.value, entry)
        return TableDocument(table, (*kept, entry), archived)

    async def _write(
        self, document: TableDocument, etag: str, proposal: Proposal, entry: AuditEntry
    ) -> Accepted:
        for attempt in range(WRITE_TRIES):
            try:
                await self._store.write(TABLE, document, etag)
                return Accepted(entry.version, entry)
            except StoreUnavailableError:
                if attempt == WRITE_TRIES - 1:
                    raise
                await asyncio.sleep(RETRY_SECONDS * 2**attempt)
            except StoreConflictError:
                return await self._recognise(proposal, entry)
        raise AssertionError("unreachable")

    async def _recognise(self, proposal: Proposal, entry: AuditEntry) -> Accepted:
        stored = await self._store.read(TABLE)
        own = await self._repeated(stored, proposal)
        if own is not None:
            return own._replace(repeated=False)
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
    """Return the rows changed or removed as they were, and those changed or added as they are.

    >>> from auburncart.state.work import Rank
    >>> row = Row("*", "search", Rank.URGENT)
    >>> changed_rows((row,), (row._replace(weight=2.0),))[1][0].weight
    2.0
    """
    were = set(old)
    are = set(new)
    before = tuple(row for row in old if row not in are)
    after = tuple(row for row in new if row not in were)
    return before, after


def _version(stored: Stored[TableDocument] | None) -> int:
    return stored.value.table.version if stored else 0


def _conflict(stored: Stored[TableDocument] | None, based_on: int) -> TableConflictError:
    audit = stored.value.audit if stored else ()
    changes = tuple(describe_entry(entry) for entry in audit if entry.version > based_on)
    reason = f"the table is at version {_version(stored)}, the change is based on {based_on}"
    return TableConflictError(reason, changes=changes)
