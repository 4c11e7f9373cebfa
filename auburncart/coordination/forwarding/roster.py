"""The entry VMs of the tier, and which of them read the store for the others."""

import asyncio
from collections.abc import Awaitable, Callable

import xxhash

from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import KindStore
from auburncart.exception import AuburncartError
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import DependencyLost, RosterChanged

__all__ = ["ENTRY_VMS", "Roster"]

ENTRY_VMS = "entry-vms"  # kind of the objects by which VMs find each other
LIST_SECONDS = 10.0  # between looks at the list: a VM that joins has few callers at first
SETTLE_SECONDS = 1.0  # VMs that start together have registered by then
READERS = 2  # VMs of a data centre that watch the store: one may be lost at any time
RELAY_FROM_VMS = 16  # with fewer, watches cost less than the library that relays needs of memory
ASSUMED_VMS = 9  # before the list is known, and the least that budgets are shared by


class Roster:
    """Registers this VM, and lists the others from time to time.

    :param store: the platform's store.
    :param own: this VM.
    :param journal: told when the list changes.
    :param first_start: whether all VMs start now, so that the list is not complete yet.
    """

    def __init__(
        self, store: KindStore, own: EntryVm, journal: Journal, *, first_start: bool
    ) -> None:
        self._store = store
        self._own = own
        self._journal = journal
        self._first_start = first_start
        self._vms: tuple[EntryVm, ...] = (own,)
        self._known = asyncio.Event()
        self._relaying = asyncio.Event()

    @property
    def vm_count(self) -> int:
        """Number of VMs by which shared budgets are divided."""
        return len(self._vms) if self._known.is_set() else ASSUMED_VMS

    @property
    def members(self) -> tuple[EntryVm, ...]:
        """All VMs known, this one included."""
        return self._vms

    @property
    def relaying(self) -> bool:
        """Whether the tier is large enough for some VMs to read for the others."""
        return len(self._vms) >= RELAY_FROM_VMS

    def store_readers(self) -> tuple[EntryVm, ...]:
        """Return the VMs of this data centre that read the store, this VM perhaps among them."""
        near = [vm for vm in self._vms if vm.data_centre == self._own.data_centre]
        near.sort(key=lambda vm: _order(vm.name))
        return tuple(near[:READERS])

    def relay_sources(self) -> tuple[EntryVm, ...]:
        """Return the VMs from which this one takes the store's changes; none if it reads itself."""
        readers = self.store_readers()
        if not self.relaying or self._own in readers:
            return ()
        # Half of the VMs begin with each reader.
        turn = _order(self._own.name) % len(readers) if readers else 0
        return readers[turn:] + readers[:turn]

    async def wait_until_listed(self) -> None:
        """Wait until the list has been read once."""
        await self._known.wait()

    async def wait_until_relaying(self) -> None:
        """Wait until the tier is large enough for some VMs to read for the others."""
        await self._relaying.wait()

    async def run(self) -> None:
        """Register, then list the VMs from time to time; runs until cancelled."""
        if self._first_start:
            await self._try(self._register)
            await asyncio.sleep(SETTLE_SECONDS)
        else:
            await self._try(self._list)
            self._known.set()
            await self._try(self._register)
            await asyncio.sleep(LIST_SECONDS)
        while True:
            await self._try(self._list)
            self._known.set()
            await asyncio.sleep(LIST_SECONDS)

    async def unregister(self) -> None:
        """Take this VM off the list."""
        await self._try(lambda: self._store.delete(ENTRY_VMS, self._own.name))

    async def _register(self) -> None:
        own = {
            "data_centre": self._own.data_centre,
            "address": self._own.address,
            "merge_address": self._own.merge_address,
        }
        await self._store.put(ENTRY_VMS, self._own.name, own)

    async def _list(self) -> None:
        page = await self._store.list(ENTRY_VMS, stale=True)
        entries = list(page.entries)
        while page.has_more:
            page = await self._store.list(ENTRY_VMS, page.entries[-1].name, stale=True)
            entries += page.entries
        found = {entry.name: entry.value for entry in entries if entry.value is not None}
        found[self._own.name] = self._own
        vms = tuple(sorted(found.values()))
        if vms != self._vms:
            self._journal.record(
                RosterChanged(len(self._vms), len(vms), len(self.store_readers()))
            )
            self._vms = vms
        if self.relaying:
            self._relaying.set()

    async def _try(self, step: Callable[[], Awaitable[None]]) -> None:
        try:
            await step()
        except AuburncartError as error:
            self._journal.record(DependencyLost(f"store {ENTRY_VMS}", str(error)))


def _order(name: str) -> int:
    """Return a number that spreads names evenly and is the same on all VMs."""
    return xxhash.xxh64_intdigest(name.encode())
