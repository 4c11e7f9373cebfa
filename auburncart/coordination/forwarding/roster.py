"""The roster of entry VMs, and which of them read the store for the others."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable

import xxhash

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.kinds import Entry, KindStore, Page, list_all
from auburncart.exception import AuburncartError, StoreUnavailableError
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import DependencyLost, RosterChanged

__all__ = ["ENTRY_VMS", "Roster"]

ENTRY_VMS = "entry-vms"  # kind of the objects in the store that register VMs
LIST_INTERVAL_SECONDS = 10.0  # a VM that joins has few callers at first
READER_LIST_INTERVAL_SECONDS = 5.0  # of the VMs from which all others have the list
# A list that lacks this VM may be from before its registration: it is read at a reader, which read
# it some seconds ago from a store whose reply may be seconds old.
REGISTRATION_LAG_SECONDS = 15.0
MAX_RELAYED_AGE_SECONDS = 12.0  # two intervals of a reader, and a slow reply of the store
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0  # a store that is back must be noticed within two seconds
REGISTRATION_SECONDS = 1.0  # VMs that start together have registered by then
READERS_PER_DATA_CENTRE = 2  # that watch the store, since one may be lost at any time
# With fewer VMs, watches cost less than the memory of the library that relays need.
MIN_RELAYING_VMS = 16
ASSUMED_VMS = 9  # until the list is read; the fewest VMs for which shared limits are planned


class Roster:
    """Registers this VM and lists all VMs periodically.

    :param store: the platform's store.
    :param own: this VM.
    :param journal: records changes of the list.
    :param first_start: whether all VMs are starting, so that the list is still incomplete.
    """

    def __init__(
        self, store: KindStore, own: EntryVm, journal: Journal, *, first_start: bool
    ) -> None:
        self._store = store
        self._own = own
        self._journal = journal
        self._first_start = first_start
        self._vms: tuple[EntryVm, ...] = (own,)
        self._registered_at = float("-inf")
        self._leaving = False
        self._read_at = float("-inf")
        self._revision = 0
        self._listed = asyncio.Event()
        self._relaying = asyncio.Event()

    @property
    def vm_count(self) -> int:
        """Number of VMs among which shared limits are divided."""
        return len(self._vms) if self._listed.is_set() else ASSUMED_VMS

    @property
    def members(self) -> tuple[EntryVm, ...]:
        """All known VMs, including this one."""
        return self._vms

    @property
    def relaying(self) -> bool:
        """Whether there are so many VMs that some read the store for the others."""
        return len(self._vms) >= MIN_RELAYING_VMS

    def store_readers(self) -> tuple[EntryVm, ...]:
        """Return the VMs of this data centre that read the store; this VM may be one of them."""
        local_vms = [vm for vm in self._vms if vm.data_centre == self._own.data_centre]
        local_vms.sort(key=lambda vm: _hash(vm.name))
        return tuple(local_vms[:READERS_PER_DATA_CENTRE])

    def relay_sources(self) -> tuple[EntryVm, ...]:
        """Return the VMs that relay the store to this one; none if it reads the store itself."""
        readers = self.store_readers()
        if not self.relaying or self._own in readers:
            return ()
        # Spread the VMs evenly over the readers.
        first = _hash(self._own.name) % len(readers) if readers else 0
        return readers[first:] + readers[:first]

    async def wait_until_listed(self) -> None:
        """Wait until the list has been read once."""
        await self._listed.wait()

    async def wait_until_relaying(self) -> None:
        """Wait until there are so many VMs that some read the store for the others."""
        await self._relaying.wait()

    def page(self) -> Page:
        """Return all VMs, for another VM.

        :raises StoreUnavailableError: this VM has not read the list from the store lately.
        """
        if asyncio.get_running_loop().time() - self._read_at > MAX_RELAYED_AGE_SECONDS:
            raise StoreUnavailableError("the list of VMs is not fresh", step="relay", sent=False)
        entries = tuple(Entry(vm.name, vm, self._revision) for vm in self._vms)
        return Page(entries, False, self._revision)

    async def run(self, relayed: KindStore) -> None:
        """Register this VM and list all VMs periodically; runs until cancelled.

        :param relayed: lists them through another VM where one relays, after the first time.
        """
        if self._first_start:
            await self._log_errors(self._register)
            await asyncio.sleep(REGISTRATION_SECONDS)
        await self._list_first()
        while True:
            # Also after a deletion or a lost call of this VM's previous process.
            if self._registration_missing():
                await self._log_errors(self._register)
            reads = self.relaying and not self.relay_sources()
            await asyncio.sleep(READER_LIST_INTERVAL_SECONDS if reads else LIST_INTERVAL_SECONDS)
            await self._log_errors(functools.partial(self._list, relayed))

    async def _list_first(self) -> None:
        """List all VMs for the first time; without them shared limits cannot be divided."""
        backoff = Backoff(
            random.Random(self._own.name), INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS
        )
        while True:
            if await self._log_errors(functools.partial(self._list, self._store)):
                break
            await asyncio.sleep(backoff.next_delay())
        self._listed.set()

    async def unregister(self) -> None:
        """Remove this VM from the list."""
        self._leaving = True
        await self._log_errors(lambda: self._store.delete(ENTRY_VMS, self._own.name))

    def _registration_missing(self) -> bool:
        age = asyncio.get_running_loop().time() - self._registered_at
        return not self._leaving and age > REGISTRATION_LAG_SECONDS

    async def _register(self) -> None:
        own = {
            "data_centre": self._own.data_centre,
            "address": self._own.address,
            "merge_address": self._own.merge_address,
        }
        await self._store.put(ENTRY_VMS, self._own.name, own)
        self._registered_at = asyncio.get_running_loop().time()

    async def _list(self, store: KindStore) -> None:
        direct = store is self._store or not self.relay_sources()
        page = await list_all(store, ENTRY_VMS, stale=True)
        if direct:
            self._read_at = asyncio.get_running_loop().time()
            self._revision = page.revision
        found = {entry.name: entry.value for entry in page.entries if entry.value is not None}
        if found.get(self._own.name) == self._own:
            self._registered_at = asyncio.get_running_loop().time()
        found[self._own.name] = self._own
        vms = tuple(sorted(found.values()))
        if vms != self._vms:
            self._journal.record(RosterChanged(len(self._vms), len(vms), len(self.store_readers())))
            self._vms = vms
        if self.relaying:
            self._relaying.set()

    async def _log_errors(self, step: Callable[[], Awaitable[None]]) -> bool:
        """Take a step and return whether it succeeded."""
        try:
            await step()
        except AuburncartError as error:
            self._journal.record(DependencyLost(f"store {ENTRY_VMS}", str(error)))
            return False
        return True


def _hash(name: str) -> int:
    """Return a hash of a name that is the same on all VMs."""
    return xxhash.xxh64_intdigest(name.encode())
