"""The operators' table in force on this VM."""

import asyncio
import random

from auburncart.coordination.follow import follow
from auburncart.coordination.interfaces import Key, Store
from auburncart.state.table import Table, TableDocument

__all__ = ["TABLE", "CurrentTable"]

TABLE: Key[TableDocument] = Key("table", "current")


class CurrentTable:
    """Holds the newest table; an older one never replaces it."""

    def __init__(self) -> None:
        self._document: TableDocument | None = None
        self._installed = asyncio.Event()

    @property
    def table(self) -> Table | None:
        """The table in force, None before the first."""
        return self._document.table if self._document else None

    @property
    def document(self) -> TableDocument | None:
        """The table in force with the known part of its audit trail, None before the first."""
        return self._document

    @property
    def version(self) -> int:
        """Version of the table in force, 0 before the first."""
        return self._document.table.version if self._document else 0

    async def wait(self) -> None:
        """Wait until a table is in force."""
        await self._installed.wait()

    def install(self, document: TableDocument) -> bool:
        """Put a table in force if it is newer than the one in force.

        :return: whether it was.
        """
        if self._document is not None and document.table.version <= self._document.table.version:
            return False
        self._document = document
        self._installed.set()
        return True

    async def follow(self, store: Store, rng: random.Random) -> None:
        """Watch the store and put each new table in force; runs until cancelled.

        :param rng: source of the jitter between failed attempts.
        """
        await follow(store, TABLE, self.install, rng)
