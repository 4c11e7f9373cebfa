"""The table as operators write it: JSON with comments."""

from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from auburncart.protocol.document import read_document
from auburncart.state import Rank, Row, Table

__all__ = ["RowFile", "TableFile", "read_table", "table_of"]

Text = Annotated[str, Field(min_length=1, max_length=200)]
Share = Annotated[float, Field(ge=0.0, le=1.0)]

RANKS = {rank.name.lower(): rank for rank in Rank}


class RowFile(NamedTuple):
    """A row as written; see :class:`auburncart.state.Row`."""

    customer: Text
    kind: Text
    rank: Literal["urgent", "normal", "background"]
    weight: Annotated[float, Field(gt=0.0, le=1000.0)] = 1.0
    max_in_flight: Annotated[int, Field(ge=1, le=100_000)] = 64
    max_queued: Annotated[int, Field(ge=0, le=100_000)] = 64
    max_rate: Annotated[float, Field(ge=0.0)] = 0.0


class TableFile(NamedTuple):
    """A table as written."""

    rows: Annotated[tuple[RowFile, ...], Field(min_length=1, max_length=5000)]
    floors: tuple[Share, Share, Share] = (0.0, 0.1, 0.05)


def read_table(path: Path) -> TableFile:
    """Read a table from a file of JSON with comments.

    :raises SettingsError: the file has faults; all of them are named.
    """
    return read_document(path, TableFile)


def table_of(written: TableFile, version: int) -> Table:
    """Return the table that a file describes, with a version."""
    rows = tuple(Row(**{**row._asdict(), "rank": RANKS[row.rank]}) for row in written.rows)
    return Table(version, rows, written.floors)
