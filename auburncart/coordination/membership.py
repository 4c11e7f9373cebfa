"""What this VM believes of the others: news by suspicion and contradiction, newest wins.

The rule is SWIM's: anyone may say that a VM is suspect, only the VM itself can contradict, by
raising its turn. A suspicion that nobody contradicts for a while makes the VM gone.

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
from auburncart.state.fact import MemberNews, Roll
from auburncart.state.member import Condition, Member

__all__ = ["Roster"]

SUSPECT_SECONDS = 5.0
PLATFORM_LAG_SECONDS = 120.0
FORGET_SECONDS = 3600.0
SEVERITY = {condition: place for place, condition in enumerate(Condition)}
ACTIVE = (Condition.LIVE, Condition.SUSPECT)
ABSENT = (Condition.GONE, Condition.ENDED)
# What a VM that cannot be reached is taken for, by its condition before.
DOUBTED = {Condition.LIVE: Condition.SUSPECT, Condition.LEAVING: Condition.GONE}
COUNTED = (Condition.LIVE, Condition.SUSPECT, Condition.LEAVING)


class _Record(NamedTuple):
    """What is believed of one VM.

    :param since: loop time at which its condition became what it is.
    """

    news: MemberNews
    since: float

    @property
    def member(self) -> Member:
        return self.news.member

    @property
    def order(self) -> tuple[int, int, int]:
        member = self.news.member
        return member.incarnation, self.news.turn, SEVERITY[member.condition]


class Roster(Membership):
    """The members that this VM knows.

    :param own: this VM.
    """

    def __init__(self, own: Member) -> None:
        self._own = MemberNews(own, 0)
        self._records: dict[str, _Record] = {}
        self._hints: set[str] = set()
        self._listed: dict[str, float] = {}
        self._fresh: dict[str, MemberNews] = {}
        self._wake: Callable[[], None] = lambda: None
        self._digests: tuple[tuple[str, int], ...] | None = None

    @property
    def own(self) -> Member:
        """This VM."""
        return self._own.member

    @property
    def hints(self) -> set[str]:
        """Addresses that may belong to a VM: seeds, and the platform's list."""
        return self._hints

    @property
    def digests(self) -> tuple[tuple[str, int], ...]:
        """Each data centre with a digest of its members not gone; equal on VMs that agree."""
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
        """Return all VMs that are live or only suspected, this VM among them unless it leaves."""
        return [member for member in self.known() if member.condition in ACTIVE]

    def known(self) -> list[Member]:
        """Return all VMs remembered, whatever their condition."""
        return [self.own, *(record.member for record in self._records.values())]

    def data_centres(self) -> list[str]:
        """Return the data centres of all VMs known, by name."""
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
        """Return what is believed of the VM at an address, None if it is not known."""
        record = self._records.get(address)
        return record.member if record else None

    def condition(self, address: str) -> Condition | None:
        """Return the condition of a VM, None if it is not known."""
        record = self._records.get(address)
        return record.member.condition if record else None

    def lost(self) -> list[str]:
        """Return the addresses of VMs that are suspected or gone and may come back."""
        return [
            address
            for address, record in self._records.items()
            if record.member.condition in (Condition.SUSPECT, Condition.GONE)
        ]

    def bind(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` from now on whenever there is news to pass on."""
        self._wake = wake

    def take_fresh(self) -> Roll:
        """Return the news to pass on, and forget that it was to be passed on."""
        fresh, self._fresh = self._fresh, {}
        return Roll(tuple(fresh.values()))

    def roll(self, data_centres: Container[str]) -> Roll:
        """Return all that is believed of some data centres, for a VM that may know less."""
        return Roll(
            tuple(news for news in self._all_news() if news.member.data_centre in data_centres)
        )

    def heard(self, member: Member) -> None:
        """Take in that a member has proved a key just now."""
        live = member._replace(condition=Condition.LIVE)
        record = self._records.get(member.address)
        if record is None or record.member.incarnation < member.incarnation:
            self.learn(MemberNews(live, 0))

    def suspect(self, address: str) -> None:
        """Say that a VM cannot be reached."""
        record = self._records.get(address)
        doubted = DOUBTED.get(record.member.condition) if record else None
        if record is not None and doubted is not None:
            member = record.member._replace(condition=doubted)
            log_message(message_type="member_suspected", member=address)
            self.learn(MemberNews(member, record.news.turn))

    def leave(self, condition: Condition) -> None:
        """Say of this VM that it is leaving, or that it has ended."""
        self._say(self._own.member._replace(condition=condition))

    def learn(self, news: MemberNews) -> None:
        """Take news in, and pass it on if it is new."""
        if self.merge(news):
            self._pass_on(news)

    def learn_roll(self, roll: Roll) -> None:
        """Take much news in; what is new is passed on unless this VM has just begun."""
        first = len(self._records) <= 1
        for news in roll.news:
            if self.merge(news) and not first:
                self._pass_on(news)

    def merge(self, news: MemberNews) -> bool:
        """Take news in.

        :return: whether it was new.
        """
        member = news.member
        if member.address == self.own.address:
            self._contradict(news)
            return False
        old = self._records.get(member.address)
        now = asyncio.get_running_loop().time()
        record = _Record(news, now)
        if old is not None and record.order <= old.order:
            return False
        if old is not None and old.member.condition is member.condition:
            record = record._replace(since=old.since)
        self._records[member.address] = record
        self._digests = None
        return True

    def tick(self) -> None:
        """Turn old suspicions into absences, and forget what ended long ago."""
        now = asyncio.get_running_loop().time()
        for address, record in list(self._records.items()):
            condition = record.member.condition
            if condition is Condition.SUSPECT and now - record.since >= SUSPECT_SECONDS:
                log_message(message_type="member_gone", member=address)
                member = record.member._replace(condition=Condition.GONE)
                self.merge(MemberNews(member, record.news.turn))
            elif condition in ABSENT and now - record.since >= FORGET_SECONDS:
                del self._records[address]

    def take_list(self, members: tuple[Member, ...]) -> None:
        """Take the platform's list in: a hint where to look, and in time a proof of absence."""
        now = asyncio.get_running_loop().time()
        addresses = {member.address for member in members}
        self._hints |= addresses - {self.own.address}
        self._listed.update(dict.fromkeys(addresses, now))
        for address, record in list(self._records.items()):
            listed = self._listed.setdefault(address, now)
            gone = record.member.condition is Condition.GONE
            if gone and now - max(listed, record.since) >= PLATFORM_LAG_SECONDS:
                self._hints.discard(address)
                member = record.member._replace(condition=Condition.ENDED)
                self.learn(MemberNews(member, record.news.turn))

    def _contradict(self, news: MemberNews) -> None:
        own = self._own
        if news.member.incarnation > own.member.incarnation:
            self._say(own.member._replace(incarnation=news.member.incarnation + 1))
        elif news.member.incarnation == own.member.incarnation and (
            news.turn > own.turn
            or (news.turn == own.turn and news.member.condition is not own.member.condition)
        ):
            self._own = MemberNews(own.member, max(own.turn, news.turn))
            self._say(own.member)

    def _say(self, member: Member) -> None:
        self._own = MemberNews(member, self._own.turn + 1)
        self._digests = None
        self._pass_on(self._own)

    def _pass_on(self, news: MemberNews) -> None:
        self._fresh[news.member.address] = news
        self._wake()

    def _all_news(self) -> Iterator[MemberNews]:
        yield self._own
        yield from (record.news for record in self._records.values())

    def _make_digests(self) -> tuple[tuple[str, int], ...]:
        digests: dict[str, int] = {}
        for news in self._all_news():
            if news.member.condition in COUNTED:
                member = news.member
                text = f"{member.address}|{member.incarnation}|{news.turn}|{member.condition.value}"
                before = digests.get(member.data_centre, 0)
                digests[member.data_centre] = before ^ xxhash.xxh64_intdigest(text.encode())
        return tuple(sorted(digests.items()))
