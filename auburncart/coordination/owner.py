"""One VM writes each bucket of claims, as long as the VMs agree on who is there."""

import asyncio
from collections.abc import Callable

from auburncart.coordination.claims import Claims
from auburncart.coordination.idempotency import locate_bucket
from auburncart.coordination.interfaces import Membership, PeerBus
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.exception import LinkError, StoreUnavailableError
from auburncart.state.member import Member
from auburncart.state.order import ClaimChange, ClaimQuestion, ClaimReply, ClaimVerdict

__all__ = ["OwnedClaims", "owner_of"]

OWNER_SECONDS = 1.0
RELAY_SECONDS = 1.5  # a relay waits for the owner within this time
AVOID_SECONDS = 5.0  # for which a VM that did not answer is not asked again


def owner_of(bucket: int, data_centres: tuple[str, ...], membership: Membership) -> Member:
    """Return the VM that stands first for a bucket in the first of some data centres.

    The data centre is chosen first, then a VM in it, so that the cost grows with the VMs of one
    data centre and a lost VM moves only the buckets that it wrote.

    :param bucket: number of the bucket, the same in every period.
    :param data_centres: names of the data centres to choose from.
    :return: this VM if there is no other.
    """
    purpose = f"claims {bucket}"
    for data_centre in rendezvous_select(purpose, data_centres, len(data_centres)):
        members = {member.address: member for member in membership.live(data_centre)}
        if members:
            return members[rendezvous_select(purpose, members, 1)[0]]
    return membership.own


class OwnedClaims(Claims):
    """Hands changes to the bucket's relay in this data centre, and that to the bucket's owner.

    A VM so has links to the relays of its own data centre only, and an owner to one relay of each
    data centre. Whoever gets no answer applies the change itself.

    Only the number of writes depends on who owns a bucket. That a claim is held once depends on
    the conditional write alone, and a change may be applied twice. So it does no harm if two VMs
    take themselves for the owner, or if a question whose answer was lost is acted on later.

    :param direct: applies changes through the store.
    :param data_centres: returns the names of all data centres.
    """

    def __init__(
        self,
        direct: Claims,
        membership: Membership,
        bus: PeerBus,
        data_centres: Callable[[], tuple[str, ...]],
    ) -> None:
        self._direct = direct
        self._membership = membership
        self._bus = bus
        self._data_centres = data_centres
        self._avoided: dict[str, float] = {}
        bus.serve(ClaimQuestion, self._answer)

    async def apply(self, change: ClaimChange) -> ClaimVerdict:
        """Apply one change with the next write of its bucket, wherever that is made."""
        bucket = locate_bucket(change.claim.key).bucket
        relay = owner_of(bucket, (self._membership.own.data_centre,), self._membership)
        if self._is_own(relay):
            return await self._through_owner(change)
        return await self._through(relay, ClaimQuestion(change, False), RELAY_SECONDS)

    async def _through_owner(self, change: ClaimChange) -> ClaimVerdict:
        bucket = locate_bucket(change.claim.key).bucket
        owner = owner_of(bucket, self._data_centres(), self._membership)
        if self._is_own(owner):
            return await self._direct.apply(change)
        return await self._through(owner, ClaimQuestion(change, True), OWNER_SECONDS)

    async def _through(
        self, member: Member, question: ClaimQuestion, seconds: float
    ) -> ClaimVerdict:
        if self._avoids(member):
            return await self._direct.apply(question.change)
        reply = await self._asked(member, question, seconds)
        if reply.verdict is not None:
            return ClaimVerdict(reply.verdict, reply.claim)
        return await self._directly(question.change, reply.sent)

    async def _asked(self, member: Member, question: ClaimQuestion, seconds: float) -> ClaimReply:
        try:
            reply = await self._bus.ask(member, question, seconds)
        except LinkError as error:
            now = asyncio.get_running_loop().time()
            self._avoided[member.address] = now + AVOID_SECONDS
            return ClaimReply(None, sent=True, reason=str(error))
        if isinstance(reply, ClaimReply):
            return reply
        return ClaimReply(None, sent=True, reason="not a reply to a claim")

    async def _directly(self, change: ClaimChange, asked: bool) -> ClaimVerdict:
        """Apply a change that another VM may have applied, if it was ``asked``."""
        try:
            return await self._direct.apply(change)
        except StoreUnavailableError as error:
            raise StoreUnavailableError(
                error.reason, step=error.step, peer=error.peer, sent=error.sent or asked
            ) from error

    async def _answer(self, question: ClaimQuestion, origin: Member) -> ClaimReply:
        apply = self._direct.apply if question.relayed else self._through_owner
        try:
            verdict = await apply(question.change)
        except StoreUnavailableError as error:
            return ClaimReply(None, sent=error.sent, reason=str(error))
        return ClaimReply(verdict.verdict, verdict.claim)

    def _is_own(self, member: Member) -> bool:
        return member.address == self._membership.own.address

    def _avoids(self, member: Member) -> bool:
        until = self._avoided.get(member.address, 0.0)
        if asyncio.get_running_loop().time() < until:
            return True
        self._avoided.pop(member.address, None)
        return False
