"""What is done with the objects that a VM follows in the store."""

import asyncio

from auburncart.coordination.forwarding.configuration import ActiveConfiguration
from auburncart.coordination.forwarding.kinds import Entry, KindSink
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry

__all__ = ["ConfigurationSink", "ReplicaSink"]

MAIN = "main"  # name of the one object that holds the configuration


class ConfigurationSink(KindSink):
    """Puts each new version of the configuration in force.

    :param configuration: the configuration in force.
    """

    def __init__(self, configuration: ActiveConfiguration) -> None:
        self._configuration = configuration

    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Take in the whole list."""
        for entry in entries:
            self.change(entry)

    def change(self, entry: Entry) -> None:
        """Take in one change; a configuration that cannot be read leaves the one in force."""
        if entry.name == MAIN and entry.value is not None:
            self._configuration.install(entry.value, entry.revision)

    def confirm(self) -> None:
        """Take in that the version in force is the newest."""
        self._configuration.confirm()

    def store_recovered(self) -> None:
        """Do nothing: a version is never taken back."""


class ReplicaSink(KindSink):
    """Keeps the list of replicas.

    :param registry: the replicas.
    """

    def __init__(self, registry: ReplicaRegistry) -> None:
        self._registry = registry
        self._listed = asyncio.Event()

    @property
    def listed(self) -> bool:
        """Whether the list has been read once."""
        return self._listed.is_set()

    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Take in the whole list; an entry that cannot be read names no replica."""
        self._registry.replace([entry.value for entry in entries if entry.value is not None])
        self._listed.set()

    def change(self, entry: Entry) -> None:
        """Take in one change."""
        if entry.value is None:
            self._registry.remove(entry.name)
        else:
            self._registry.install(entry.value)

    def confirm(self) -> None:
        """Do nothing: each replica's state is what its entry says."""

    def store_recovered(self) -> None:
        """Let entries that lapsed while the store was away come again."""
        self._registry.store_recovered()
