"""The versioned objects that every VM is to have in force: table, shard map, seat plans."""

from abc import ABC, abstractmethod
from typing import Any, Generic, TypeVar

from auburncart.coordination.catalogue import SHARD_MAP, Catalogue
from auburncart.coordination.interfaces import Key
from auburncart.coordination.seats import SeatShares, seats_key
from auburncart.coordination.table import TABLE, CurrentTable
from auburncart.state.payload import (
    MapAsk,
    MapNews,
    NoAnswer,
    SeatAsk,
    SeatNews,
    TableAsk,
    TableNews,
)
from auburncart.state.seat import SeatPlans
from auburncart.state.shards import ShardMap
from auburncart.state.table import TableDocument

__all__ = ["VersionedObject", "VersionedSeatPlans", "VersionedShardMap", "VersionedTable"]

T = TypeVar("T")


class VersionedObject(ABC, Generic[T]):
    """A stored object whose newest version every VM is to have in force.

    :cvar name: name in logs and metrics.
    :cvar key: key in the platform's store.
    :cvar question_type: class of the question by which a peer is asked for a newer version.
    """

    name: str
    key: Key[T]
    question_type: type[Any]

    @property
    @abstractmethod
    def version(self) -> int:
        """Version in force on this VM, 0 if there is none."""

    @abstractmethod
    def install(self, value: T) -> bool:
        """Put a value in force if it is newer, and return whether it was."""

    @abstractmethod
    def version_of(self, value: T) -> int:
        """Return the version of a value."""

    @abstractmethod
    def to_payload(self) -> tuple[Any, ...]:
        """Return the value in force as a payload to send to a peer."""

    @abstractmethod
    def from_payload(self, payload: tuple[Any, ...]) -> T | None:
        """Return the value that a payload carries, None if the payload is of another class."""


class VersionedTable(VersionedObject[TableDocument]):
    """The operators' table."""

    name = "table"
    key = TABLE
    question_type = TableAsk

    def __init__(self, tables: CurrentTable) -> None:
        self._tables = tables

    @property
    def version(self) -> int:
        """Version of the table in force."""
        return self._tables.version

    def install(self, value: TableDocument) -> bool:
        """Put a table in force if it is newer."""
        return self._tables.install(value)

    def version_of(self, value: TableDocument) -> int:
        """Return a table's version."""
        return value.table.version

    def to_payload(self) -> tuple[Any, ...]:
        """Return the table in force, without its audit trail."""
        document = self._tables.document
        if document is None:
            return NoAnswer("no table")
        return TableNews(TableDocument(document.table))

    def from_payload(self, payload: tuple[Any, ...]) -> TableDocument | None:
        """Return the table that a payload carries."""
        return payload.document if isinstance(payload, TableNews) else None


class VersionedShardMap(VersionedObject[ShardMap]):
    """The shard map."""

    name = "shards"
    key = SHARD_MAP
    question_type = MapAsk

    def __init__(self, catalogue: Catalogue) -> None:
        self._catalogue = catalogue

    @property
    def version(self) -> int:
        """Version of the shard map in force."""
        current = self._catalogue.current
        return current.version if current else 0

    def install(self, value: ShardMap) -> bool:
        """Put a shard map in force if it is newer."""
        return self._catalogue.install(value)

    def version_of(self, value: ShardMap) -> int:
        """Return a shard map's version."""
        return value.version

    def to_payload(self) -> tuple[Any, ...]:
        """Return the shard map in force."""
        current = self._catalogue.current
        return MapNews(current) if current else NoAnswer("no shard map")

    def from_payload(self, payload: tuple[Any, ...]) -> ShardMap | None:
        """Return the shard map that a payload carries."""
        return payload.shard_map if isinstance(payload, MapNews) else None


class VersionedSeatPlans(VersionedObject[SeatPlans]):
    """The seat plans of this VM's data centre."""

    name = "seats"
    question_type = SeatAsk

    def __init__(self, shares: SeatShares, data_centre: str) -> None:
        self._shares = shares
        self.key = seats_key(data_centre)

    @property
    def version(self) -> int:
        """Epoch of the newest plan, 0 if there is none."""
        return self._shares.epoch

    def install(self, value: SeatPlans) -> bool:
        """Put plans in force if they are newer."""
        return self._shares.install(value)

    def version_of(self, value: SeatPlans) -> int:
        """Return the epoch of the newest of some plans."""
        return value.newest.epoch

    def to_payload(self) -> tuple[Any, ...]:
        """Return the plans in force."""
        plans = self._shares.plans
        return SeatNews(plans) if plans else NoAnswer("no seat plan")

    def from_payload(self, payload: tuple[Any, ...]) -> SeatPlans | None:
        """Return the plans that a payload carries."""
        return payload.plans if isinstance(payload, SeatNews) and payload.plans.plans else None
