"""Receivers of the objects that a VM watches in the store."""

import asyncio

from auburncart.coordination.forwarding.configuration import ActiveConfiguration
from auburncart.coordination.forwarding.kinds import Entry, KindSink
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry

__all__ = ["ConfigurationSink", "ReplicaSink"]

MAIN = "main"  # name of the only object that holds the configuration


class ConfigurationSink(KindSink):
    """Puts each new version of the configuration in force.

    :param configuration: the configuration in force.
    """

    def __init__(self, configuration: ActiveConfiguration) -> None:
        self._configuration = configuration

    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Apply the listed configuration."""
        for entry in entries:
            self.apply_change(entry)

    def apply_change(self, entry: Entry) -> None:
        """Apply one change; a configuration that cannot be decoded is ignored."""
        if entry.name == MAIN and entry.value is not None:
            self._configuration.install(entry.value, entry.revision)

    def confirm(self) -> None:
        """Record that the version in force is the newest."""
        self._configuration.confirm()

    def store_recovered(self, failed_at: float) -> None:
        """Do nothing: the version in force stays until a newer one comes."""


class ReplicaSink(KindSink):
    """Keeps the registry of replicas up to date.

    :param registry: the replicas.
    :param stable_seconds: after an outage, until replicas that left during it must be gone.
    """

    def __init__(self, registry: ReplicaRegistry, stable_seconds: float) -> None:
        self._registry = registry
        self._stable_seconds = stable_seconds
        self._listed = asyncio.Event()

    @property
    def listed(self) -> bool:
        """Whether the list of replicas has been read once."""
        return self._listed.is_set()

    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Replace all replicas; entries that cannot be decoded are ignored."""
        self._registry.replace([entry.value for entry in entries if entry.value is not None])
        self._listed.set()

    def apply_change(self, entry: Entry) -> None:
        """Add, update or remove a replica; an entry that cannot be decoded removes it."""
        if entry.value is None:
            self._registry.remove(entry.name)
        else:
            self._registry.install(entry.value)

    def confirm(self) -> None:
        """Do nothing: a replica's entry is valid until it changes."""

    def store_recovered(self, failed_at: float) -> None:
        """Give replicas time to register again whose entries expired during the outage."""
        self._registry.store_recovered(failed_at + self._stable_seconds)
