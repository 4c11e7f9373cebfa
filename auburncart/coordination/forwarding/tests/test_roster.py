"""VMs that join, leave, return and move under their names, in any order beside replicas."""

import asyncio
from collections.abc import AsyncIterator, Callable

import async_solipsism
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.helper_links import MergeLink
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.roster import ENTRY_VMS, Roster
from auburncart.coordination.forwarding.shard_owners import MIN_OWNING_VMS, ShardOwners
from auburncart.coordination.forwarding.share import LimitShares
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    ListJournal,
    registration,
    whole_limit,
)
from auburncart.coordination.forwarding.tests.store_fixture import FakeStore
from auburncart.standins.replicas import FakeReplicaDialer
from auburncart.state.entryvm import EntryVm
from auburncart.state.merge import MergeAnswer, MergeQuestion

DATA_CENTRES = ("dc1", "dc2", "dc3")
REGIONS = {"dc1": "north", "dc2": "north", "dc3": "west"}
SHARDS = frozenset(f"s{number}" for number in range(4))
LIST_SECONDS = 30.0  # after which a change of the list of VMs is known


class _Link(MergeLink):
    """Link to a VM that can always be asked."""

    def __init__(self, open_links: set[MergeLink]) -> None:
        self._open_links = open_links
        open_links.add(self)

    @property
    def usable(self) -> bool:
        return True

    @property
    def declining(self) -> bool:
        return False

    @property
    def round_trip(self) -> float:
        return 0.001

    @property
    def outstanding(self) -> int:
        return 0

    def ask(
        self, question: MergeQuestion, ping_after: float, may_give_up: Callable[[], bool]
    ) -> AsyncIterator[MergeAnswer]:
        raise NotImplementedError

    def close(self) -> None:
        self._open_links.remove(self)


class _Vm:
    """What one VM knows about the others, with the tasks that keep it up to date."""

    def __init__(self) -> None:
        self.own = _entry_vm(0, "dc1", 0)
        self.store = FakeStore()
        self.open_links: set[MergeLink] = set()
        journal = ListJournal()
        self.roster = Roster(self.store, self.own, journal, first_start=True)
        self.registry = ReplicaRegistry(
            _distance,
            FakeReplicaDialer(),
            lambda service, data_centre: self.shares.connections(service, data_centre, 26),
            whole_limit,
            journal,
        )
        self.owners = ShardOwners(lambda: SHARDS, self.registry, self.roster, _distance)
        self.shares = LimitShares(
            self.own, self.roster, self.registry, self.owners, lambda: SHARDS, REGIONS
        )
        self.delegation = Delegation(
            self.own.name,
            self.registry,
            self.roster,
            _distance,
            self.owners,
            lambda vm: _Link(self.open_links),
            journal,
        )
        runs = (lambda: self.roster.run(self.store), self.registry.run, self.delegation.run)
        self.tasks = [asyncio.create_task(run()) for run in runs]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class RosterMachine(RuleBasedStateMachine):
    """Changes the list of VMs and the replicas, which decide who owns shards and is linked to."""

    numbers = st.integers(1, MIN_OWNING_VMS + 1)
    waits = st.sampled_from((0.0, 0.3, 1.0, 11.0))

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        self.vm = self.runner.run(self.make())
        for number in range(1, MIN_OWNING_VMS):
            self.join(number, DATA_CENTRES[number % 3], 0, 0.0)
        self.wait(LIST_SECONDS)

    async def make(self) -> _Vm:
        return _Vm()

    @rule(number=numbers, data_centre=st.sampled_from(DATA_CENTRES), address=st.integers(0, 1))
    def join(self, number: int, data_centre: str, address: int, wait: float = 0.0) -> None:
        vm = _entry_vm(number, data_centre, address)
        self.vm.store.write(ENTRY_VMS, vm.name, vm)
        self.wait(wait)

    @rule(numbers=st.sets(numbers, max_size=4), wait=waits)
    def leave(self, numbers: set[int], wait: float) -> None:
        for number in numbers:
            self.runner.run(self.vm.store.delete(ENTRY_VMS, f"vm{number}"))
        self.wait(wait)

    @rule(number=st.integers(0, 3), data_centre=st.sampled_from((*DATA_CENTRES, "elsewhere")))
    def add_replica(self, number: int, data_centre: str) -> None:
        entry = registration(f"s{number}", number)._replace(data_centre=data_centre)
        self.runner.run(self.change(lambda: self.vm.registry.install(entry)))

    @rule(number=st.integers(0, 3))
    def remove_replica(self, number: int) -> None:
        self.runner.run(self.change(lambda: self.vm.registry.remove(f"s{number}/{number}")))

    @rule(down=st.booleans(), wait=waits)
    def set_availability(self, down: bool, wait: float) -> None:
        self.runner.run(self.change(lambda: setattr(self.vm.store, "down", down)))
        self.wait(wait)

    @rule(wait=waits)
    def wait(self, wait: float) -> None:
        self.runner.run(asyncio.sleep(wait))

    async def change(self, change: Callable[[], None]) -> None:
        change()

    @invariant()
    def no_task_has_ended(self) -> None:
        ended = [task for task in self.vm.tasks if task.done()]
        assert not ended, ended

    @invariant()
    def shares_and_owners_are_of_known_vms(self) -> None:
        self.runner.run(self.check_shares())

    async def check_shares(self) -> None:
        names = {vm.name for vm in self.vm.roster.members}
        assert self.vm.own.name in names
        for shard in SHARDS:
            assert self.vm.owners.owners_of(shard) <= names
            assert 0.0 < self.vm.shares.slack(shard) <= 1.0
            assert 0.0 < self.vm.shares.connections(shard, "dc2", 26) <= 26.0
        assert len(self.vm.open_links) <= len(names)

    def teardown(self) -> None:
        self.set_availability(False, LIST_SECONDS)
        self.no_task_has_ended()
        self.shares_and_owners_are_of_known_vms()
        self.runner.run(self.vm.stop())
        self.runner.close()


def _entry_vm(number: int, data_centre: str, address: int) -> EntryVm:
    host = f"127.0.{address}.{number}"
    return EntryVm(f"vm{number}", data_centre, f"{host}:7000", f"{host}:7001")


def _distance(data_centre: str) -> int:
    if data_centre == "dc1":
        return 0
    return 1 if REGIONS.get(data_centre) == "north" else 2


RosterTest = RosterMachine.TestCase
RosterTest.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=20, deadline=None, database=None
)
