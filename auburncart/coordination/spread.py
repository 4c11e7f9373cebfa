"""How the table and the shard map reach every VM: few read the store, the rest ask peers."""

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
from auburncart.coordination.rendezvous import top
from auburncart.coordination.subject import Subject
from auburncart.exception import LinkError
from auburncart.state.fact import NoAnswer
from auburncart.state.member import Member

__all__ = ["Spread", "is_reader"]

READERS = 2
ROLE_SECONDS = 2.0
LEAST_SECONDS = 0.1  # between two watches
FIRST_RETRY_SECONDS = 0.5
MOST_RETRY_SECONDS = 10.0
WAIT_SECONDS = 20.0
BACKUP_SECONDS_PER_VM = 5.0
LEAST_BACKUP_SECONDS = 30.0
ASK_SECONDS = 2.0
NEXT_ASK_SECONDS = 0.4
T = TypeVar("T")


def is_reader(membership: Membership) -> bool:
    """Return whether this VM is one of those that watch the store for its data centre."""
    own = membership.own
    near = [member.address for member in membership.live(own.data_centre)]
    return own.address in top(f"reader {own.data_centre}", near, READERS)


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
        backoff = Backoff(self._random, FIRST_RETRY_SECONDS, MOST_RETRY_SECONDS)
        failing = False
        while True:
            try:
                await (self._watch if is_reader(self._membership) else self._back_up)()
            except Exception as error:
                self._observer.count("store_unavailable")
                if not failing:
                    log_message(
                        message_type="store_lost", kind=self._subject.name, reason=str(error)
                    )
                failing = True
                await asyncio.sleep(backoff.next_delay())
                continue
            if failing:
                log_message(message_type="store_back", kind=self._subject.name)
            failing = False
            backoff.reset()

    async def pull(self) -> None:
        """Ask peers for what they announced until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            announced = await self._announced.take(loop.time() + WAIT_SECONDS)
            newest = max((version for version, _ in announced), default=0)
            members = {member.address: member for version, member in announced if version == newest}
            if newest > self._subject.version:
                await self._ask_until(newest, list(members.values()))

    async def _ask_until(self, version: int, members: list[Member]) -> None:
        """Ask one member after the other, the next one as well when an answer takes long."""
        asked: list[asyncio.Task[None]] = []
        try:
            for member in members:
                asked.append(asyncio.create_task(self._ask(member)))
                await asyncio.wait(
                    asked, timeout=NEXT_ASK_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                asked = [task for task in asked if not task.done()]
                if self._subject.version >= version:
                    return
            if asked:
                await asyncio.wait(asked)
        finally:
            for task in asked:
                task.cancel()

    async def _watch(self) -> None:
        # The wait ends with the watch, so that a change of role takes effect within it.
        stored = await watch_once(self._store, self._subject.key, self._etag)
        self._observer.count("store_call")
        if stored is not None:
            self._take(stored.value, "store")
            self._etag = stored.etag
        await asyncio.sleep(LEAST_SECONDS)

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
        self._observer.count("store_call")
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
            self._observer.count("pull_failed")
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
            self._observer.set_gauge(f"{self._subject.name}_version", version)
            self._changed()
        elif version < self._subject.version:
            self._observer.count("older_version_ignored")
            log_message(
                message_type="older_version_ignored",
                subject=self._subject.name,
                offered=version,
                in_force=self._subject.version,
                source=source,
            )
