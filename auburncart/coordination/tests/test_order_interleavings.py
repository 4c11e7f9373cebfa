"""Orders take effect at most once: random interleavings of several VMs over one platform."""

import asyncio

import async_solipsism
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from auburncart.coordination.tests.test_order_steps import Environment
from auburncart.standins.platform import WriteFault
from auburncart.state.failure import Ran
from auburncart.tests.fault_injection import Fault

VMS = st.sampled_from(("vm1", "vm2", "vm3"))
KEYS = st.integers(1, 3).map(lambda number: f"00000000-03e8-7000-8000-{number:012}")
WAITS = st.sampled_from((0.0, 0.001, 0.004, 0.01, 0.3, 1.0, 12.0))


class OrderMachine(RuleBasedStateMachine):
    """Sends orders to VMs that are paused, killed and disconnected from the platform.

    Each ``+`` after the name of a VM stands for another new process at the same address.
    """

    owned = False

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        self.environment = self.runner.run(self.make())
        self.attempts: list[asyncio.Task] = []
        self.used_keys: set[str] = set()
        self.names = {name: name for name in ("vm1", "vm2", "vm3")}

    async def make(self) -> Environment:
        return Environment({}, owned=self.owned)

    @rule(vm=VMS, key=KEYS, body=st.sampled_from(("fix", "fix", "fix", "tear")), wait=WAITS)
    def send(self, vm: str, key: str, body: str, wait: float) -> None:
        self.runner.run(self.send_and_wait(self.names[vm], key, body, wait))

    async def send_and_wait(self, vm: str, key: str, body: str, wait: float) -> None:
        repeat = key in self.used_keys
        self.used_keys.add(key)
        request = self.environment.send(vm, len(self.attempts), key, body, repeat=repeat)
        self.attempts.append(asyncio.create_task(request))
        await asyncio.sleep(wait)

    @rule(wait=WAITS)
    def advance(self, wait: float) -> None:
        self.runner.run(asyncio.sleep(wait))

    @rule(vm=VMS, seconds=st.sampled_from((0.5, 2.0, 10.0)), wait=WAITS)
    def pause(self, vm: str, seconds: float, wait: float) -> None:
        self.runner.run(self.pause_vm(self.names[vm], seconds, wait))

    @rule(vm=VMS, wait=WAITS)
    def replace(self, vm: str, wait: float) -> None:
        self.runner.run(self.pause_vm(self.names[vm], float("inf"), wait))
        self.names[vm] += "+"

    async def pause_vm(self, vm: str, seconds: float, wait: float) -> None:
        self.environment.injector.pause_until(vm, asyncio.get_running_loop().time() + seconds)
        await asyncio.sleep(wait)

    @rule(fault=st.sampled_from((WriteFault.LOST_REPLY, WriteFault.LOST_REQUEST)))
    def lose_write(self, fault: WriteFault) -> None:
        self.environment.platform.fail_next_write(fault)

    @rule(vm=VMS, fault=st.sampled_from((Fault.CUT_BEFORE, Fault.CUT_AFTER)))
    def cut(self, vm: str, fault: Fault) -> None:
        self.environment.injector.fail_next_step(self.names[vm], fault)

    @rule(delay=st.sampled_from((0.0, 0.003, 0.5)))
    def slow_store(self, delay: float) -> None:
        self.environment.platform.set_delay(delay)

    @rule(seconds=st.sampled_from((0.01, 1.0, 5.0)), wait=WAITS)
    def outage(self, seconds: float, wait: float) -> None:
        self.runner.run(self.start_outage(seconds, wait))

    async def start_outage(self, seconds: float, wait: float) -> None:
        self.environment.platform.set_outage(True)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self.environment.platform.set_outage, False)
        await asyncio.sleep(wait)

    @rule()
    def restart_upstream(self) -> None:
        self.runner.run(self.restart())

    async def restart(self) -> None:
        self.environment.upstream.kill()
        await asyncio.sleep(0.01)
        self.environment.upstream.restart()

    @invariant()
    def every_order_took_effect_at_most_once(self) -> None:
        keys = [effect.key for effect in self.environment.upstream.effects]
        assert len(keys) == len(set(keys)), keys

    @invariant()
    def reported_outcomes_are_true(self) -> None:
        executed = {effect.request_id for effect in self.environment.upstream.effects}
        for answer in self.environment.answers:
            if answer.ran is Ran.YES:
                assert answer.effects == 1, answer
            if answer.ran is Ran.NO:
                assert answer.request_id not in executed, answer

    def teardown(self) -> None:
        self.runner.run(self.end())
        self.every_order_took_effect_at_most_once()
        self.reported_outcomes_are_true()
        self.runner.close()

    async def end(self) -> None:
        await asyncio.sleep(60.0)
        await asyncio.gather(*self.attempts)
        await self.environment.close()


class OwnedOrderMachine(OrderMachine):
    """The same, with changes of claims forwarded through a relay and an owner."""

    owned = True


SETTINGS = settings(
    derandomize=True, max_examples=250, stateful_step_count=25, deadline=None, database=None
)
InterleavingTest = OrderMachine.TestCase
InterleavingTest.settings = SETTINGS
OwnedInterleavingTest = OwnedOrderMachine.TestCase
OwnedInterleavingTest.settings = SETTINGS
