"""The overlay network: which other VMs a VM keeps links to.

Each VM keeps few links, whatever the size of its data centre.
"""

import asyncio
import random
from collections.abc import Iterable

import xxhash

from auburncart.coordination.membership import MembershipList
from auburncart.coordination.peers import LinkListener, Peers
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.state.link import Heartbeat
from auburncart.state.member import Member
from auburncart.state.payload import Roll

__all__ = ["Overlay", "relay_targets", "ring_neighbours"]

RING_LINKS = 4
RELAYS = 2
MAINTENANCE_INTERVAL_SECONDS = 0.5
GOSSIP_DELAY_SECONDS = 0.05
PROBE_INTERVAL_SECONDS = 4.0
MAX_SPARE_LINK_SECONDS = 10.0
MAX_SPARE_LINKS = 16
SNAPSHOT_INTERVAL_SECONDS = 5.0
AVOID_FAILED_SECONDS = 10.0
MISMATCHES_BEFORE_SNAPSHOT = 2
MAX_JOIN_DIALS = 3


def ring_neighbours(own: str, addresses: Iterable[str]) -> list[str]:
    """Return the members of a data centre that a VM opens links to.

    The members are ordered on a ring by hash, and a VM links to those at distances 1, n^1/4,
    n^1/2 and n^3/4. As many links again are opened by others, so that a VM holds about twice that
    number, and any two VMs are a few links apart.

    >>> ring_neighbours("a", ["a", "b", "c"]) == ring_neighbours("a", ["c", "b", "a"])
    True
    """
    ring = sorted(
        {own, *addresses}, key=lambda address: (xxhash.xxh64_intdigest(address.encode()), address)
    )
    size = len(ring)
    position = ring.index(own)
    steps = {round(size ** (number / RING_LINKS)) for number in range(RING_LINKS)}
    return [ring[(position + step) % size] for step in sorted(steps) if step % size]


def relay_targets(own: Member, local: list[str], remote: list[str], data_centre: str) -> list[str]:
    """Return the VMs of another data centre that a VM tries to link to, in order of preference.

    :param local: addresses in this VM's data centre.
    :param remote: addresses in the other data centre.
    :return: nothing if this VM is not a relay to that data centre.
    """
    purpose = f"relay {own.data_centre} {data_centre}"
    relays = rendezvous_select(purpose, local, RELAYS)
    if own.address not in relays or not remote:
        return []
    order = rendezvous_select(purpose, remote, len(remote))
    position = relays.index(own.address) % len(order)
    return order[position:] + order[:position]


class Overlay(LinkListener):
    """Opens and closes links as members come and go, and suspects those it cannot reach.

    :param membership: the members that this VM knows.
    :param peers: the links of this VM.
    :param seed: seed of the random choices.
    """

    def __init__(self, membership: MembershipList, peers: Peers, seed: int) -> None:
        self._membership = membership
        self._peers = peers
        self._random = random.Random(seed)
        self._unverified: set[str] = set()
        self._failed_at: dict[str, float] = {}
        self._mismatches: dict[str, int] = {}
        self._snapshot_sent_at: dict[str, float] = {}
        self._spare_since: dict[str, float] = {}
        self._next_probe_at = 0.0
        peers.add_listener(self)
        self._gossip_timer: asyncio.TimerHandle | None = None
        peers.subscribe(Roll, lambda roll, _: membership.apply_all(roll))
        membership.on_queued(self._schedule_gossip)

    def link_opened(self, member: Member) -> None:
        """Have the first heartbeat show whether the two membership lists agree."""
        self._membership.mark_live(member)
        self._mismatches[member.address] = MISMATCHES_BEFORE_SNAPSHOT
        self._snapshot_sent_at.pop(member.address, None)

    def link_closed(self, member: Member, goodbye: bool) -> None:
        """Check whether the other side still answers, unless the link was closed on purpose."""
        self._mismatches.pop(member.address, None)
        if not goodbye:
            self._unverified.add(member.address)

    def heartbeat_received(self, member: Member, heartbeat: Heartbeat) -> None:
        """Send the members of the data centres in whose digests the two sides differ.

        Does so if they differ in the first heartbeat of a link, or in several in a row.
        """
        theirs, ours = set(heartbeat.digests), set(self._membership.digests)
        different = {data_centre for data_centre, _ in theirs ^ ours}
        if not different:
            self._mismatches.pop(member.address, None)
            return
        count = self._mismatches.get(member.address, 0) + 1
        self._mismatches[member.address] = count
        since = self._now() - self._snapshot_sent_at.get(member.address, -SNAPSHOT_INTERVAL_SECONDS)
        if count >= MISMATCHES_BEFORE_SNAPSHOT and since >= SNAPSHOT_INTERVAL_SECONDS:
            self._snapshot_sent_at[member.address] = self._now()
            self._peers.send(member.address, self._membership.snapshot(different))

    async def run(self) -> None:
        """Maintain the links until cancelled."""
        dials: set[asyncio.Task[None]] = set()
        while True:
            self._membership.expire()
            wanted = self._wanted_addresses()
            for address in sorted(
                (wanted | self._addresses_to_check()) - self._peers.links.addresses
            ):
                task = asyncio.create_task(self._dial(address), name=f"link {address}")
                dials.add(task)
                task.add_done_callback(dials.discard)
            await self._close_spare_links(wanted)
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))

    def _schedule_gossip(self) -> None:
        if self._gossip_timer is None:
            self._gossip_timer = asyncio.get_running_loop().call_later(
                GOSSIP_DELAY_SECONDS, self._send_gossip
            )

    def _send_gossip(self) -> None:
        # Each VM forwards only updates that were new to it, so that gossip about a change ends.
        self._gossip_timer = None
        updates = self._membership.take_queued()
        for address in sorted(self._peers.links.addresses):
            self._peers.send(address, updates)

    def _wanted_addresses(self) -> set[str]:
        own = self._membership.own
        by_data_centre: dict[str, list[str]] = {}
        for member in self._membership.members():
            by_data_centre.setdefault(member.data_centre, []).append(member.address)
        local = by_data_centre.pop(own.data_centre, [])
        wanted = set(ring_neighbours(own.address, local))
        for data_centre, remote in by_data_centre.items():
            targets = relay_targets(own, local, remote, data_centre)
            usable = [address for address in targets if not self._has_failed_recently(address)]
            wanted.update(usable[:1])
        return wanted

    def _addresses_to_check(self) -> set[str]:
        addresses, self._unverified = self._unverified, set()
        if not len(self._peers.links):
            candidates = sorted(
                self._membership.candidate_addresses
                | {member.address for member in self._membership.members()}
            )
            addresses.update(self._random.sample(candidates, min(MAX_JOIN_DIALS, len(candidates))))
        if self._now() >= self._next_probe_at:
            self._next_probe_at = self._now() + PROBE_INTERVAL_SECONDS * self._random.uniform(
                0.5, 1.5
            )
            addresses.update(self._sample_unreachable())
        return addresses - {self._membership.own.address}

    def _sample_unreachable(self) -> list[str]:
        live = {member.address for member in self._membership.members()}
        candidates = sorted(
            set(self._membership.unreachable()) | (self._membership.candidate_addresses - live)
        )
        return self._random.sample(candidates, min(1, len(candidates)))

    async def _dial(self, address: str) -> None:
        if await self._peers.dial(address):
            self._failed_at.pop(address, None)
            return
        self._failed_at[address] = self._now()
        if self._is_local(address):
            self._membership.suspect(address)

    def _is_local(self, address: str) -> bool:
        own = self._membership.own.data_centre
        return any(
            member.address == address and member.data_centre == own
            for member in self._membership.known()
        )

    def _has_failed_recently(self, address: str) -> bool:
        failed_at = self._failed_at.get(address)
        return failed_at is not None and self._now() - failed_at < AVOID_FAILED_SECONDS

    async def _close_spare_links(self, wanted: set[str]) -> None:
        now = self._now()
        dialled = {linked.member.address for linked in self._peers.links if linked.dialled}
        for address in dialled & wanted:
            self._spare_since.pop(address, None)
        spare = dialled - wanted
        for address in sorted(spare):
            self._spare_since.setdefault(address, now)
        oldest = sorted(spare, key=lambda address: (self._spare_since[address], address))
        for position, address in enumerate(oldest):
            too_many = len(oldest) - position > MAX_SPARE_LINKS
            if too_many or now - self._spare_since[address] >= MAX_SPARE_LINK_SECONDS:
                del self._spare_since[address]
                await self._peers.disconnect(address, "not needed")

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
