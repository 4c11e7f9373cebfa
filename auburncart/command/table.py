"""``auburncart table``: the operators' table."""

import asyncio
import sys
from pathlib import Path

import msgspec
from cyclopts import App

from auburncart.coordination import TABLE
from auburncart.protocol.table_file import read_table, table_of
from auburncart.state import TableDocument
from auburncart.transport.store import HttpStore

__all__ = ["app"]

app = App(name="table", help="Show and change the table of weights and limits.")


@app.command
def show(*, platform: str, token: str = "") -> int:
    """Print the table in force as JSON.

    :param platform: ``IP:port`` of the platform's store.
    :param token: credential for the platform.
    """
    stored = asyncio.run(HttpStore(platform, token).read(TABLE))
    table = stored.value.table if stored else None
    sys.stdout.write(msgspec.json.encode(table).decode() + "\n")
    return 0


@app.command
def apply(file: Path, *, platform: str, token: str = "") -> int:
    """Check a table and put it in force.

    :param file: the table as JSON with comments.
    :param platform: ``IP:port`` of the platform's store.
    :param token: credential for the platform.
    """
    written = read_table(file)
    version = asyncio.run(_apply(HttpStore(platform, token), written))
    sys.stdout.write(f"version {version} accepted\n")
    return 0


async def _apply(store: HttpStore, written) -> int:  # type: ignore[no-untyped-def]
    stored = await store.read(TABLE)
    version = stored.value.table.version + 1 if stored else 1
    await store.write(
        TABLE, TableDocument(table_of(written, version)), stored.etag if stored else ""
    )
    return version
