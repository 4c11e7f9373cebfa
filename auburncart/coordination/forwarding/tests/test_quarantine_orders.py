"""Random orders of losses, answers, reports, deletions, lists and time at the quarantine."""

import asyncio
import random
import unittest

from auburncart.coordination.forwarding.kinds import Entry
from auburncart.coordination.forwarding.quarantine import RequestQuarantine
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    one_service,
    request,
)
from auburncart.coordination.forwarding.tests.test_quarantine import CrashStore
from auburncart.state.crash import CrashReport
from auburncart.state.forward import ForwardRequest
from auburncart.tests.virtual import virtual_time

SEEDS = range(40)
STEPS = 400
REPLICAS = 4
MAX_REFUSAL_SECONDS = 3600.0
FORGOTTEN_SECONDS = 2.0 * MAX_REFUSAL_SECONDS


class Player:
    """Calls a quarantine in random order.

    :param rng: source of the order.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.store = CrashStore()
        self.fixture = GatewayFixture(one_service(), store=self.store)
        for number in range(REPLICAS):
            self.fixture.add("s", number)
        self._entries: dict[str, Entry] = {}

    @property
    def quarantine(self) -> RequestQuarantine:
        return self.fixture.quarantine

    async def play(self) -> None:
        """Make one random call."""
        step = self._rng.choice(
            (
                self.lose,
                self.lose,
                self.answer,
                self.fail,
                self.learn,
                self.learn,
                self.delete,
                self.list,
                self.confirm,
                self.switch,
                self.wait,
                self.wait,
            )
        )
        await step()

    def request(self) -> ForwardRequest:
        target = self._rng.choice((b"/a/b", b"/a/b?1", b"/a/b?2", b"/a/c"))
        return request(self._rng.randrange(8))._replace(target=target)

    async def lose(self) -> None:
        pool = self._rng.choice(tuple(self.fixture.registry.pools))
        self.quarantine.record_loss(self.request(), pool, silent=self._rng.random() < 0.2)

    async def answer(self) -> None:
        self.quarantine.record_answer(self.request(), is_part=self._rng.random() < 0.5)

    async def fail(self) -> None:
        self.quarantine.record_error(self.request())

    async def learn(self) -> None:
        choose = self._rng.choice
        report = CrashReport(
            choose("xyz"),
            choose("123"),
            choose("abc"),
            choose((False, True)),
            choose((False, True)),
            choose(("", "p", "q")),
            choose((False, True)),
        )
        name = ".".join(report[:3])
        self._entries[name] = Entry(name, report, 1)
        self.quarantine.apply_change(self._entries[name])

    async def delete(self) -> None:
        if self._entries:
            name = self._rng.choice(list(self._entries))
            del self._entries[name]
            self.quarantine.apply_change(Entry(name, None, 2))

    async def list(self) -> None:
        self.quarantine.replace(tuple(self._entries.values()))

    async def confirm(self) -> None:
        self.quarantine.confirm()

    async def switch(self) -> None:
        model = self._rng.choice(list(self.fixture.replicas.models.values()))
        model.reachable = not model.reachable

    async def wait(self) -> None:
        await asyncio.sleep(self._rng.choice((0.01, 0.1, 1.0, 30.0, 200.0)))


class RandomOrderTest(unittest.TestCase):
    @virtual_time
    async def test_any_order_of_calls_leaves_a_quarantine_that_ends(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                player = Player(random.Random(seed))
                for _ in range(STEPS):
                    await player.play()
                    asked = player.request()
                    delay = player.quarantine.retry_delay(asked)
                    self.assertTrue(0.0 <= delay <= MAX_REFUSAL_SECONDS)
                    self.assertFalse(delay and player.quarantine.on_trial(asked))
                await asyncio.sleep(FORGOTTEN_SECONDS)
                player.quarantine.replace(())
                player.quarantine.confirm()
                for target in (b"/a/b", b"/a/b?1", b"/a/c"):
                    asked = request()._replace(target=target)
                    self.assertEqual(player.quarantine.retry_delay(asked), 0.0)
                    self.assertFalse(player.quarantine.on_trial(asked))
                    self.assertFalse(player.quarantine.suspects(asked))
                self.assertEqual(await player.store.reports(), [])
