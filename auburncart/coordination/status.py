"""One VM of each data centre asks the others what is in force, and reports it to the store."""

import asyncio
from collections.abc import Callable

from auburncart.coordination.interfaces import Key, Store
from auburncart.coordination.membership import MembershipList
from auburncart.coordination.peers import Peers
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.exception import LinkError, StoreConflictError, StoreUnavailableError
from auburncart.state.fact import StatusAsk, StatusNews
from auburncart.state.member import Condition, Member
from auburncart.state.status import CentreStatus, VmStatus

__all__ = ["Reporter", "status_key"]

LEAST_SECONDS = 5.0
SECONDS_PER_VM = 0.2
ASK_SECONDS = 1.5
MOST_ASKED = 4
REPEAT_SECONDS = 60.0


def status_key(data_centre: str) -> Key[CentreStatus]:
    """Return the key of a data centre's status."""
    return Key("status", data_centre)


class Reporter:
    """Reports for a data centre while this VM stands first for it.

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
        self._written: CentreStatus | None = None
        peers.serve(StatusAsk, self._answer)

    async def run(self) -> None:
        """Report until cancelled: when something changed, and now and then without a change."""
        while True:
            vms = self._vms()
            await asyncio.sleep(max(LEAST_SECONDS, SECONDS_PER_VM * len(vms)))
            if self._reports(vms):
                await self._report(vms)

    def _vms(self) -> list[Member]:
        own = self._membership.own.data_centre
        return sorted(
            (
                member
                for member in self._membership.known()
                if member.data_centre == own and member.condition is not Condition.ENDED
            ),
            key=lambda member: member.address,
        )

    def _reports(self, vms: list[Member]) -> bool:
        own = self._membership.own
        live = [member.address for member in self._membership.live(own.data_centre)]
        return rendezvous_select(f"reporter {own.data_centre}", live, 1) == [own.address]

    async def _report(self, vms: list[Member]) -> None:
        places = asyncio.Semaphore(MOST_ASKED)
        statuses = await asyncio.gather(*(self._ask(member, places) for member in vms))
        own = self._membership.own
        status = CentreStatus(own.data_centre, self._clock(), own.address, tuple(statuses))
        if not self._is_news(status):
            return
        key = status_key(own.data_centre)
        try:
            stored = await self._store.read(key)
            await self._store.write(key, status, stored.etag if stored else "")
        except (StoreUnavailableError, StoreConflictError):
            return
        self._written = status

    async def _ask(self, member: Member, places: asyncio.Semaphore) -> VmStatus:
        if member.address == self._membership.own.address:
            return _of(member, self._own_status())
        if member.condition is Condition.GONE:
            return VmStatus(member, None, "no answer")
        try:
            async with places:
                answer = await self._ask_briefly(member)
        except LinkError as error:
            return VmStatus(member, None, error.reason)
        if not isinstance(answer, StatusNews):
            return VmStatus(member, None, "no status in the answer")
        return _of(member, answer)

    async def _ask_briefly(self, member: Member) -> tuple[object, ...]:
        linked = member.address in self._peers.links
        try:
            return await self._peers.ask(member, StatusAsk(), ASK_SECONDS)
        finally:
            if not linked:
                await self._peers.disconnect(member.address, "asked")

    def _is_news(self, status: CentreStatus) -> bool:
        old = self._written
        return old is None or old.vms != status.vms or status.when - old.when >= REPEAT_SECONDS

    async def _answer(self, question: StatusAsk, origin: Member) -> StatusNews:
        return self._own_status()


def _of(member: Member, news: StatusNews) -> VmStatus:
    return VmStatus(member, news.versions, news.lacking)
