"""Which other VMs a VM keeps links to: few, whatever the size of its data centre."""

import asyncio
import random
from collections.abc import Iterable

import xxhash

from auburncart.coordination.membership import MembershipList
from auburncart.coordination.peers import LinkListener, Peers
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.state.fact import Roll
from auburncart.state.link import Heartbeat
from auburncart.state.member import Member

__all__ = ["Overlay", "relay_targets", "ring_neighbours"]

RING_LINKS = 4
RELAYS = 2
TICK_SECONDS = 0.5
NEWS_SECONDS = 0.05
PROBE_SECONDS = 4.0
IDLE_SECONDS = 10.0
MOST_SPARE_LINKS = 16
ROLL_SECONDS = 5.0
MOST_FAILED_SECONDS = 10.0
MISMATCHES = 2
MOST_JOIN_DIALS = 3


def ring_neighbours(own: str, addresses: Iterable[str]) -> list[str]:
    """Return the members of a data centre that a VM opens links to.

    The members stand on a ring by hash; a VM links to those at distances 1, n^1/4, n^1/2 and
    n^3/4. It holds about twice that many links, as many as it opens come from others, and any
    two VMs are a few links apart.

    >>> ring_neighbours("a", ["a", "b", "c"]) == ring_neighbours("a", ["c", "b", "a"])
    True
    """
    ring = sorted(
        {own, *addresses}, key=lambda address: (xxhash.xxh64_intdigest(address.encode()), address)
    )
    size = len(ring)
    place = ring.index(own)
    steps = {round(size ** (number / RING_LINKS)) for number in range(RING_LINKS)}
    return [ring[(place + step) % size] for step in sorted(steps) if step % size]


def relay_targets(own: Member, near: list[str], far: list[str], data_centre: str) -> list[str]:
    """Return the VMs of another data centre that a VM tries in turn, none if it is no relay.

    :param near: addresses in this VM's data centre.
    :param far: addresses in the other one.
    """
    purpose = f"relay {own.data_centre} {data_centre}"
    relays = rendezvous_select(purpose, near, RELAYS)
    if own.address not in relays or not far:
        return []
    order = rendezvous_select(purpose, far, len(far))
    place = relays.index(own.address) % len(order)
    return order[place:] + order[:place]


class Overlay(LinkListener):
    """Opens and closes links as members come and go, and notices those that cannot be reached.

    :param membership: what this VM believes.
    :param peers: its links.
    :param seed: seed of its random choices.
    """

    def __init__(self, membership: MembershipList, peers: Peers, seed: int) -> None:
        self._membership = membership
        self._peers = peers
        self._random = random.Random(seed)
        self._verify: set[str] = set()
        self._failed: dict[str, float] = {}
        self._mismatches: dict[str, int] = {}
        self._rolled: dict[str, float] = {}
        self._unwanted: dict[str, float] = {}
        self._next_probe = 0.0
        peers.add_listener(self)
        self._flush: asyncio.TimerHandle | None = None
        peers.subscribe(Roll, lambda roll, _: membership.apply_all(roll))
        membership.on_queued(self._schedule)

    def link_opened(self, member: Member) -> None:
        """Let the first heartbeat tell whether the two sides believe the same."""
        self._membership.mark_live(member)
        self._mismatches[member.address] = MISMATCHES
        self._rolled.pop(member.address, None)

    def link_closed(self, member: Member, goodbye: bool) -> None:
        """See whether the other side still answers, unless it said goodbye."""
        self._mismatches.pop(member.address, None)
        if not goodbye:
            self._verify.add(member.address)

    def heartbeat_received(self, member: Member, heartbeat: Heartbeat) -> None:
        """Send what is believed of a data centre if the sides differ at first or for long."""
        theirs, ours = set(heartbeat.digests), set(self._membership.digests)
        different = {data_centre for data_centre, _ in theirs ^ ours}
        if not different:
            self._mismatches.pop(member.address, None)
            return
        count = self._mismatches.get(member.address, 0) + 1
        self._mismatches[member.address] = count
        since = self._now() - self._rolled.get(member.address, -ROLL_SECONDS)
        if count >= MISMATCHES and since >= ROLL_SECONDS:
            self._rolled[member.address] = self._now()
            self._peers.send(member.address, self._membership.snapshot(different))

    async def run(self) -> None:
        """Keep the links until cancelled."""
        dials: set[asyncio.Task[None]] = set()
        while True:
            self._membership.expire()
            wanted = self._wanted()
            for address in sorted((wanted | self._due()) - self._peers.links.addresses):
                task = asyncio.create_task(self._dial(address), name=f"link {address}")
                dials.add(task)
                task.add_done_callback(dials.discard)
            await self._drop_unwanted(wanted)
            await asyncio.sleep(TICK_SECONDS * self._random.uniform(0.8, 1.2))

    def _schedule(self) -> None:
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_later(NEWS_SECONDS, self._pass_on)

    def _pass_on(self) -> None:
        # Each VM passes on only what was new to it, so that news ends by itself.
        self._flush = None
        roll = self._membership.take_queued()
        for address in sorted(self._peers.links.addresses):
            self._peers.send(address, roll)

    def _wanted(self) -> set[str]:
        own = self._membership.own
        by_centre: dict[str, list[str]] = {}
        for member in self._membership.members():
            by_centre.setdefault(member.data_centre, []).append(member.address)
        near = by_centre.pop(own.data_centre, [])
        wanted = set(ring_neighbours(own.address, near))
        for data_centre, far in by_centre.items():
            targets = relay_targets(own, near, far, data_centre)
            usable = [address for address in targets if not self._has_failed(address)]
            wanted.update(usable[:1])
        return wanted

    def _due(self) -> set[str]:
        due, self._verify = self._verify, set()
        if not len(self._peers.links):
            hints = sorted(self._membership.candidate_addresses | {one.address for one in self._membership.members()})
            due.update(self._random.sample(hints, min(MOST_JOIN_DIALS, len(hints))))
        if self._now() >= self._next_probe:
            self._next_probe = self._now() + PROBE_SECONDS * self._random.uniform(0.5, 1.5)
            due.update(self._probes())
        return due - {self._membership.own.address}

    def _probes(self) -> list[str]:
        live = {member.address for member in self._membership.members()}
        candidates = sorted(set(self._membership.unreachable()) | (self._membership.candidate_addresses - live))
        return self._random.sample(candidates, min(1, len(candidates)))

    async def _dial(self, address: str) -> None:
        if await self._peers.dial(address):
            self._failed.pop(address, None)
            return
        self._failed[address] = self._now()
        if self._in_own_centre(address):
            self._membership.suspect(address)

    def _in_own_centre(self, address: str) -> bool:
        own = self._membership.own.data_centre
        return any(
            member.address == address and member.data_centre == own
            for member in self._membership.known()
        )

    def _has_failed(self, address: str) -> bool:
        failed = self._failed.get(address)
        return failed is not None and self._now() - failed < MOST_FAILED_SECONDS

    async def _drop_unwanted(self, wanted: set[str]) -> None:
        now = self._now()
        dialled = {one.member.address for one in self._peers.links if one.dialled}
        for address in dialled & wanted:
            self._unwanted.pop(address, None)
        spare = dialled - wanted
        for address in sorted(spare):
            self._unwanted.setdefault(address, now)
        oldest = sorted(spare, key=lambda address: (self._unwanted[address], address))
        for place, address in enumerate(oldest):
            too_many = len(oldest) - place > MOST_SPARE_LINKS
            if too_many or now - self._unwanted[address] >= IDLE_SECONDS:
                del self._unwanted[address]
                await self._peers.disconnect(address, "not needed")

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
