"""The membership list of one VM: which VMs it knows, and the condition of each.

Updates spread by gossip and are merged as in SWIM: any VM may suspect another, and only the
suspected VM itself can refute that, by raising its own version. A suspicion that is not refuted
within ``SUSPICION_TIMEOUT_SECONDS`` makes the VM gone.

References
----------
A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002.
"""

import asyncio
from collections.abc import Callable, Container, Iterator
from typing import NamedTuple

import xxhash
from eliot import log_message

from auburncart.coordination.interfaces import Membership
from auburncart.state.member import Condition, Member
from auburncart.state.payload import MemberNews, Roll

__all__ = ["MembershipList"]

SUSPICION_TIMEOUT_SECONDS = 5.0
PLATFORM_LAG_SECONDS = 120.0
FORGET_ABSENT_SECONDS = 3600.0
CONDITION_PRECEDENCE = {condition: precedence for precedence, condition in enumerate(Condition)}
ACTIVE_CONDITIONS = (Condition.LIVE, Condition.SUSPECT)
ABSENT_CONDITIONS = (Condition.GONE, Condition.ENDED)
# The condition to assign to a VM that cannot be reached, by its condition so far.
CONDITION_IF_UNREACHABLE = {Condition.LIVE: Condition.SUSPECT, Condition.LEAVING: Condition.GONE}
DIGESTED_CONDITIONS = (Condition.LIVE, Condition.SUSPECT, Condition.LEAVING)


class _MemberRecord(NamedTuple):
    """The newest update about one VM.

    :param since: loop time at which the VM's condition last changed.
    """

    update: MemberNews
    since: float

    @property
    def member(self) -> Member:
        return self.update.member

    @property
    def precedence(self) -> tuple[int, int, int]:
        member = self.update.member
        return member.incarnation, self.update.own_version, CONDITION_PRECEDENCE[member.condition]


class MembershipList(Membership):
    """The VMs that this VM knows, with their conditions.

    :param own: this VM.
    """

    def __init__(self, own: Member) -> None:
        self._own = MemberNews(own, 0)
        self._records: dict[str, _MemberRecord] = {}
        self._candidate_addresses: set[str] = set()
        self._last_listed: dict[str, float] = {}
        self._queued: dict[str, MemberNews] = {}
        self._notify: Callable[[], None] = lambda: None
        self._digests: tuple[tuple[str, int], ...] | None = None

    @property
    def own(self) -> Member:
        """This VM."""
        return self._own.member

    @property
    def candidate_addresses(self) -> set[str]:
        """Addresses at which there may be a VM: seeds, and the platform's list."""
        return self._candidate_addresses

    @property
    def digests(self) -> tuple[tuple[str, int], ...]:
        """A digest of the members for each data centre; equal on VMs whose lists agree.

        Members that are gone or ended are left out.
        """
        if self._digests is None:
            self._digests = self._make_digests()
        return self._digests

    def live(self, data_centre: str) -> tuple[Member, ...]:
        """Return the VMs of a data centre that are live or only suspected, by address."""
        return tuple(
            sorted(
                (member for member in self.members() if member.data_centre == data_centre),
                key=lambda member: member.address,
            )
        )

    def members(self) -> list[Member]:
        """Return all VMs that are live or only suspected; this VM too unless it is leaving."""
        return [member for member in self.known() if member.condition in ACTIVE_CONDITIONS]

    def known(self) -> list[Member]:
        """Return all VMs on the list, whatever their condition."""
        return [self.own, *(record.member for record in self._records.values())]

    def data_centres(self) -> list[str]:
        """Return the data centres of all VMs on the list, by name."""
        return sorted({member.data_centre for member in self.known()})

    def max_active_vms(self, data_centre: str) -> int:
        """Return the number of VMs that may still act in a data centre."""
        others = sum(
            record.member.data_centre == data_centre
            and record.member.condition is not Condition.ENDED
            for record in self._records.values()
        )
        return others + (self.own.data_centre == data_centre)

    def find(self, address: str) -> Member | None:
        """Return the VM at an address, None if it is not on the list."""
        record = self._records.get(address)
        return record.member if record else None

    def condition(self, address: str) -> Condition | None:
        """Return the condition of the VM at an address, None if it is not on the list."""
        record = self._records.get(address)
        return record.member.condition if record else None

    def unreachable(self) -> list[str]:
        """Return the addresses of VMs that are suspected or gone and may come back."""
        return [
            address
            for address, record in self._records.items()
            if record.member.condition in (Condition.SUSPECT, Condition.GONE)
        ]

    def on_queued(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` from now on whenever an update is queued for gossip."""
        self._notify = notify

    def take_queued(self) -> Roll:
        """Return the updates queued for gossip, and empty the queue."""
        queued, self._queued = self._queued, {}
        return Roll(tuple(queued.values()))

    def snapshot(self, data_centres: Container[str]) -> Roll:
        """Return the newest update of each member of some data centres."""
        return Roll(
            tuple(
                update
                for update in self._all_updates()
                if update.member.data_centre in data_centres
            )
        )

    def mark_live(self, member: Member) -> None:
        """Add a member that has just proved a key, or note its newer incarnation."""
        live = member._replace(condition=Condition.LIVE)
        record = self._records.get(member.address)
        if record is None or record.member.incarnation < member.incarnation:
            self.apply(MemberNews(live, 0))

    def suspect(self, address: str) -> None:
        """Suspect a VM that cannot be reached; one that was leaving is gone at once."""
        record = self._records.get(address)
        condition = CONDITION_IF_UNREACHABLE.get(record.member.condition) if record else None
        if record is not None and condition is not None:
            member = record.member._replace(condition=condition)
            log_message(message_type="member_suspected", member=address)
            self.apply(MemberNews(member, record.update.own_version))

    def leave(self, condition: Condition) -> None:
        """Announce that this VM is leaving, or that it has ended."""
        self._announce(self._own.member._replace(condition=condition))

    def apply(self, update: MemberNews) -> None:
        """Merge an update, and queue it for gossip if it was new."""
        if self.merge(update):
            self._queue(update)

    def apply_all(self, roll: Roll) -> None:
        """Merge many updates, and queue the new ones for gossip unless this VM has just started."""
        just_started = len(self._records) <= 1
        for update in roll.news:
            if self.merge(update) and not just_started:
                self._queue(update)

    def merge(self, update: MemberNews) -> bool:
        """Merge an update into the list; an update about this VM itself is refuted if it is wrong.

        :return: whether it was new.
        """
        member = update.member
        if member.address == self.own.address:
            self._refute(update)
            return False
        old = self._records.get(member.address)
        now = asyncio.get_running_loop().time()
        record = _MemberRecord(update, now)
        if old is not None and record.precedence <= old.precedence:
            return False
        if old is not None and old.member.condition is member.condition:
            record = record._replace(since=old.since)
        self._records[member.address] = record
        self._digests = None
        return True

    def expire(self) -> None:
        """Mark VMs gone that were suspect for too long, and forget those absent for long."""
        now = asyncio.get_running_loop().time()
        for address, record in list(self._records.items()):
            condition = record.member.condition
            if condition is Condition.SUSPECT and now - record.since >= SUSPICION_TIMEOUT_SECONDS:
                log_message(message_type="member_gone", member=address)
                member = record.member._replace(condition=Condition.GONE)
                self.merge(MemberNews(member, record.update.own_version))
            elif condition in ABSENT_CONDITIONS and now - record.since >= FORGET_ABSENT_SECONDS:
                del self._records[address]

    def apply_platform_list(self, members: tuple[Member, ...]) -> None:
        """Apply the platform's list of VMs, which lags behind.

        Its addresses become candidates. A VM that is gone, and missing from the list for
        ``PLATFORM_LAG_SECONDS``, has ended.
        """
        now = asyncio.get_running_loop().time()
        addresses = {member.address for member in members}
        self._candidate_addresses |= addresses - {self.own.address}
        self._last_listed.update(dict.fromkeys(addresses, now))
        for address, record in list(self._records.items()):
            last_listed = self._last_listed.setdefault(address, now)
            gone = record.member.condition is Condition.GONE
            if gone and now - max(last_listed, record.since) >= PLATFORM_LAG_SECONDS:
                self._candidate_addresses.discard(address)
                member = record.member._replace(condition=Condition.ENDED)
                self.apply(MemberNews(member, record.update.own_version))

    def _refute(self, update: MemberNews) -> None:
        own = self._own
        if update.member.incarnation > own.member.incarnation:
            self._announce(own.member._replace(incarnation=update.member.incarnation + 1))
        elif update.member.incarnation == own.member.incarnation and (
            update.own_version > own.own_version
            or (
                update.own_version == own.own_version
                and update.member.condition is not own.member.condition
            )
        ):
            self._own = MemberNews(own.member, max(own.own_version, update.own_version))
            self._announce(own.member)

    def _announce(self, member: Member) -> None:
        self._own = MemberNews(member, self._own.own_version + 1)
        self._digests = None
        self._queue(self._own)

    def _queue(self, update: MemberNews) -> None:
        self._queued[update.member.address] = update
        self._notify()

    def _all_updates(self) -> Iterator[MemberNews]:
        yield self._own
        yield from (record.update for record in self._records.values())

    def _make_digests(self) -> tuple[tuple[str, int], ...]:
        digests: dict[str, int] = {}
        for update in self._all_updates():
            if update.member.condition in DIGESTED_CONDITIONS:
                member = update.member
                text = (
                    f"{member.address}|{member.incarnation}|{update.own_version}"
                    f"|{member.condition.value}"
                )
                before = digests.get(member.data_centre, 0)
                digests[member.data_centre] = before ^ xxhash.xxh64_intdigest(text.encode())
        return tuple(sorted(digests.items()))
