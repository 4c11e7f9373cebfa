"""Taking, confirming, giving back and reclaiming seats through the platform's store."""

import asyncio
import random
from collections.abc import Callable, Iterable

from eliot import log_message

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.interfaces import Store
from auburncart.coordination.membership import Roster
from auburncart.coordination.peers import Peers
from auburncart.coordination.seats import SeatShares, seats_key
from auburncart.coordination.spread import is_reader
from auburncart.exception import StoreConflictError, StoreUnavailableError
from auburncart.state.fact import SeatSeen
from auburncart.state.member import Condition, Member
from auburncart.state.seat import Seat, SeatPlan, SeatPlans
from auburncart.state.shards import Replica

__all__ = ["SeatManager"]

TICK_SECONDS = 0.2
REPEAT_SECONDS = 5.0
RECLAIM_SECONDS = 3.0
MOST_PLANS = 64


class SeatManager:
    """Keeps this VM's seat.

    :param shares: the shares that follow from the plans.
    :param held: returns the connections held at the moment, by replica.
    :param trim: closes idle connections that exceed the shares.
    :param learnt: called with plans read from the store.
    """

    def __init__(
        self,
        shares: SeatShares,
        store: Store,
        roster: Roster,
        peers: Peers,
        held: Callable[[], Iterable[tuple[Replica, int]]],
        trim: Callable[[], None],
        learnt: Callable[[SeatPlans], None],
        seed: int,
    ) -> None:
        self._shares = shares
        self._store = store
        self._roster = roster
        self._peers = peers
        self._held = held
        self._trim = trim
        self._learnt = learnt
        self._key = seats_key(roster.own.data_centre)
        self._random = random.Random(f"{seed} seats")
        self._leaving = False
        self._said = 0
        self._said_at = 0.0
        peers.subscribe(SeatSeen, self._heard)

    async def confirm_plans(self) -> None:
        """Hand connections back as plans change, and confirm each plan; runs until cancelled."""
        loop = asyncio.get_running_loop()
        seen = -1
        while True:
            if self._shares.changes != seen or self._said < self._shares.epoch:
                seen = self._shares.changes
                self._trim()
            if self._must_say(loop.time()) and self._shares.keeps_to_plan(self._held()):
                self._say(loop.time())
            await asyncio.sleep(TICK_SECONDS)

    async def maintain(self) -> None:
        """Take a seat, and as a reader reclaim those of ended VMs; runs until cancelled."""
        backoff = Backoff(self._random)
        while not self._leaving:
            try:
                if not self._shares.seated:
                    await self._join()
                elif is_reader(self._roster) and self._ended():
                    await self._change(None, self._ended())
                backoff.reset()
                await asyncio.sleep(RECLAIM_SECONDS * self._random.uniform(0.5, 1.0))
            except (StoreUnavailableError, StoreConflictError):
                await asyncio.sleep(backoff.next_delay())

    async def _join(self) -> None:
        try:
            await self._change(self._shares.own, ())
        except StoreUnavailableError:
            # The process that had a seat at this address has ended: its seat needs no new plan.
            plans = self._shares.plans
            for seat in plans.newest.seats if plans else ():
                if seat.address == self._shares.own.address and seat != self._shares.own:
                    log_message(message_type="seat_adopted", seat=seat.address)
                    self._shares.adopt(seat)
                    return
            raise

    async def release(self) -> None:
        """Free this VM's seat; all its connections are closed by now."""
        self._leaving = True
        try:
            await self._change(None, (self._shares.own,))
        except (StoreUnavailableError, StoreConflictError) as error:
            log_message(message_type="seat_not_freed", reason=str(error))

    def _heard(self, seen: SeatSeen, origin: Member) -> None:
        if origin.data_centre == self._roster.own.data_centre:
            self._shares.confirm(seen.seat, seen.epoch)

    def _must_say(self, now: float) -> bool:
        plans = self._shares.plans
        if plans is None:
            return False
        unsettled = len(plans.plans) > 1
        return self._said < self._shares.epoch or (
            unsettled and now - self._said_at >= REPEAT_SECONDS
        )

    def _say(self, now: float) -> None:
        self._said, self._said_at = self._shares.epoch, now
        self._peers.publish_near(SeatSeen(self._shares.own, self._said))

    def _ended(self) -> tuple[Seat, ...]:
        plans = self._shares.plans
        seats = plans.newest.seats if plans else ()
        return tuple(seat for seat in seats if self._has_ended(seat))

    def _has_ended(self, seat: Seat) -> bool:
        # A newer process at the same address takes the seat over by itself.
        member = self._roster.find(seat.address)
        return member is not None and member.condition is Condition.ENDED

    async def _change(self, joining: Seat | None, leaving: tuple[Seat, ...]) -> None:
        stored = await self._store.read(self._key)
        old = stored.value if stored else SeatPlans((SeatPlan(0, ()),))
        seats = [seat for seat in old.newest.seats if seat not in leaving]
        if joining is not None:
            # A new process at an address shows that the one before it has ended.
            seats = [seat for seat in seats if seat.address != joining.address] + [joining]
        if tuple(seats) == old.newest.seats:
            self._learnt(old)
            return
        plans = self._with(old, tuple(seats))
        if len(plans.plans) > MOST_PLANS:
            raise StoreUnavailableError("too many plans are unconfirmed", step="seat")
        await self._store.write(self._key, plans, stored.etag if stored else "")
        log_message(message_type="seats_changed", epoch=plans.newest.epoch, seats=len(seats))
        self._learnt(plans)

    def _with(self, old: SeatPlans, seats: tuple[Seat, ...]) -> SeatPlans:
        newest = SeatPlan(old.newest.epoch + 1, seats)
        oldest = min((self._shares.confirmed(seat) for seat in old.newest.seats), default=0)
        kept = tuple(plan for plan in old.plans if plan.epoch >= oldest)
        return SeatPlans((*(kept or old.plans[-1:]), newest))
