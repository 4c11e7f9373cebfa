"""Status reports: one VM of each data centre asks the others what is in force, and stores it."""

import asyncio
from collections.abc import Callable

from auburncart.coordination.interfaces import Key, Store
from auburncart.coordination.membership import MembershipList
from auburncart.coordination.peers import Peers
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.exception import LinkError, StoreConflictError, StoreUnavailableError
from auburncart.state.member import Condition, Member
from auburncart.state.payload import StatusAsk, StatusNews
from auburncart.state.status import DataCentreStatus, VmStatus

__all__ = ["StatusReporter", "status_key"]

MIN_INTERVAL_SECONDS = 5.0
INTERVAL_SECONDS_PER_VM = 0.2
ANSWER_TIMEOUT_SECONDS = 1.5
MAX_PENDING_QUESTIONS = 4
REPORT_INTERVAL_SECONDS = 60.0


def status_key(data_centre: str) -> Key[DataCentreStatus]:
    """Return the key under which the status of a data centre is stored."""
    return Key("status", data_centre)


class StatusReporter:
    """Reports for its data centre on the VM that rendezvous hashing selects.

    :param own_status: returns what is in force on this VM.
    :param clock: returns seconds since the epoch.
    """

    def __init__(
        self,
        store: Store,
        membership: MembershipList,
        peers: Peers,
        own_status: Callable[[], StatusNews],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._membership = membership
        self._peers = peers
        self._own_status = own_status
        self._clock = clock
        self._last_written: DataCentreStatus | None = None
        peers.serve(StatusAsk, self._answer)

    async def run(self) -> None:
        """Report each change, and at least every ``REPORT_INTERVAL_SECONDS``, until cancelled."""
        while True:
            vms = self._local_vms()
            await asyncio.sleep(max(MIN_INTERVAL_SECONDS, INTERVAL_SECONDS_PER_VM * len(vms)))
            if self._is_reporter(vms):
                await self._report(vms)

    def _local_vms(self) -> list[Member]:
        own = self._membership.own.data_centre
        return sorted(
            (
                member
                for member in self._membership.known()
                if member.data_centre == own and member.condition is not Condition.ENDED
            ),
            key=lambda member: member.address,
        )

    def _is_reporter(self, vms: list[Member]) -> bool:
        own = self._membership.own
        live = [member.address for member in self._membership.live(own.data_centre)]
        return rendezvous_select(f"reporter {own.data_centre}", live, 1) == [own.address]

    async def _report(self, vms: list[Member]) -> None:
        question_slots = asyncio.Semaphore(MAX_PENDING_QUESTIONS)
        statuses = await asyncio.gather(*(self._ask(member, question_slots) for member in vms))
        own = self._membership.own
        status = DataCentreStatus(own.data_centre, self._clock(), own.address, tuple(statuses))
        if not self._must_write(status):
            return
        key = status_key(own.data_centre)
        try:
            stored = await self._store.read(key)
            await self._store.write(key, status, stored.etag if stored else "")
        except (StoreUnavailableError, StoreConflictError):
            return
        self._last_written = status

    async def _ask(self, member: Member, question_slots: asyncio.Semaphore) -> VmStatus:
        if member.address == self._membership.own.address:
            return _status_of(member, self._own_status())
        if member.condition is Condition.GONE:
            return VmStatus(member, None, "no answer")
        try:
            async with question_slots:
                answer = await self._ask_and_disconnect(member)
        except LinkError as error:
            return VmStatus(member, None, error.reason)
        if not isinstance(answer, StatusNews):
            return VmStatus(member, None, "unexpected answer to the status question")
        return _status_of(member, answer)

    async def _ask_and_disconnect(self, member: Member) -> tuple[object, ...]:
        was_linked = member.address in self._peers.links
        try:
            return await self._peers.ask(member, StatusAsk(), ANSWER_TIMEOUT_SECONDS)
        finally:
            if not was_linked:
                await self._peers.disconnect(member.address, "status request ended")

    def _must_write(self, status: DataCentreStatus) -> bool:
        old = self._last_written
        return (
            old is None
            or old.vms != status.vms
            or status.when - old.when >= REPORT_INTERVAL_SECONDS
        )

    async def _answer(self, question: StatusAsk, origin: Member) -> StatusNews:
        return self._own_status()


def _status_of(member: Member, news: StatusNews) -> VmStatus:
    return VmStatus(member, news.versions, news.not_ready_reason)
