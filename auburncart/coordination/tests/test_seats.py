"""Tests that the connections of all VMs to a replica never exceed its limit."""

import random
import unittest

from auburncart.coordination.seats import SeatShares, pool_size, seat_share
from auburncart.state.seat import Seat, SeatPlan, SeatPlans
from auburncart.state.shards import Replica

REPLICAS = (
    Replica("10.1.0.1:80", "dc1", max_connections=25),
    Replica("10.1.0.2:80", "dc1", max_connections=4),
    Replica("10.1.0.3:80", "dc1", max_connections=1),
)


class _Vm:
    """A VM of a random run: its shares and its connections."""

    def __init__(self, seat: Seat) -> None:
        self.shares = SeatShares(seat, "dc1", 1)
        self.held = dict.fromkeys(REPLICAS, 0)
        self.paused = False
        self.confirmed_epoch = 0


class RandomRun:
    """Random steps of VMs that join, leave, pause and know different plans."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.plans = SeatPlans((SeatPlan(0, ()),))
        self.vms: list[_Vm] = []
        self.started = 0
        self.usage: list[float] = []
        self.steps = (
            self.join, self.leave, self.pause, *[self.install] * 6, *[self.open] * 8,
            *[self.close_excess] * 4, *[self.confirm] * 4, *[self.receive] * 10,
        )  # fmt: skip

    def step(self) -> None:
        self.random.choice(self.steps)()
        for replica in REPLICAS:
            held = sum(vm.held[replica] for vm in self.vms)
            if held > replica.max_connections:
                raise AssertionError(f"{held} connections, limit {replica.max_connections}")
        total = sum(sum(vm.held.values()) for vm in self.vms)
        self.usage.append(total / sum(replica.max_connections for replica in REPLICAS))

    def random_awake_vm(self) -> _Vm | None:
        awake = [vm for vm in self.vms if not vm.paused]
        return self.random.choice(awake) if awake else None

    def write(self, seats: tuple[Seat, ...]) -> None:
        writer = self.random_awake_vm()
        confirmed = [
            writer.shares.confirmed(seat) if writer else 0 for seat in self.plans.newest.seats
        ]
        oldest = min(confirmed, default=0)
        kept = tuple(plan for plan in self.plans.plans if plan.epoch >= oldest)
        newest = SeatPlan(self.plans.newest.epoch + 1, seats)
        self.plans = SeatPlans((*(kept or self.plans.plans[-1:]), newest))

    def join(self) -> None:
        if len(self.vms) < 9:
            self.started += 1
            vm = _Vm(Seat(f"10.0.0.{self.started}:7000", 1))
            self.write((*self.plans.newest.seats, vm.shares.own))
            self.vms.append(vm)

    def leave(self) -> None:
        vm = self.random_awake_vm()
        if vm is not None and len(self.vms) > 2:
            self.vms.remove(vm)
            self.write(tuple(seat for seat in self.plans.newest.seats if seat != vm.shares.own))

    def pause(self) -> None:
        vm = self.random.choice(self.vms) if self.vms else None
        if vm is not None:
            vm.paused = not vm.paused

    def install(self) -> None:
        vm = self.random_awake_vm()
        if vm is not None:
            vm.shares.install(self.plans)

    def open(self) -> None:
        vm, replica = self.random_awake_vm(), self.random.choice(REPLICAS)
        if vm is not None:
            allowed = vm.shares.max_connections(replica)
            vm.held[replica] = max(vm.held[replica], allowed)

    def close_excess(self) -> None:
        vm, replica = self.random_awake_vm(), self.random.choice(REPLICAS)
        if vm is not None:
            vm.held[replica] = min(vm.held[replica], vm.shares.max_connections(replica))

    def confirm(self) -> None:
        vm = self.random_awake_vm()
        if vm is not None and vm.shares.keeps_to_plan(vm.held.items()):
            vm.confirmed_epoch = vm.shares.epoch

    def receive(self) -> None:
        vm, other = self.random_awake_vm(), self.random.choice(self.vms) if self.vms else None
        if vm is not None and other is not None:
            vm.shares.confirm(other.shares.own, other.confirmed_epoch)

    def settle(self) -> None:
        for vm in self.vms:
            vm.paused = False
            vm.shares.install(self.plans)
        for _ in range(2):
            for vm in self.vms:
                for replica in REPLICAS:
                    vm.held[replica] = vm.shares.max_connections(replica)
                if vm.shares.keeps_to_plan(vm.held.items()):
                    vm.confirmed_epoch = vm.shares.epoch
            for vm in self.vms:
                for other in self.vms:
                    vm.shares.confirm(other.shares.own, other.confirmed_epoch)


class SeatTest(unittest.TestCase):
    def test_limit_is_never_exceeded_in_random_runs(self) -> None:
        runs = [RandomRun(seed) for seed in range(60)]
        for run in runs:
            for _ in range(1200):
                run.step()
        self.assertGreater(sum(run.started for run in runs), 10 * len(runs))

    def test_all_connections_are_used_once_all_vms_know_the_newest_plan(self) -> None:
        for seed in range(20):
            run = RandomRun(seed)
            for _ in range(300):
                run.step()
            run.settle()
            run.settle()
            for replica in REPLICAS:
                held = sum(vm.held[replica] for vm in run.vms)
                self.assertEqual(held, replica.max_connections, seed)

    def test_paused_vm_keeps_its_old_share_and_a_newcomer_gets_the_rest(self) -> None:
        replica = Replica("10.1.0.1:80", "dc1", max_connections=24)
        seats = tuple(Seat(f"10.0.0.{number}:7000", 1) for number in range(3))
        first, second = SeatPlan(1, seats[:2]), SeatPlan(2, seats)
        awake, newcomer = (SeatShares(seat, "dc1", 1) for seat in seats[1:])
        awake.install(SeatPlans((first,)))
        self.assertEqual(awake.max_connections(replica), 12)
        awake.install(SeatPlans((first, second)))
        newcomer.install(SeatPlans((first, second)))
        self.assertEqual(
            (awake.max_connections(replica), newcomer.max_connections(replica)), (8, 0)
        )
        newcomer.confirm(seats[1], 2)
        self.assertEqual(newcomer.max_connections(replica), 4)
        newcomer.confirm(seats[0], 2)
        self.assertEqual(newcomer.max_connections(replica), 8)

    def test_of_213_vms_12_share_25_connections(self) -> None:
        replica = Replica("10.1.0.1:80", "dc1", max_connections=25)
        plan = SeatPlan(1, tuple(Seat(f"10.0.{number}.1:7000", 1) for number in range(213)))
        shares = [seat_share(seat, plan, replica, 25) for seat in plan.seats]
        self.assertEqual(sum(shares), 25)
        self.assertEqual(sum(share > 0 for share in shares), 12)

    def test_data_centres_share_no_connection(self) -> None:
        for count in range(1, 6):
            for connections in (1, 4, 25, 100):
                replica = Replica("10.1.0.1:80", "dc0", max_connections=connections)
                pools = [pool_size(replica, f"dc{number}", count) for number in range(count)]
                self.assertEqual(sum(pools), connections)


class NineVmsTest(unittest.TestCase):
    def test_each_of_nine_vms_over_three_data_centres_reaches_each_replica(self) -> None:
        """Each VM needs one connection for requests and one for cancellations."""
        for connections in (25, 40, 100):
            held = 0
            replica = Replica("10.1.0.1:80", "dc1", max_connections=connections)
            for data_centre in ("dc1", "dc2", "dc3"):
                seats = tuple(
                    Seat(f"10.{data_centre[2]}.0.{number}:7000", 1) for number in range(3)
                )
                plan = SeatPlan(1, seats)
                pool = pool_size(replica, data_centre, 3)
                shares = [seat_share(seat, plan, replica, pool) for seat in seats]
                self.assertGreaterEqual(min(shares), 2, (data_centre, connections))
                held += sum(shares)
            self.assertLessEqual(held, connections)
