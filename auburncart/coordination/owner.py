"""Lets one VM, the owner, write each bucket of claims while the VMs agree on the members."""

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

OWNER_TIMEOUT_SECONDS = 1.0
RELAY_TIMEOUT_SECONDS = 1.5  # covers the time for which a relay waits for the owner
AVOID_AFTER_TIMEOUT_SECONDS = 5.0  # a VM that did not answer is not asked again for this long


def owner_of(bucket: int, data_centres: tuple[str, ...], membership: Membership) -> Member:
    """Return the VM that owns a bucket, by rendezvous hashing.

    The data centre is selected first, then a VM in it. So the cost grows only with the VMs of one
    data centre, and the loss of a VM moves only the buckets that it owned.

    :param bucket: number of the bucket, the same in every period.
    :param data_centres: names of the data centres to select from.
    :return: this VM if no other is live.
    """
    purpose = f"claims {bucket}"
    for data_centre in rendezvous_select(purpose, data_centres, len(data_centres)):
        members = {member.address: member for member in membership.live(data_centre)}
        if members:
            return members[rendezvous_select(purpose, members, 1)[0]]
    return membership.own


class OwnedClaims(Claims):
    """Forwards changes to the bucket's relay in this data centre, which forwards to the owner.

    So a VM needs links to the relays of its own data centre only, and an owner to one relay of each
    data centre. A VM that gets no answer applies the change itself.

    Ownership only reduces the number of writes. That a claim has one holder is ensured by the
    conditional write alone, and a change may be applied twice. So it does no harm if two VMs both
    act as the owner, or if a question whose answer was lost is acted on later.

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
        self._avoided_until: dict[str, float] = {}
        bus.serve(ClaimQuestion, self._answer)

    async def apply(self, change: ClaimChange) -> ClaimVerdict:
        """Apply one change with the next write of its bucket, on whichever VM that is made."""
        bucket = locate_bucket(change.claim.key).bucket
        relay = owner_of(bucket, (self._membership.own.data_centre,), self._membership)
        if self._is_this_vm(relay):
            return await self._apply_through_owner(change)
        return await self._apply_through(relay, ClaimQuestion(change, False), RELAY_TIMEOUT_SECONDS)

    async def _apply_through_owner(self, change: ClaimChange) -> ClaimVerdict:
        bucket = locate_bucket(change.claim.key).bucket
        owner = owner_of(bucket, self._data_centres(), self._membership)
        if self._is_this_vm(owner):
            return await self._direct.apply(change)
        return await self._apply_through(owner, ClaimQuestion(change, True), OWNER_TIMEOUT_SECONDS)

    async def _apply_through(
        self, member: Member, question: ClaimQuestion, timeout: float
    ) -> ClaimVerdict:
        if self._is_avoided(member):
            return await self._direct.apply(question.change)
        reply = await self._ask(member, question, timeout)
        if reply.verdict is not None:
            return ClaimVerdict(reply.verdict, reply.claim)
        return await self._apply_directly(question.change, reply.sent)

    async def _ask(self, member: Member, question: ClaimQuestion, timeout: float) -> ClaimReply:
        try:
            reply = await self._bus.ask(member, question, timeout)
        except LinkError as error:
            now = asyncio.get_running_loop().time()
            self._avoided_until[member.address] = now + AVOID_AFTER_TIMEOUT_SECONDS
            return ClaimReply(None, sent=True, reason=str(error))
        if isinstance(reply, ClaimReply):
            return reply
        return ClaimReply(None, sent=True, reason="unexpected answer to a claim question")

    async def _apply_directly(self, change: ClaimChange, may_be_applied: bool) -> ClaimVerdict:
        """Apply a change on this VM; another VM may have done so if ``may_be_applied``."""
        try:
            return await self._direct.apply(change)
        except StoreUnavailableError as error:
            raise StoreUnavailableError(
                error.reason, step=error.step, peer=error.peer, sent=error.sent or may_be_applied
            ) from error

    async def _answer(self, question: ClaimQuestion, origin: Member) -> ClaimReply:
        apply = self._direct.apply if question.relayed else self._apply_through_owner
        try:
            verdict = await apply(question.change)
        except StoreUnavailableError as error:
            return ClaimReply(None, sent=error.sent, reason=str(error))
        return ClaimReply(verdict.verdict, verdict.claim)

    def _is_this_vm(self, member: Member) -> bool:
        return member.address == self._membership.own.address

    def _is_avoided(self, member: Member) -> bool:
        until = self._avoided_until.get(member.address, 0.0)
        if asyncio.get_running_loop().time() < until:
            return True
        self._avoided_until.pop(member.address, None)
        return False
