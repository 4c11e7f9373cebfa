"""Acquires, confirms, releases and reclaims seats through the platform's store."""

import asyncio
import random
from collections.abc import Callable, Iterable

from eliot import log_message

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.interfaces import Store
from auburncart.coordination.membership import MembershipList
from auburncart.coordination.peers import Peers
from auburncart.coordination.seats import SeatShares, seats_key
from auburncart.coordination.synchroniser import is_store_reader
from auburncart.exception import StoreConflictError, StoreUnavailableError
from auburncart.state.member import Condition, Member
from auburncart.state.payload import SeatSeen
from auburncart.state.seat import Seat, SeatPlan, SeatPlans
from auburncart.state.shards import Replica

__all__ = ["SeatManager"]

CHECK_INTERVAL_SECONDS = 0.2
REPEAT_INTERVAL_SECONDS = 5.0
RECLAIM_INTERVAL_SECONDS = 3.0
MAX_PLANS = 64


class SeatManager:
    """Acquires this VM's seat and keeps the plans of its data centre up to date.

    :param shares: the shares under the plans.
    :param connection_counts: returns the number of connections held to each replica.
    :param trim_connections: closes idle connections above the shares.
    :param install: called with plans read from the store or written to it.
    """

    def __init__(
        self,
        shares: SeatShares,
        store: Store,
        membership: MembershipList,
        peers: Peers,
        connection_counts: Callable[[], Iterable[tuple[Replica, int]]],
        trim_connections: Callable[[], None],
        install: Callable[[SeatPlans], None],
        seed: int,
    ) -> None:
        self._shares = shares
        self._store = store
        self._membership = membership
        self._peers = peers
        self._connection_counts = connection_counts
        self._trim_connections = trim_connections
        self._install = install
        self._key = seats_key(membership.own.data_centre)
        self._random = random.Random(f"{seed} seats")
        self._leaving = False
        self._confirmed_epoch = 0
        self._confirmed_at = 0.0
        peers.subscribe(SeatSeen, self._receive_confirmation)

    async def confirm_plans(self) -> None:
        """Close connections above the shares and confirm each plan; runs until cancelled."""
        loop = asyncio.get_running_loop()
        last_change = -1
        while True:
            if (
                self._shares.change_count != last_change
                or self._confirmed_epoch < self._shares.epoch
            ):
                last_change = self._shares.change_count
                self._trim_connections()
            if self._must_confirm(loop.time()) and self._shares.keeps_to_plan(
                self._connection_counts()
            ):
                self._confirm(loop.time())
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def maintain(self) -> None:
        """Acquire a seat; on a store reader, reclaim those of ended VMs. Runs until cancelled."""
        backoff = Backoff(self._random)
        while not self._leaving:
            try:
                if not self._shares.seated:
                    await self._join()
                elif is_store_reader(self._membership) and self._ended_seats():
                    await self._change(None, self._ended_seats())
                backoff.reset()
                await asyncio.sleep(RECLAIM_INTERVAL_SECONDS * self._random.uniform(0.5, 1.0))
            except (StoreUnavailableError, StoreConflictError):
                await asyncio.sleep(backoff.next_delay())

    async def _join(self) -> None:
        try:
            await self._change(self._shares.own, ())
        except StoreUnavailableError:
            # The previous process at this address has ended: its seat needs no new plan.
            plans = self._shares.plans
            for seat in plans.newest.seats if plans else ():
                if seat.address == self._shares.own.address and seat != self._shares.own:
                    log_message(message_type="seat_adopted", seat=seat.address)
                    self._shares.adopt(seat)
                    return
            raise

    async def release(self) -> None:
        """Release this VM's seat; all its connections must be closed."""
        self._leaving = True
        try:
            await self._change(None, (self._shares.own,))
        except (StoreUnavailableError, StoreConflictError) as error:
            log_message(message_type="seat_not_freed", reason=str(error))

    def _receive_confirmation(self, confirmation: SeatSeen, origin: Member) -> None:
        if origin.data_centre == self._membership.own.data_centre:
            self._shares.confirm(confirmation.seat, confirmation.epoch)

    def _must_confirm(self, now: float) -> bool:
        plans = self._shares.plans
        if plans is None:
            return False
        unsettled = len(plans.plans) > 1
        return self._confirmed_epoch < self._shares.epoch or (
            unsettled and now - self._confirmed_at >= REPEAT_INTERVAL_SECONDS
        )

    def _confirm(self, now: float) -> None:
        self._confirmed_epoch, self._confirmed_at = self._shares.epoch, now
        self._peers.publish_local(SeatSeen(self._shares.own, self._confirmed_epoch))

    def _ended_seats(self) -> tuple[Seat, ...]:
        plans = self._shares.plans
        seats = plans.newest.seats if plans else ()
        return tuple(seat for seat in seats if self._has_ended(seat))

    def _has_ended(self, seat: Seat) -> bool:
        # A newer process at the same address takes over the seat itself.
        member = self._membership.find(seat.address)
        return member is not None and member.condition is Condition.ENDED

    async def _change(self, joining: Seat | None, leaving: tuple[Seat, ...]) -> None:
        stored = await self._store.read(self._key)
        old = stored.value if stored else SeatPlans((SeatPlan(0, ()),))
        seats = [seat for seat in old.newest.seats if seat not in leaving]
        if joining is not None:
            # A new process at an address shows that the previous one has ended.
            seats = [seat for seat in seats if seat.address != joining.address] + [joining]
        if tuple(seats) == old.newest.seats:
            self._install(old)
            return
        plans = self._add_plan(old, tuple(seats))
        if len(plans.plans) > MAX_PLANS:
            raise StoreUnavailableError("too many seat plans are unconfirmed", step="seat")
        await self._store.write(self._key, plans, stored.etag if stored else "")
        log_message(message_type="seats_changed", epoch=plans.newest.epoch, seats=len(seats))
        self._install(plans)

    def _add_plan(self, old: SeatPlans, seats: tuple[Seat, ...]) -> SeatPlans:
        newest = SeatPlan(old.newest.epoch + 1, seats)
        oldest = min((self._shares.confirmed(seat) for seat in old.newest.seats), default=0)
        kept = tuple(plan for plan in old.plans if plan.epoch >= oldest)
        return SeatPlans((*(kept or old.plans[-1:]), newest))
