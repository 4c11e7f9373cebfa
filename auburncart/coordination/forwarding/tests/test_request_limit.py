"""Limits that replicas name on the requests of all VMs together."""

import asyncio
import functools
import math
import unittest
from collections.abc import Iterable

from auburncart.coordination.forwarding.replica import Attempt
from auburncart.coordination.forwarding.request_limit import (
    MAX_MEMORY_SECONDS,
    RequestShare,
    request_share,
)
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    one_service,
    request,
    search,
)
from auburncart.coordination.forwarding.tests.tier_fixture import Tier
from auburncart.standins.replicas import (
    Arrival,
    FakeReplicaDialer,
    ReplicaModel,
    ok_reply,
    shed_reply,
)
from auburncart.state.configuration import Route
from auburncart.state.event import LimitChanged
from auburncart.state.failure import Ran, Refusal
from auburncart.state.forward import (
    Announcement,
    ForwardAnswer,
    ForwardedReply,
    MergedAnswer,
    Reply,
)
from auburncart.state.registration import Registration
from auburncart.tests.virtual import virtual_time

SETTLING_SECONDS = 4.0  # after a replica first named its limit
TOLD_SECONDS = 0.5  # after a VM was told, until its requests count
WINDOW_SECONDS = 4.0
START_SECONDS = 20.0  # until new VMs have their share of the retry budget


def max_requests(limit: float) -> float:
    """Return the number of requests allowed in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5.0


def most_in_window(arrivals: Iterable[Arrival], instance: str, since: float) -> int:
    """Return the most arrivals at a replica within a window, of VMs that were told its limit.

    :param since: loop time in seconds from which the replica names its limit.
    """
    times = []
    told: dict[str, float] = {}
    for arrival in arrivals:
        if arrival.instance != instance or arrival.at < since:
            continue
        told_at = told.setdefault(arrival.vm, arrival.at)
        if arrival.at >= max(told_at + TOLD_SECONDS, since + SETTLING_SECONDS):
            times.append(arrival.at)
    return max((sum(at <= one < at + WINDOW_SECONDS for one in times) for at in times), default=0)


def equal_share(own: str, names: list[str], replica: Registration, limit: float) -> RequestShare:
    return request_share(limit, own, (), names, replica.instance)


def part_of(shard: str) -> Reply:
    return Reply(200, b"OK", (), b"r" * 16, shard.encode())


class LimitTest(unittest.TestCase):
    def start(self, route: Route, vms: int, replicas: int, seconds: float = 0.03) -> None:
        """Start some VMs, and replicas of each service of a route.

        :param seconds: a replica's time for a request.
        """
        for vm in getattr(self, "vms", ()):
            vm.registry.close()
        self.shared = FakeReplicaDialer()
        names = [f"vm{number}" for number in range(vms)]
        self.vms = [
            GatewayFixture(
                route,
                replicas=FakeReplicaDialer(name, self.shared),
                request_share=functools.partial(equal_share, name, names),
            )
            for name in names
        ]
        self.models = {}
        for service in [target.service for target in route.targets] + list(route.shards):
            part = part_of(service)
            for number in range(replicas):
                model = ReplicaModel(seconds, lambda asked, part=part: part)
                self.models[f"{service}/{number}"] = model
                for vm in self.vms:
                    vm.add(service, number, model)

    def name_limit(self, limit: float, share: float = 1.0) -> None:
        """Let some replicas name a limit from now on, first one of each service."""
        self.since = asyncio.get_running_loop().time()
        count = round(share * len(self.models))
        self.limited = sorted(self.models, key=lambda name: name.rpartition("/")[2])[:count]
        for instance in self.limited:
            self.models[instance].request_limit = limit

    async def send(self, rate: float, seconds: float, wait: float = 1.0) -> list[ForwardAnswer]:
        """Send requests to the VMs in turn, and return the answers.

        :param rate: requests per second.
        :param wait: seconds for which a caller waits.
        """
        tasks = []
        for number in range(round(rate * seconds)):
            self.number = getattr(self, "number", 0) + 1
            vm = self.vms[(self.number * 7 + number // 3) % len(self.vms)]
            asked = request(self.number, seconds=wait)
            tasks.append(asyncio.create_task(vm.gateway.answer(asked)))
            await asyncio.sleep(1.0 / rate)
        return list(await asyncio.gather(*tasks))

    def assert_kept(self, limit: float) -> None:
        for instance in self.limited:
            most = most_in_window(self.shared.arrivals, instance, self.since)
            self.assertLessEqual(most, max_requests(limit), instance)

    @virtual_time
    async def test_a_limited_service_gets_no_more_than_its_replicas_name(self) -> None:
        for vms, limit in ((8, 1.0), (8, 1.6), (8, 12.7), (75, 3.0), (195, 1.0), (195, 8.0)):
            with self.subTest(vms=vms, limit=limit):
                self.start(one_service(), vms, 3)
                await asyncio.sleep(START_SECONDS)
                self.name_limit(limit)
                await self.send(20.0 * limit, 20.0)
                self.assert_kept(limit)

    @virtual_time
    async def test_limited_shards_get_no_more_than_their_replicas_name(self) -> None:
        for vms, limit in ((8, 12.0), (8, 2.0), (75, 6.0)):
            with self.subTest(vms=vms, limit=limit):
                self.start(search(20), vms, 2)
                await asyncio.sleep(START_SECONDS)
                self.name_limit(limit)
                await self.send(5.0 * limit, 15.0)
                self.assert_kept(limit)

    @virtual_time
    async def test_replicas_without_a_limit_take_over_the_load(self) -> None:
        self.start(search(20), 8, 2)
        await asyncio.sleep(START_SECONDS)
        self.name_limit(2.0, share=0.4)
        answers = await self.send(20.0, 15.0)
        self.assert_kept(2.0)
        whole = sum(isinstance(one, MergedAnswer) and not one.missing for one in answers)
        self.assertGreater(whole, 0.7 * len(answers))

    @virtual_time
    async def test_what_a_limit_excludes_is_refused_at_once_and_the_rest_is_served(self) -> None:
        self.start(one_service(), 4, 2)
        await asyncio.sleep(START_SECONDS)
        self.name_limit(5.0)
        await self.send(50.0, 5.0)
        began = asyncio.get_running_loop().time()
        task = asyncio.create_task(self.send(50.0, 10.0))
        answers = await task
        served = sum(isinstance(answer, ForwardedReply) for answer in answers)
        self.assertGreater(served, 0.6 * 2 * 5.0 * 10.0)
        refused = [answer for answer in answers if isinstance(answer, Refusal)]
        for refusal in refused:
            self.assertIs(refusal.ran, Ran.NO)
            self.assertGreater(refusal.retry_after, 0.0)
        self.assertLess(asyncio.get_running_loop().time() - began, 11.1)

    @virtual_time
    async def test_a_limit_that_ends_is_forgotten(self) -> None:
        self.start(one_service(), 8, 2)
        await asyncio.sleep(START_SECONDS)
        self.name_limit(2.0)
        await self.send(40.0, 10.0)
        self.assert_kept(2.0)
        self.name_limit(math.inf)
        await self.send(40.0, 5.0)
        answers = await self.send(40.0, 5.0)
        self.assertTrue(all(isinstance(answer, ForwardedReply) for answer in answers))

    @virtual_time
    async def test_a_limit_that_falls_or_rises_is_followed(self) -> None:
        self.start(one_service(), 8, 2)
        await asyncio.sleep(START_SECONDS)
        self.name_limit(10.0)
        await self.send(60.0, 10.0)
        self.name_limit(2.0)
        await self.send(60.0, 15.0)
        self.assert_kept(2.0)
        self.name_limit(10.0)
        await self.send(60.0, 10.0)
        self.assert_kept(10.0)

    @virtual_time
    async def test_a_named_limit_is_logged_once(self) -> None:
        self.start(one_service(), 1, 1)
        self.name_limit(2.5)
        for number in range(3):
            await self.vms[0].gateway.answer(request(number))
            await asyncio.sleep(2.0)
        events = self.vms[0].journal.of(LimitChanged)
        self.assertEqual([(event.limit, event.before) for event in events], [(2.5, math.inf)])

    @virtual_time
    async def test_a_limit_of_zero_ends_when_the_replica_no_longer_names_it(self) -> None:
        self.start(one_service(), 8, 1)
        await asyncio.sleep(START_SECONDS)
        self.name_limit(0.0)
        await self.send(20.0, 10.0)
        self.assert_kept(0.0)
        self.name_limit(math.inf)
        await asyncio.sleep(MAX_MEMORY_SECONDS)
        await self.send(20.0, 5.0)
        answers = await self.send(20.0, 5.0)
        self.assertTrue(all(isinstance(answer, ForwardedReply) for answer in answers))

    @virtual_time
    async def test_hedges_and_retries_keep_to_the_limit(self) -> None:
        self.start(search(20), 8, 2, seconds=0.09)
        await asyncio.sleep(START_SECONDS)
        for number, model in enumerate(self.models.values()):
            if number % 3 == 0:
                model.reply = shed_reply
        self.name_limit(6.0)
        await self.send(12.0, 20.0)
        self.assert_kept(6.0)

    @virtual_time
    async def test_urgent_requests_are_sent_before_those_that_wait_for_a_limit(self) -> None:
        fixture = GatewayFixture(one_service())
        fixture.add("s", 1, ReplicaModel()).request_limit = 1.0
        pool = next(iter(fixture.registry.pools))
        pool.record_announcement(ok_reply(request())._replace(announced=Announcement(1.0)))
        sent = []
        for number, priority in enumerate((2, 2, 0, 1)):
            attempt = Attempt(request(number), priority, False, False, sent.append)
            pool.submit(attempt)
        await asyncio.sleep(20.0)
        self.assertEqual([result.attempt.priority for result in sent], [0, 1, 2, 2])

    @virtual_time
    async def test_a_request_that_waits_for_a_limit_opens_no_connections(self) -> None:
        fixture = GatewayFixture(one_service(), 0.5)
        fixture.add("s", 1, ReplicaModel()).request_limit = 1.0
        pool = next(iter(fixture.registry.pools))
        pool.record_announcement(ok_reply(request())._replace(announced=Announcement(1.0)))
        for number in range(5):
            pool.submit(Attempt(request(number), 0, False, False, lambda result: None))
        await asyncio.sleep(20.0)
        self.assertEqual(fixture.replicas.opened_connections, 5)

    @virtual_time
    async def test_owners_of_shards_keep_to_the_limit_together(self) -> None:
        tier = Tier({"dc1": 16, "dc2": 16, "dc3": 16}, 24, (("dc1", "dc2"), ("dc2", "dc3")))
        for vm in tier.vms.values():
            vm.share_limits()
        await tier.link()
        await asyncio.sleep(START_SECONDS)
        for limit in (8.0, 1.0):
            since = asyncio.get_running_loop().time()
            for model in tier.replicas.models.values():
                model.request_limit = limit
            names = list(tier.vms)
            tasks = []
            for number in range(300):
                vm = tier.vms[names[number * 7 % len(names)]]
                tasks.append(asyncio.create_task(vm.gateway.answer(request(number))))
                await asyncio.sleep(0.05)
            await asyncio.gather(*tasks)
            for instance in tier.replicas.models:
                most = most_in_window(tier.arrivals, instance, since)
                self.assertLessEqual(most, max_requests(limit), instance)


class RequestShareTest(unittest.TestCase):
    def test_the_parts_of_all_vms_add_up_to_no_more_than_the_limit(self) -> None:
        for vms in (1, 2, 8, 75, 195):
            for favoured in (0, 1, 3, vms // 2, vms):
                for limit in (0.0, 0.3, 1.0, 1.6, 12.7, 400.0):
                    names = [f"vm{number}" for number in range(vms)]
                    nearby, others = names[:favoured], names[favoured:]
                    shares = [request_share(limit, name, nearby, others, "r") for name in names]
                    self.assertLessEqual(sum(share.rate for share in shares), limit + 1e-9)
                    allowed = max_requests(limit) - WINDOW_SECONDS * limit
                    self.assertLessEqual(sum(share.burst for share in shares), allowed)
                    self.assertTrue(all(not one.burst or one.burst >= 1.0 for one in shares))
