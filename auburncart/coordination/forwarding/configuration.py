"""The configuration in force on this VM."""

import asyncio

from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.routes import RouteTable
from auburncart.state.configuration import Configuration
from auburncart.state.event import ConfigurationInForce

__all__ = ["ActiveConfiguration"]


class ActiveConfiguration:
    """Holds the newest configuration and never returns to an older one.

    :param journal: records each version that comes into force.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._table: RouteTable | None = None
        self._since = 0.0
        self._revision = 0
        self._confirmed_at = 0.0

    @property
    def table(self) -> RouteTable | None:
        """Routes in force, None before the first version."""
        return self._table

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self._table.configuration.version if self._table else 0

    @property
    def age(self) -> float:
        """Seconds since the store last confirmed that this version is the newest."""
        return asyncio.get_running_loop().time() - self._confirmed_at if self._table else 0.0

    def confirm(self) -> None:
        """Record that the store has just confirmed this version as the newest."""
        self._confirmed_at = asyncio.get_running_loop().time()

    def install(self, configuration: Configuration, revision: int = 0) -> bool:
        """Put a version in force if it is newer than the one in force.

        :param revision: revision of the store at which it was written, 0 if unknown.
        :return: whether it was put in force.
        """
        before = self.version
        if self._table is not None and configuration.version <= before:
            return False
        self._table = RouteTable(configuration)
        self._confirmed_at = asyncio.get_running_loop().time()
        self._journal.record(
            ConfigurationInForce(configuration.version, before, len(configuration.routes), revision)
        )
        return True
