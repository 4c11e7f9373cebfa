"""One VM writes each bucket of claims, as long as the VMs agree on who is there."""

from collections.abc import Callable

import xxhash

from auburncart.coordination.claims import Claims
from auburncart.coordination.idempotency import place_of
from auburncart.coordination.interfaces import Membership, PeerBus
from auburncart.exception import LinkError, StoreUnavailableError
from auburncart.state import ClaimChange, ClaimQuestion, ClaimReply, ClaimVerdict, Member

__all__ = ["OwnedClaims", "owner_of"]

ASK_SECONDS = 0.5


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
        bus.serve(ClaimQuestion, self._answer)

    async def apply(self, change: ClaimChange) -> ClaimVerdict:
        """Apply one change with the next write of its bucket, wherever that is made."""
        place = place_of(change.claim.key)
        owner = owner_of(place.name, self._data_centres(), self._membership)
        if owner.address == self._membership.own.address:
            return await self._direct.apply(change)
        try:
            reply = await self._bus.ask(owner, ClaimQuestion(change), ASK_SECONDS)
        except LinkError:
            return await self._direct.apply(change)
        return _verdict_of(reply, owner)

    async def _answer(self, question: ClaimQuestion, origin: Member) -> ClaimReply:
        try:
            verdict = await self._direct.apply(question.change)
        except StoreUnavailableError as error:
            return ClaimReply(None, sent=error.sent, reason=str(error))
        return ClaimReply(verdict.verdict, verdict.claim)


def _verdict_of(reply: tuple[object, ...], owner: Member) -> ClaimVerdict:
    if not isinstance(reply, ClaimReply):
        raise StoreUnavailableError("not a reply to a claim", step="claim", peer=owner.address)
    if reply.verdict is None:
        raise StoreUnavailableError(reply.reason, step="claim", peer=owner.address, sent=reply.sent)
    return ClaimVerdict(reply.verdict, reply.claim)


def _weight(name: str, other: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}/{other}".encode())
