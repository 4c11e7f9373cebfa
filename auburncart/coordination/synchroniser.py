"""Keeps versioned objects up to date: few VMs watch the store, the others pull from peers."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from eliot import log_message

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.follow import watch_once
from auburncart.coordination.interfaces import Membership, PeerBus, Store
from auburncart.coordination.mailbox import Mailbox
from auburncart.coordination.observer import Observer
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.coordination.versioned import VersionedObject
from auburncart.exception import LinkError
from auburncart.state.member import Member
from auburncart.state.payload import NoAnswer

__all__ = ["Synchroniser", "is_store_reader"]

READERS = 2
ROLE_CHECK_SECONDS = 2.0
MIN_WATCH_INTERVAL_SECONDS = 0.1  # between two watches
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 10.0
ANNOUNCEMENT_WAIT_SECONDS = 20.0
FALLBACK_READ_SECONDS_PER_VM = 5.0
MIN_FALLBACK_READ_SECONDS = 30.0
ANSWER_TIMEOUT_SECONDS = 2.0
NEXT_MEMBER_SECONDS = 0.4
T = TypeVar("T")


def is_store_reader(membership: Membership) -> bool:
    """Return whether this VM is one of those that watch the store for its data centre.

    Rendezvous hashing selects ``READERS`` of the live VMs.
    """
    own = membership.own
    local = [member.address for member in membership.live(own.data_centre)]
    return own.address in rendezvous_select(f"reader {own.data_centre}", local, READERS)


class Synchroniser(Generic[T]):
    """Keeps one versioned object up to date on this VM.

    :param on_change: called after each new version, to announce it to the peers at once.
    :param seed: seed of the random delays.
    """

    def __init__(
        self,
        versioned: VersionedObject[T],
        store: Store,
        membership: Membership,
        bus: PeerBus,
        on_change: Callable[[], None],
        observer: Observer,
        seed: int,
    ) -> None:
        self._versioned = versioned
        self._store = store
        self._membership = membership
        self._bus = bus
        self._on_change = on_change
        self._observer = observer
        self._random = random.Random(f"{seed} {versioned.name}")
        self._announcements: Mailbox[tuple[int, Member]] = Mailbox()
        self._etag = ""
        bus.serve(versioned.question_type, self._answer)

    def install_local(self, value: T) -> None:
        """Put a value in force that this VM itself has written or read."""
        self._install(value, "own")

    def version_announced(self, version: int, member: Member) -> None:
        """Note that another VM has a version in force, and pull it if it is newer."""
        if version > self._versioned.version:
            self._announcements.post((version, member))

    async def read_store(self) -> None:
        """Follow the store until cancelled: as a reader by watching, else by occasional reads."""
        backoff = Backoff(self._random, FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS)
        failing = False
        while True:
            try:
                await (self._watch if is_store_reader(self._membership) else self._read_seldom)()
            except Exception as error:
                self._observer.count("store_unavailable")
                if not failing:
                    log_message(
                        message_type="store_lost", kind=self._versioned.name, reason=str(error)
                    )
                failing = True
                await asyncio.sleep(backoff.next_delay())
                continue
            if failing:
                log_message(message_type="store_back", kind=self._versioned.name)
            failing = False
            backoff.reset()

    async def pull_announced(self) -> None:
        """Pull newer versions from the peers that announced them, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            announced = await self._announcements.take(loop.time() + ANNOUNCEMENT_WAIT_SECONDS)
            newest = max((version for version, _ in announced), default=0)
            members = {member.address: member for version, member in announced if version == newest}
            if newest > self._versioned.version:
                await self._ask_until(newest, list(members.values()))

    async def _ask_until(self, version: int, members: list[Member]) -> None:
        """Ask members in turn, the next one after an answer or ``NEXT_MEMBER_SECONDS``."""
        asked: list[asyncio.Task[None]] = []
        try:
            for member in members:
                asked.append(asyncio.create_task(self._ask(member)))
                await asyncio.wait(
                    asked, timeout=NEXT_MEMBER_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                asked = [task for task in asked if not task.done()]
                if self._versioned.version >= version:
                    return
            if asked:
                await asyncio.wait(asked)
        finally:
            for task in asked:
                task.cancel()

    async def _watch(self) -> None:
        # A change of role takes effect when the watch ends, at the latest after its timeout.
        stored = await watch_once(self._store, self._versioned.key, self._etag)
        self._observer.count("store_call")
        if stored is not None:
            self._install(stored.value, "store")
            self._etag = stored.etag
        await asyncio.sleep(MIN_WATCH_INTERVAL_SECONDS)

    async def _read_seldom(self) -> None:
        loop = asyncio.get_running_loop()
        vms = len(self._membership.live(self._membership.own.data_centre))
        interval = max(MIN_FALLBACK_READ_SECONDS, FALLBACK_READ_SECONDS_PER_VM * vms)
        until = loop.time() + interval * self._random.uniform(0.5, 1.5)
        while loop.time() < until and not is_store_reader(self._membership):
            if self._versioned.version == 0:
                break
            await asyncio.sleep(ROLE_CHECK_SECONDS * self._random.uniform(0.5, 1.5))
        stored = await self._store.read(self._versioned.key)
        self._observer.count("store_call")
        if stored is not None:
            self._install(stored.value, "store")
        if self._versioned.version == 0:
            await asyncio.sleep(ROLE_CHECK_SECONDS * self._random.uniform(0.5, 1.5))

    async def _ask(self, member: Member) -> None:
        try:
            payload = await self._bus.ask(
                member,
                self._versioned.question_type(self._versioned.version),
                ANSWER_TIMEOUT_SECONDS,
            )
        except LinkError:
            self._observer.count("pull_failed")
            return
        value = self._versioned.from_payload(payload)
        if value is not None:
            self._install(value, member.address)

    async def _answer(self, question: Any, origin: Member) -> tuple[Any, ...]:
        if self._versioned.version <= question.version:
            return NoAnswer("nothing newer")
        return self._versioned.to_payload()

    def _install(self, value: T, source: str) -> None:
        version = self._versioned.version_of(value)
        if self._versioned.install(value):
            log_message(
                message_type="in_force",
                subject=self._versioned.name,
                version=version,
                source=source,
            )
            self._observer.set_gauge(f"{self._versioned.name}_version", version)
            self._on_change()
        elif version < self._versioned.version:
            self._observer.count("older_version_ignored")
            log_message(
                message_type="older_version_ignored",
                subject=self._versioned.name,
                offered=version,
                in_force=self._versioned.version,
                source=source,
            )
