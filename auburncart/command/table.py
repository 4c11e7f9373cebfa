"""``auburncart table``: the operators' table.

Exit codes beside the common ones: 4 another change came first and nothing was written.
"""

import asyncio
import getpass
import sys
import time
import uuid
from pathlib import Path
from typing import Annotated, Any

import msgspec
from cyclopts import App, Parameter

from auburncart.coordination.audit import describe_entry, read_history
from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.change import Author, Proposal, TableEditor
from auburncart.coordination.interfaces import Store
from auburncart.coordination.status import status_key
from auburncart.coordination.table import TABLE
from auburncart.daemon.entry import start_log
from auburncart.exception import InputError, TableConflictError
from auburncart.protocol.table_file import (
    TableFile,
    audit_entry_as_dict,
    format_table,
    read_table,
    table_as_dict,
    table_from_file,
)
from auburncart.state.status import DataCentreStatus, VmStatus
from auburncart.transport.address import own_address
from auburncart.transport.store import HttpStore

__all__ = ["app"]

EXIT_BEHIND = 1
EXIT_CONFLICT = 4

app = App(name="table", help="Show and change the table of weights and limits.")
Platform = Annotated[str, Parameter(help="IP:port of the platform's store")]
Token = Annotated[str, Parameter(help="credential for the platform", env_var="AUBURNCART_TOKEN")]


@app.command
def show(*, platform: Platform, token: Token = "") -> int:
    """Print the table that the store holds as JSON, ``null`` if there is none."""
    stored = _run(HttpStore(platform, token), lambda store: store.read(TABLE))
    table = table_as_dict(stored.value.table) if stored else None
    sys.stdout.write(msgspec.json.encode(table).decode() + "\n")
    return 0


@app.command
def check(file: Path) -> int:
    """Check a table and name all of its faults; exit code 2 if there is any.

    :param file: the table as JSON with comments, or as CSV if its name ends in .csv.
    """
    written = read_table(file)
    sys.stdout.write(f"{file}: {len(written.rows)} rows, no faults\n")
    return 0


@app.command
def export(*, platform: Platform, token: Token = "", form: str = "json") -> int:
    """Print the table as a file to edit and apply again.

    :param form: json or csv.
    """
    stored = _run(HttpStore(platform, token), lambda store: store.read(TABLE))
    if stored is None:
        raise InputError("the store holds no table yet", step="export")
    sys.stdout.write(format_table(stored.value.table, form))
    return 0


@app.command
def apply(
    file: Path,
    *,
    platform: Platform,
    token: Token = "",
    based_on: int | None = None,
    above: int = 0,
    who: str = "",
    change_id: str = "",
    log_file: str = "-",
) -> int:
    """Check a table and put it in force by one conditional write.

    A file that names no version it is based on is applied only with ``--based-on``, or where
    the store holds no table yet. Exit code 4: another change came first.

    :param file: the table as JSON with comments, or as CSV if its name ends in .csv.
    :param based_on: version that the file was made from.
    :param above: version that the new one must exceed, after the store was restored from a copy.
    :param who: your name in the audit trail, your login name if not given.
    :param change_id: repeat one whose outcome was unknown; it is applied at most once.
    :param log_file: file for the log, - for standard error.
    """
    start_log(log_file)
    written = read_table(file)
    proposal = _proposal(written, based_on, above, change_id or uuid.uuid4().hex)
    editor = TableEditor(
        store := HttpStore(platform, token), Author(who or getpass.getuser(), own_address(platform))
    )
    try:
        accepted = _run(store, lambda _: editor.apply(proposal, time.time()))
    except TableConflictError as error:
        sys.stderr.write("\n".join((str(error), *error.changes)) + "\n")
        return EXIT_CONFLICT
    if accepted.entry is None:
        sys.stdout.write(f"version {accepted.version} stays in force: nothing new\n")
    elif accepted.repeated:
        sys.stdout.write(f"accepted before: {describe_entry(accepted.entry)}\n")
    else:
        sys.stdout.write(f"accepted: {describe_entry(accepted.entry)}\n")
    return 0


@app.command
def history(*, platform: Platform, token: Token = "", limit: int = 20) -> int:
    """Print the newest changes, newest first, one JSON object a line.

    :param limit: most changes to print.
    """
    entries = _run(HttpStore(platform, token), lambda store: _history(store, limit))
    for entry in entries:
        sys.stdout.write(msgspec.json.encode(audit_entry_as_dict(entry)).decode() + "\n")
    return 0


@app.command
def status(*, platform: Platform, token: Token = "") -> int:
    """Print which VM has which version in force, one VM a line.

    Each data centre reports its own VMs; the age of the report is on its line. Exit code 1: some
    VM does not have the stored version in force.
    """
    stored, centres = _run(HttpStore(platform, token), _status)
    version = stored.value.table.version if stored else 0
    sys.stdout.write(f"the store holds version {version}\n")
    behind = False
    for centre in centres:
        sys.stdout.write(f"{centre.data_centre}: reported {time.time() - centre.when:.0f} s ago\n")
        for vm in centre.vms:
            behind = behind or vm.versions is None or vm.versions.table < version
            sys.stdout.write(f"  {_status_line(vm)}\n")
    return EXIT_BEHIND if behind else 0


def _status_line(vm: VmStatus) -> str:
    member = vm.member
    known = vm.versions
    versions = f"table {known.table}, shards {known.shards}" if known else "no answer"
    lacking = f" ({vm.not_ready_reason})" if known and vm.not_ready_reason else ""
    return f"{member.address} {member.condition.value}: {versions}{lacking}"


async def _status(store: Store) -> tuple[Any, list[DataCentreStatus]]:
    stored = await store.read(TABLE)
    names = {member.data_centre for member in await store.members()}
    shards = await store.read(SHARD_MAP)
    if shards is not None:
        names |= {
            replica.data_centre
            for shard in shards.value.shards.values()
            for replica in shard.replicas
        }
    found = [await store.read(status_key(name)) for name in sorted(names)]
    return stored, [one.value for one in found if one is not None]


async def _history(store: Store, limit: int) -> list[Any]:
    stored = await store.read(TABLE)
    return await read_history(store, stored.value, limit) if stored else []


def _proposal(written: TableFile, based_on: int | None, above: int, change_id: str) -> Proposal:
    base = written.based_on if based_on is None else based_on
    table = table_from_file(written, 0)
    return Proposal(change_id, table.rows, table.floors, base or 0, above)


def _run(store: HttpStore, call) -> Any:  # type: ignore[no-untyped-def]
    async def run() -> Any:
        try:
            return await call(store)
        finally:
            store.close()

    return asyncio.run(run())
