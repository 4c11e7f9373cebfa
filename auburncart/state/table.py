"""The operators' table of weights and limits per customer and kind of work."""

from typing import NamedTuple

from auburncart.state.work import Rank

__all__ = ["AuditArchive", "AuditEntry", "Floors", "Row", "Table", "TableDocument", "find_row"]

ANY_CUSTOMER = "*"
Floors = tuple[float, float, float]


class Row(NamedTuple):
    """One row: a customer and a kind of work.

    :param customer: name of the customer, or ``"*"`` for every customer without a row.
    :param kind: kind of work.
    :param rank: rank of that kind for that customer.
    :param weight: share of the rank's capacity relative to other rows; above 0.
    :param max_in_flight: maximum number of requests in flight, per data centre.
    :param max_queued: maximum number of queued requests, per VM.
    :param max_rate: maximum requests per second in the whole tier; 0 for no limit.
    """

    customer: str
    kind: str
    rank: Rank
    weight: float = 1.0
    max_in_flight: int = 64
    max_queued: int = 64
    max_rate: float = 0.0


class Table(NamedTuple):
    """A version of the table.

    :param version: number that increases by one with every accepted change.
    :param rows: all rows.
    :param floors: minimum share of capacity, 0 to 1, by rank, whatever the load of the others.
    """

    version: int
    rows: tuple[Row, ...]
    floors: Floors = (0.0, 0.1, 0.05)


class AuditEntry(NamedTuple):
    """A record of one accepted change.

    :param version: version of the table that the change created.
    :param change_id: identifier chosen by the writer, by which it recognises its own write.
    :param who: operator.
    :param when: seconds since the epoch.
    :param address: address from which the change was made.
    :param before: rows changed or removed, before the change.
    :param after: rows changed or added, after the change.
    :param follows: version of the table that was changed, 0 for the first.
    :param floors_before: floors before the change, None if unchanged.
    :param floors_after: floors after the change, None if unchanged.
    """

    version: int
    change_id: str
    who: str
    when: float
    address: str
    before: tuple[Row, ...]
    after: tuple[Row, ...]
    follows: int = 0
    floors_before: Floors | None = None
    floors_after: Floors | None = None


class AuditArchive(NamedTuple):
    """Audit entries moved out of the table's stored value.

    :param number: number of this archive, counted from 1 without gaps.
    :param entries: entries, oldest first, continuing those of the previous archive.
    """

    number: int
    entries: tuple[AuditEntry, ...]


class TableDocument(NamedTuple):
    """The stored value: the table, its recent audit entries, and where older ones are.

    :param table: the current table.
    :param audit: recent entries, oldest first, without gaps up to the table's version.
    :param archived: number of the newest archive object, 0 if there is none.
    """

    table: Table
    audit: tuple[AuditEntry, ...] = ()
    archived: int = 0


def find_row(table: Table, customer: str, kind: str) -> Row | None:
    """Return the row for a customer and kind, or the kind's ``"*"`` row, or None.

    >>> table = Table(1, (Row("*", "search", Rank.URGENT),))
    >>> find_row(table, "ladera", "search").customer
    '*'
    """
    fallback = None
    for row in table.rows:
        if row.kind != kind:
            continue
        if row.customer == customer:
            return row
        if row.customer == ANY_CUSTOMER:
            fallback = row
    return fallback
