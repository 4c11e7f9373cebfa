"""``auburncart table``: shows and changes the operators' table.

Exit code in addition to the common ones: 4 if a concurrent change was written first, so that
nothing was written.
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

EXIT_NOT_IN_FORCE = 1
EXIT_CONFLICT = 4

app = App(name="table", help="Show and change the table of weights and limits.")
Platform = Annotated[str, Parameter(help="IP:port of the platform's store")]
Token = Annotated[str, Parameter(help="credential for the platform", env_var="AUBURNCART_TOKEN")]


@app.command
def show(*, platform: Platform, token: Token = "") -> int:
    """Print the stored table as JSON, ``null`` if there is none."""
    stored = _run(HttpStore(platform, token), lambda store: store.read(TABLE))
    table = table_as_dict(stored.value.table) if stored else None
    sys.stdout.write(msgspec.json.encode(table).decode() + "\n")
    return 0


@app.command
def check(file: Path) -> int:
    """Check a table and report all of its faults; exit code 2 if there is any.

    :param file: the table as JSON with comments, or as CSV if its name ends in .csv.
    """
    table_file = read_table(file)
    sys.stdout.write(f"{file}: {len(table_file.rows)} rows, no faults\n")
    return 0


@app.command
def export(*, platform: Platform, token: Token = "", form: str = "json") -> int:
    """Print the table as a file that can be edited and applied.

    :param form: json or csv.
    """
    stored = _run(HttpStore(platform, token), lambda store: store.read(TABLE))
    if stored is None:
        raise InputError("the store holds no table", step="export")
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
    """Check a table and write it with one conditional write.

    A file that does not name the version on which it is based is applied only with ``--based-on``,
    or if the store holds no table. Exit code 4: a concurrent change was written first.

    :param file: the table as JSON with comments, or as CSV if its name ends in .csv.
    :param based_on: version on which the file is based.
    :param above: version that the new one must exceed, after the store was restored from a backup.
    :param who: your name in the audit trail, your login name by default.
    :param change_id: identifier of a change to repeat because its outcome is unknown; a change is
        applied at most once.
    :param log_file: file for the log, - for standard error.
    """
    start_log(log_file)
    table_file = read_table(file)
    proposal = _proposal(table_file, based_on, above, change_id or uuid.uuid4().hex)
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
    """Print the newest changes, newest first, as one JSON object per line.

    :param limit: maximum number of changes to print.
    """
    entries = _run(HttpStore(platform, token), lambda store: _read_history(store, limit))
    for entry in entries:
        sys.stdout.write(msgspec.json.encode(audit_entry_as_dict(entry)).decode() + "\n")
    return 0


@app.command
def status(*, platform: Platform, token: Token = "") -> int:
    """Print the version in force on each VM, one VM per line.

    Each data centre reports its own VMs; its line shows the age of the report. Exit code 1: the
    stored version is not in force on every VM.
    """
    stored, reports = _run(HttpStore(platform, token), _read_status)
    version = stored.value.table.version if stored else 0
    sys.stdout.write(f"the store holds version {version}\n")
    outdated = False
    for report in reports:
        sys.stdout.write(f"{report.data_centre}: reported {time.time() - report.when:.0f} s ago\n")
        for vm in report.vms:
            outdated = outdated or vm.versions is None or vm.versions.table < version
            sys.stdout.write(f"  {_status_line(vm)}\n")
    return EXIT_NOT_IN_FORCE if outdated else 0


def _status_line(vm: VmStatus) -> str:
    member = vm.member
    vm_versions = vm.versions
    versions = (
        f"table {vm_versions.table}, shards {vm_versions.shards}" if vm_versions else "no answer"
    )
    not_ready = f" ({vm.not_ready_reason})" if vm_versions and vm.not_ready_reason else ""
    return f"{member.address} {member.condition.value}: {versions}{not_ready}"


async def _read_status(store: Store) -> tuple[Any, list[DataCentreStatus]]:
    stored = await store.read(TABLE)
    names = {member.data_centre for member in await store.members()}
    shards = await store.read(SHARD_MAP)
    if shards is not None:
        names |= {
            replica.data_centre
            for shard in shards.value.shards.values()
            for replica in shard.replicas
        }
    statuses = [await store.read(status_key(name)) for name in sorted(names)]
    return stored, [stored_status.value for stored_status in statuses if stored_status is not None]


async def _read_history(store: Store, limit: int) -> list[Any]:
    stored = await store.read(TABLE)
    return await read_history(store, stored.value, limit) if stored else []


def _proposal(table_file: TableFile, based_on: int | None, above: int, change_id: str) -> Proposal:
    base = table_file.based_on if based_on is None else based_on
    table = table_from_file(table_file, 0)
    return Proposal(change_id, table.rows, table.floors, base or 0, above)


def _run(store: HttpStore, call) -> Any:  # type: ignore[no-untyped-def]
    async def run() -> Any:
        try:
            return await call(store)
        finally:
            store.close()

    return asyncio.run(run())
