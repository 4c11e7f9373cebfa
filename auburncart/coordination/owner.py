"""One VM writes each bucket of claims, as long as the VMs agree on who is there."""

import asyncio
from collections.abc import Callable

import xxhash

from auburncart.coordination.claims import Claims
from auburncart.coordination.idempotency import place_of
from auburncart.coordination.interfaces import Membership, PeerBus
from auburncart.exception import LinkError, StoreUnavailableError
from auburncart.state import ClaimChange, ClaimQuestion, ClaimReply, ClaimVerdict, Member

__all__ = ["OwnedClaims", "owner_of"]

ASK_SECONDS = 0.5
AVOID_SECONDS = 5.0  # for which an owner that did not answer is not asked again


def owner_of(name: str, data_centres: tuple[str, ...], membership: Membership) -> Member:
    """Return the VM that writes a bucket, by highest random weight.

    The data centre is chosen first, then a VM in it, so that the cost grows with the VMs of one
    data centre and a lost VM moves only the buckets that it wrote.

    :param name: name of the bucket.
    :param data_centres: names of all data centres.
    """
    for data_centre in sorted(data_centres, key=lambda centre: _weight(name, centre)):
        members = membership.live(data_centre)
        if members:
            return min(members, key=lambda member: _weight(name, member.address))
    return membership.own


class OwnedClaims(Claims):
    """Asks the owner of each bucket to apply changes, and applies them itself if that fails.

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
        place = place_of(change.claim.key)
        owner = owner_of(place.name, self._data_centres(), self._membership)
        if owner.address == self._membership.own.address or self._avoids(owner):
            return await self._direct.apply(change)
        reply = await self._asked(owner, change)
        if reply.verdict is not None:
            return ClaimVerdict(reply.verdict, reply.claim)
        return await self._directly(change, reply.sent)

    def _avoids(self, owner: Member) -> bool:
        until = self._avoided.get(owner.address, 0.0)
        if asyncio.get_running_loop().time() < until:
            return True
        self._avoided.pop(owner.address, None)
        return False

    async def _asked(self, owner: Member, change: ClaimChange) -> ClaimReply:
        try:
            reply = await self._bus.ask(owner, ClaimQuestion(change), ASK_SECONDS)
        except LinkError as error:
            now = asyncio.get_running_loop().time()
            self._avoided[owner.address] = now + AVOID_SECONDS
            return ClaimReply(None, sent=True, reason=str(error))
        if isinstance(reply, ClaimReply):
            return reply
        return ClaimReply(None, sent=True, reason="not a reply to a claim")

    async def _directly(self, change: ClaimChange, asked: bool) -> ClaimVerdict:
        """Apply a change that the owner may have applied, if it was ``asked``."""
        try:
            return await self._direct.apply(change)
        except StoreUnavailableError as error:
            raise StoreUnavailableError(
                error.reason, step=error.step, peer=error.peer, sent=error.sent or asked
            ) from error

    async def _answer(self, question: ClaimQuestion, origin: Member) -> ClaimReply:
        try:
            verdict = await self._direct.apply(question.change)
        except StoreUnavailableError as error:
            return ClaimReply(None, sent=error.sent, reason=str(error))
        return ClaimReply(verdict.verdict, verdict.claim)


def _weight(name: str, other: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}/{other}".encode())
