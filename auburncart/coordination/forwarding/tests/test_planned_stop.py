"""Requests that are in flight, or come, while a VM leaves."""

import asyncio
import unittest

from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    one_service,
    request,
)
from auburncart.coordination.shutdown import FrontEnd, Shutdown, ShutdownTimes
from auburncart.standins.replicas import ReplicaModel
from auburncart.state.failure import Ran, Refusal, RefusalCode
from auburncart.state.forward import ForwardAnswer, ForwardedReply
from auburncart.tests.virtual import virtual_time

TIMES = ShutdownTimes(2.2, 3.3)
LONG_SECONDS = 15.0


class NoFrontEnd(FrontEnd):
    """A server without connections."""

    def close_after_reply(self) -> None:
        pass

    async def stop(self) -> None:
        pass


class PlannedStopTest(unittest.TestCase):
    async def _answer_during_stop(
        self, service_seconds: float, sent_after: float, *, idempotent: bool
    ) -> ForwardAnswer:
        """Stop a VM; send a request some seconds after that, and return its answer."""
        route = one_service(idempotent=idempotent)._replace(timeout=20.0)
        self.fixture = GatewayFixture(route)
        model = self.fixture.add("s", 1, ReplicaModel())
        model.service_time = lambda asked: (  # type: ignore[method-assign]
            LONG_SECONDS if asked.request_id == "id1" else service_seconds
        )
        stop = Shutdown(self.fixture.request_tracker, NoFrontEnd(), TIMES)
        # Another request keeps the VM from ending early.
        other = asyncio.create_task(self.fixture.gateway.answer(request(1, seconds=20.0)))
        stopped = asyncio.create_task(stop.run())
        await asyncio.sleep(sent_after)
        answer = asyncio.create_task(self.fixture.gateway.answer(request(2, seconds=20.0)))
        await stopped
        self.assertTrue(other.done() and not other.cancelled())
        self.fixture.registry.close()
        return answer.result()

    @virtual_time
    async def test_a_request_in_flight_at_the_end_of_the_grace_is_answered(self) -> None:
        for idempotent in (False, True):
            answer = await self._answer_during_stop(LONG_SECONDS, 0.1, idempotent=idempotent)
            assert isinstance(answer, Refusal)
            self.assertIs(answer.code, RefusalCode.TIMED_OUT)
            self.assertIs(answer.ran, Ran.UNKNOWN)

    @virtual_time
    async def test_an_order_that_comes_late_in_the_grace_is_refused_as_not_run(self) -> None:
        answer = await self._answer_during_stop(0.1, 5.3, idempotent=False)
        assert isinstance(answer, Refusal)
        self.assertIs(answer.ran, Ran.NO)
        self.assertEqual(self.fixture.reached("s/1"), 1)

    @virtual_time
    async def test_an_order_that_comes_early_in_the_grace_is_served(self) -> None:
        answer = await self._answer_during_stop(0.1, 1.0, idempotent=False)
        self.assertIsInstance(answer, ForwardedReply)
