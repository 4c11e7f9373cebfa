"""The table as operators write it: JSON with comments, or CSV from a spreadsheet.

In CSV the first line names the columns. A line whose first cell begins with ``#`` is not a row:
``#based_on,VERSION`` and ``#floors,URGENT,NORMAL,BACKGROUND`` carry what JSON has beside its rows.
"""

import csv
import io
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import Field, TypeAdapter, ValidationError

from auburncart.coordination.audit import max_stored_bytes
from auburncart.exception import SettingsError
from auburncart.protocol.document import format_faults, parse_json, read_text
from auburncart.state.table import AuditEntry, Row, Table
from auburncart.state.work import Rank

__all__ = [
    "RowFile",
    "TableFile",
    "audit_entry_as_dict",
    "format_table",
    "parse_table",
    "read_table",
    "table_as_dict",
    "table_from_file",
]

MAX_TABLE_BYTES = 250_000
FORMATS = ("json", "csv")
# Printable, with no space at either end.
NAME_PATTERN = r"^[^\s\p{C}]([^\p{C}]*[^\s\p{C}])?$"
Text = Annotated[str, Field(min_length=1, max_length=200, pattern=NAME_PATTERN)]
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
    max_rate: Annotated[float, Field(ge=0.0, le=1e9)] = 0.0


class TableFile(NamedTuple):
    """A table as written.

    :param based_on: version that it was made from; None if it names none.
    """

    rows: Annotated[tuple[RowFile, ...], Field(min_length=1, max_length=5000)]
    floors: tuple[Share, Share, Share] = (0.0, 0.1, 0.05)
    based_on: Annotated[int, Field(ge=0)] | None = None


def read_table(path: Path) -> TableFile:
    """Read a table from a file of JSON with comments, or of CSV if its name ends in ``.csv``.

    :raises SettingsError: the file has faults; all of them are named.
    """
    return parse_table(read_text(path), str(path))


def parse_table(text: str, source: str) -> TableFile:
    """Parse a table and check it as a whole.

    :param source: name of the file; ``.csv`` at its end means CSV.
    :raises SettingsError: it has faults; all of them are named.

    >>> parse_table('{rows: [{customer: "*", kind: "search", rank: "urgent"}]}', "t").floors
    (0.0, 0.1, 0.05)
    """
    fields = _csv_fields(text) if source.lower().endswith(".csv") else parse_json(text, source)
    faults: tuple[str, ...] = ()
    written = None
    try:
        written = TypeAdapter(TableFile).validate_python(fields)
    except ValidationError as error:
        faults = format_faults(error, source)
    faults += tuple(f"{source}: {fault}" for fault in _whole_faults(fields, written))
    if written is None or faults:
        raise SettingsError("; ".join(faults), faults=faults)
    return written


def table_from_file(written: TableFile, version: int) -> Table:
    """Return the table that a file describes, with a version."""
    rows = tuple(Row(**{**row._asdict(), "rank": RANKS[row.rank]}) for row in written.rows)
    return Table(version, rows, written.floors)


def format_table(table: Table, form: str) -> str:
    """Return a table as a file that :func:`parse_table` reads, based on its version.

    :param form: ``"json"`` or ``"csv"``.
    :raises SettingsError: there is no such form.
    """
    if form not in FORMATS:
        reason = f"format {form!r}, expected one of {', '.join(FORMATS)}"
        raise SettingsError(reason, faults=(reason,))
    return _format_csv(table) if form == "csv" else _format_json(table)


def table_as_dict(table: Table) -> dict[str, Any]:
    """Return a table as plain data with named fields."""
    return {**table._asdict(), "rows": [_row_as_dict(row) for row in table.rows]}


def audit_entry_as_dict(entry: AuditEntry) -> dict[str, Any]:
    """Return an audit entry as plain data with named fields."""
    before = [_row_as_dict(row) for row in entry.before]
    after = [_row_as_dict(row) for row in entry.after]
    return {**entry._asdict(), "before": before, "after": after}


def _whole_faults(fields: Any, written: TableFile | None) -> list[str]:
    faults = []
    if isinstance(fields, Mapping):
        faults += _duplicates(fields.get("rows"))
        faults += _floor_faults(fields.get("floors"))
    if written is not None:
        size = max_stored_bytes(table_from_file(written, 0).rows)
        if size > MAX_TABLE_BYTES:
            faults.append(f"rows: up to {size} bytes stored, expected at most {MAX_TABLE_BYTES}")
    return faults


def _duplicates(rows: Any) -> list[str]:
    if not isinstance(rows, list | tuple):
        return []
    first: dict[tuple[str, str], int] = {}
    faults = []
    for number, row in enumerate(rows):
        if not isinstance(row, Mapping):
            continue
        name = (str(row.get("customer")), str(row.get("kind")))
        if name in first:
            faults.append(
                f"rows.{number}: found customer {name[0]!r} and kind {name[1]!r} again, "
                f"expected them once (rows.{first[name]})"
            )
        first.setdefault(name, number)
    return faults


def _floor_faults(floors: Any) -> list[str]:
    try:
        total = sum(float(floor) for floor in floors or ())
    except (TypeError, ValueError):
        return []
    return [f"floors: found a sum of {total:g}, expected at most 1"] if total > 1.0 else []


def _csv_fields(text: str) -> dict[str, Any]:
    lines = [cells for cells in csv.reader(io.StringIO(text)) if any(map(str.strip, cells))]
    fields: dict[str, Any] = {"rows": []}
    columns: list[str] | None = None
    for cells in lines:
        stripped = [cell.strip() for cell in cells]
        if stripped[0].startswith("#"):
            _add_mark(fields, stripped)
        elif columns is None:
            columns = stripped
        else:
            fields["rows"].append(_csv_row(columns, stripped))
    return fields


def _add_mark(fields: dict[str, Any], cells: list[str]) -> None:
    name = cells[0].removeprefix("#").strip()
    values = [cell for cell in cells[1:] if cell]
    if name == "floors":
        fields["floors"] = values
    elif name == "based_on":
        fields["based_on"] = values[0] if values else ""


def _csv_row(columns: list[str], cells: list[str]) -> dict[str, str]:
    names = columns + [f"column {number + 1}" for number in range(len(columns), len(cells))]
    return {name: cell for name, cell in zip(names, cells, strict=False) if cell}


def _format_csv(table: Table) -> str:
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(["#based_on", table.version])
    writer.writerow(["#floors", *table.floors])
    writer.writerow(RowFile._fields)
    for row in table.rows:
        writer.writerow(_row_as_dict(row).values())
    return out.getvalue()


def _format_json(table: Table) -> str:
    rows = ",\n".join(f"    {_json(_row_as_dict(row))}" for row in table.rows)
    return (
        f'{{\n  "based_on": {table.version},\n  "floors": {_json(list(table.floors))},\n'
        f'  "rows": [\n{rows}\n  ]\n}}\n'
    )


def _json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)


def _row_as_dict(row: Row) -> dict[str, Any]:
    return {**row._asdict(), "rank": row.rank.name.lower()}
