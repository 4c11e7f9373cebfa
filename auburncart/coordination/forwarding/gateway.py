"""Answers callers' requests by the routes in force."""

import asyncio
from collections.abc import Callable

from auburncart.coordination.forwarding.attempts import (
    HEDGE_SHARE,
    NO_REPLICA,
    Attempts,
    Outcome,
    Plan,
    Tools,
)
from auburncart.coordination.forwarding.configuration import ConfigurationKeeper
from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.interfaces import Forwarder
from auburncart.coordination.forwarding.scatter import RETURN_RETRY_SECONDS, Scatter
from auburncart.coordination.forwarding.search import search_of
from auburncart.coordination.forwarding.split import WeightedSplit
from auburncart.coordination.shutdown import RequestTracker
from auburncart.state.configuration import Route
from auburncart.state.event import Answered, Left, Refused, Routed
from auburncart.state.failure import FailureCode, Ran, Refusal, RefusalCode, Step
from auburncart.state.forward import ForwardAnswer, ForwardRequest, Merged, Passed

__all__ = ["Gateway"]

ANSWER_MARGIN_SECONDS = 0.012  # of the latency target: the way to the caller and back, twice 3 ms
SHARD_MARGIN_SECONDS = 0.0001  # besides, for each shard: its part is merged, its task ended
CONNECT_MARGIN_SECONDS = 0.008  # besides, where the caller has just opened its connection
DEADLINE_MARGIN_SECONDS = 0.02  # before a caller's deadline, so that the answer arrives in it
RETRY_AFTER_SECONDS = 0.25  # a replica is ejected for about as long


class Gateway(Forwarder):
    """Answers each request by its route: by one replica, or by all shards.

    :param keeper: the configuration in force.
    :param tools: what tries are made with.
    :param request_tracker: the requests in flight.
    :param replicas_age: returns seconds since the store last confirmed the list of replicas.
    :param delegation: knows VMs near the shards; None to ask all shards from here.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        tools: Tools,
        request_tracker: RequestTracker,
        replicas_age: Callable[[], float],
        delegation: Delegation | None = None,
    ) -> None:
        self._delegation = delegation
        self._keeper = keeper
        self._tools = tools
        self._request_tracker = request_tracker
        self._replicas_age = replicas_age
        self._split = WeightedSplit()

    @property
    def ready(self) -> bool:
        """Whether new callers should come here."""
        return self._request_tracker.ready

    @property
    def leaving(self) -> bool:
        """Whether this VM is being stopped."""
        return self._request_tracker.leaving

    async def answer(self, request: ForwardRequest) -> ForwardAnswer:
        """Answer a request by the routes in force when it came."""
        with self._request_tracker.track():
            table = self._keeper.table
            route = table.match(request.host, request.path) if table else None
            try:
                answer = await self._answer(request, route)
            except asyncio.CancelledError:
                self._tools.journal.record(Left(request.request_id, self._age(request)))
                raise
            self._record(request, route, answer)
            return answer

    async def _answer(self, request: ForwardRequest, route: Route | None) -> ForwardAnswer:
        if self._keeper.table is None:
            return Refusal(
                RefusalCode.UNAVAILABLE,
                "no configuration yet",
                retry_after=RETRY_AFTER_SECONDS,
                step=Step.ROUTE,
            )
        if route is None:
            return Refusal(RefusalCode.NO_ROUTE, "no route for this path", step=Step.ROUTE)
        quarantine = self._tools.suspects.refuses(request)
        if quarantine > 0.0:
            reason = "replicas crashed each time that they ran it"
            return Refusal(RefusalCode.UNAVAILABLE, reason, Ran.NO, quarantine, Step.ROUTE)
        until = min(request.deadline - DEADLINE_MARGIN_SECONDS, request.arrived + route.timeout)
        if route.shards:
            return await self._search(request, route, until)
        return await self._pass_on(request, route, until)

    async def _search(
        self, request: ForwardRequest, route: Route, until: float
    ) -> Merged | Refusal:
        self._record_route(request, route, f"{len(route.shards)} shards", until)
        margin = ANSWER_MARGIN_SECONDS + SHARD_MARGIN_SECONDS * len(route.shards)
        margin += request.opened * CONNECT_MARGIN_SECONDS
        deliver_at = request.arrived + route.latency_target - margin
        search = search_of(request, route, deliver_at, until)
        scatter = Scatter(search, route.least_share, self._tools, self._delegation)
        answer = await scatter.run()
        if isinstance(answer, Refusal) and answer.ran is Ran.NO and not answer.retry_after:
            return answer._replace(retry_after=RETRY_AFTER_SECONDS)
        return answer

    async def _pass_on(
        self, request: ForwardRequest, route: Route, until: float
    ) -> Passed | Refusal:
        service = self._split.pick(route)
        self._record_route(request, route, service, until)
        self._tools.budget.record_request(service)
        plan = Plan(
            service,
            route.priority,
            route.idempotent,
            route.most_attempts,
            HEDGE_SHARE * route.latency_target,
            until,
        )
        outcome = await Attempts(request, plan, self._tools).run()
        return self._result(outcome)

    def _result(self, outcome: Outcome) -> Passed | Refusal:
        reply, failure = outcome.reply, outcome.failure
        if reply is not None and (reply.stamp or not reply.succeeded):
            return Passed(reply)
        if failure is None:
            reason = "the reply has no proof of its own"
            return Refusal(RefusalCode.FAILED, reason, Ran.UNKNOWN, step=Step.MATCH)
        if not outcome.may_have_run:
            code = RefusalCode.UNAVAILABLE
            if failure.code is FailureCode.SHED:
                code = RefusalCode.OVERLOADED
            retry_after = RETRY_AFTER_SECONDS
            if failure is NO_REPLICA:
                retry_after = RETURN_RETRY_SECONDS
            return Refusal(code, failure.reason, Ran.NO, retry_after, failure.step, failure.peer)
        code = RefusalCode.FAILED
        if failure.code is FailureCode.TIMED_OUT:
            code = RefusalCode.TIMED_OUT
        return Refusal(code, failure.reason, Ran.UNKNOWN, 0.0, failure.step, failure.peer)

    def _record_route(
        self, request: ForwardRequest, route: Route, service: str, until: float
    ) -> None:
        self._tools.journal.record(
            Routed(
                request.request_id,
                route.name,
                service,
                self._keeper.version,
                self._keeper.age,
                until - asyncio.get_running_loop().time(),
            )
        )

    def _record(self, request: ForwardRequest, route: Route | None, answer: ForwardAnswer) -> None:
        name = route.name if route else ""
        kind = _kind_of(route)
        seconds = self._age(request)
        if isinstance(answer, Refusal):
            event = Refused(
                request.request_id,
                name,
                kind,
                answer.code.value,
                f"{answer.step.value} {answer.peer}: {answer.reason}",
                answer.ran.value,
                seconds,
                self._keeper.version,
                self._replicas_age(),
            )
            self._tools.journal.record(event)
            return
        missing = answer.failures if isinstance(answer, Merged) else {}
        status = answer.reply.status if isinstance(answer, Passed) else 200
        cause = next((failure.reason for failure in missing.values()), "")
        self._tools.journal.record(
            Answered(
                request.request_id,
                name,
                kind,
                status,
                seconds,
                len(missing),
                tuple(missing),
                cause,
            )
        )

    def _age(self, request: ForwardRequest) -> float:
        return asyncio.get_running_loop().time() - request.arrived


def _kind_of(route: Route | None) -> str:
    if route is None:
        return "none"
    if route.shards:
        return "search"
    return "idempotent" if route.idempotent else "once"
