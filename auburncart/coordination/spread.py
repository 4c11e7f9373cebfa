"""How the table and the shard map reach every VM: few read the store, the rest ask peers."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from eliot import log_message

from auburncart.coordination.catalogue import SHARD_MAP, Catalogue
from auburncart.coordination.interfaces import Key, Membership, PeerBus, Store
from auburncart.coordination.mailbox import Mailbox
from auburncart.coordination.observer import Observer
from auburncart.coordination.rendezvous import top
from auburncart.coordination.seats import SeatShares, seats_key
from auburncart.coordination.table import TABLE, TableKeeper
from auburncart.exception import LinkError, StoreUnavailableError
from auburncart.state import (
    MapAsk,
    MapNews,
    Member,
    NoAnswer,
    SeatAsk,
    SeatNews,
    SeatPlans,
    ShardMap,
    TableAsk,
    TableDocument,
    TableNews,
)

__all__ = ["MapSubject", "SeatSubject", "Spread", "Subject", "TableSubject", "is_reader"]

READERS = 2
WATCH_SECONDS = 20.0
ROLE_SECONDS = 2.0
RETRY_SECONDS = 0.5
MOST_RETRY_SECONDS = 10.0
BACKUP_SECONDS_PER_VM = 5.0
LEAST_BACKUP_SECONDS = 30.0
ASK_SECONDS = 1.5
T = TypeVar("T")


def is_reader(membership: Membership) -> bool:
    """Return whether this VM is one of those that watch the store for its data centre."""
    own = membership.own
    near = [member.address for member in membership.live(own.data_centre)]
    return own.address in top(f"reader {own.data_centre}", near, READERS)


class Subject(ABC, Generic[T]):
    """Something with versions that must be in force on every VM."""

    name: str
    key: Key[T]
    ask: type[Any]

    @property
    @abstractmethod
    def version(self) -> int:
        """Version in force on this VM, 0 if there is none."""

    @abstractmethod
    def install(self, value: T) -> bool:
        """Put a value in force if it is newer; return whether it was."""

    @abstractmethod
    def version_of(self, value: T) -> int:
        """Return the version of a value."""

    @abstractmethod
    def news(self) -> tuple[Any, ...]:
        """Return the fact that carries what is in force to a peer."""

    @abstractmethod
    def value_in(self, fact: tuple[Any, ...]) -> T | None:
        """Return the value that a fact carries, None if it is of another kind."""


class TableSubject(Subject[TableDocument]):
    """The operators' table."""

    name = "table"
    key = TABLE
    ask = TableAsk

    def __init__(self, tables: TableKeeper) -> None:
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

    def news(self) -> tuple[Any, ...]:
        """Return the table in force, without its audit trail."""
        document = self._tables.document
        if document is None:
            return NoAnswer("no table")
        return TableNews(TableDocument(document.table))

    def value_in(self, fact: tuple[Any, ...]) -> TableDocument | None:
        """Return the table that a fact carries."""
        return fact.document if isinstance(fact, TableNews) else None


class MapSubject(Subject[ShardMap]):
    """The shard map."""

    name = "shards"
    key = SHARD_MAP
    ask = MapAsk

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

    def news(self) -> tuple[Any, ...]:
        """Return the shard map in force."""
        current = self._catalogue.current
        return MapNews(current) if current else NoAnswer("no shard map")

    def value_in(self, fact: tuple[Any, ...]) -> ShardMap | None:
        """Return the shard map that a fact carries."""
        return fact.shard_map if isinstance(fact, MapNews) else None


class SeatSubject(Subject[SeatPlans]):
    """The seat plans of this VM's data centre."""

    name = "seats"
    ask = SeatAsk

    def __init__(self, shares: SeatShares, data_centre: str) -> None:
        self._shares = shares
        self.key = seats_key(data_centre)

    @property
    def version(self) -> int:
        """Epoch of the newest plan."""
        return self._shares.epoch

    def install(self, value: SeatPlans) -> bool:
        """Act by newer plans."""
        return self._shares.install(value)

    def version_of(self, value: SeatPlans) -> int:
        """Return the epoch of the newest of some plans."""
        return value.newest.epoch

    def news(self) -> tuple[Any, ...]:
        """Return the plans known."""
        plans = self._shares.plans
        return SeatNews(plans) if plans else NoAnswer("no seat plan")

    def value_in(self, fact: tuple[Any, ...]) -> SeatPlans | None:
        """Return the plans that a fact carries."""
        return fact.plans if isinstance(fact, SeatNews) else None


class Spread(Generic[T]):
    """Keeps one subject up to date on this VM.

    :param changed: called after each new version, to tell the peers at once.
    :param seed: seed of its random waits.
    """

    def __init__(
        self,
        subject: Subject[T],
        store: Store,
        membership: Membership,
        bus: PeerBus,
        changed: Callable[[], None],
        observer: Observer,
        seed: int,
    ) -> None:
        self._subject = subject
        self._store = store
        self._membership = membership
        self._bus = bus
        self._changed = changed
        self._observer = observer
        self._random = random.Random(f"{seed} {subject.name}")
        self._announced: Mailbox[tuple[int, Member]] = Mailbox()
        self._etag = ""
        bus.serve(subject.ask, self._answer)

    def offer(self, value: T) -> None:
        """Put a value in force that this VM itself wrote or read."""
        self._take(value, "own")

    def announced(self, version: int, member: Member) -> None:
        """Take in that a version is in force on another VM."""
        if version > self._subject.version:
            self._announced.post((version, member))

    async def read(self) -> None:
        """Read the store until cancelled: watch it as a reader, else seldom."""
        failures = 0
        while True:
            try:
                if is_reader(self._membership):
                    await self._watch()
                else:
                    await self._back_up()
                failures = 0
            except StoreUnavailableError as error:
                failures += 1
                self._observer.counted("store_unavailable")
                log_message(message_type="store_unavailable", step=error.step, reason=error.reason)
                longest = min(MOST_RETRY_SECONDS, RETRY_SECONDS * 2**failures)
                await asyncio.sleep(self._random.uniform(RETRY_SECONDS, longest))

    async def pull(self) -> None:
        """Ask peers for what they announced until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            announced = await self._announced.take(loop.time() + WATCH_SECONDS)
            newest = sorted(announced, key=lambda entry: entry[0], reverse=True)
            for version, member in newest:
                if version > self._subject.version:
                    await self._ask(member)

    async def _watch(self) -> None:
        # The wait ends with the watch, so that a change of role takes effect within it.
        stored = await self._store.watch(self._subject.key, self._etag, WATCH_SECONDS)
        self._observer.counted("store_call")
        if stored is not None:
            self._etag = stored.etag
            self._take(stored.value, "store")

    async def _back_up(self) -> None:
        loop = asyncio.get_running_loop()
        vms = len(self._membership.live(self._membership.own.data_centre))
        seconds = max(LEAST_BACKUP_SECONDS, BACKUP_SECONDS_PER_VM * vms)
        until = loop.time() + seconds * self._random.uniform(0.5, 1.5)
        while loop.time() < until and not is_reader(self._membership):
            if self._subject.version == 0:
                break
            await asyncio.sleep(ROLE_SECONDS * self._random.uniform(0.5, 1.5))
        stored = await self._store.read(self._subject.key)
        self._observer.counted("store_call")
        if stored is not None:
            self._take(stored.value, "store")
        if self._subject.version == 0:
            await asyncio.sleep(ROLE_SECONDS * self._random.uniform(0.5, 1.5))

    async def _ask(self, member: Member) -> None:
        try:
            fact = await self._bus.ask(
                member, self._subject.ask(self._subject.version), ASK_SECONDS
            )
        except LinkError:
            self._observer.counted("pull_failed")
            return
        value = self._subject.value_in(fact)
        if value is not None:
            self._take(value, member.address)

    async def _answer(self, question: Any, origin: Member) -> tuple[Any, ...]:
        if self._subject.version <= question.version:
            return NoAnswer("nothing newer")
        return self._subject.news()

    def _take(self, value: T, source: str) -> None:
        version = self._subject.version_of(value)
        if self._subject.install(value):
            log_message(
                message_type="in_force", subject=self._subject.name, version=version, source=source
            )
            self._observer.gauged(f"{self._subject.name}_version", version)
            self._changed()
        elif version < self._subject.version:
            self._observer.counted("older_version_ignored")
            log_message(
                message_type="older_version_ignored",
                subject=self._subject.name,
                offered=version,
                in_force=self._subject.version,
                source=source,
            )
