"""Answering callers' requests by the routes in force."""

import asyncio
from collections.abc import Callable

from auburncart.coordination.forwarding.attempts import (
    HEDGE_DELAY_SHARE,
    LIMITED,
    NO_REPLICA,
    QUARANTINED,
    AttemptPolicy,
    Attempts,
    ForwardingContext,
    Outcome,
)
from auburncart.coordination.forwarding.configuration import ActiveConfiguration
from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.interfaces import Forwarder
from auburncart.coordination.forwarding.scatter_gather import (
    RELISTING_RETRY_SECONDS,
    ScatterGather,
    limited_retry_after,
)
from auburncart.coordination.forwarding.search import search_of
from auburncart.coordination.forwarding.split import WeightedSplit
from auburncart.coordination.shutdown import RequestTracker
from auburncart.state.configuration import Route
from auburncart.state.event import Answered, Left, Refused, Routed
from auburncart.state.failure import FailureCode, Ran, Refusal, RefusalCode, Step
from auburncart.state.forward import ForwardAnswer, ForwardedReply, ForwardRequest, MergedAnswer

__all__ = ["Gateway"]

# The first three are subtracted from a search's latency target.
ANSWER_MARGIN_SECONDS = 0.012  # the way to the caller and back, twice 3 ms
SHARD_MARGIN_SECONDS = 0.0001  # for each shard, to merge its part and end its task
CONNECT_MARGIN_SECONDS = 0.008  # if the caller has just opened its connection
DEADLINE_MARGIN_SECONDS = 0.02  # before a caller's deadline, so that the answer arrives in time
# Before a leaving VM ends, for a request that must not be repeated; with less it is refused.
MIN_LATENCY_TARGETS_LEFT = 2.0
RETRY_AFTER_SECONDS = 0.25  # about as long as a replica stays ejected


class Gateway(Forwarder):
    """Forwards each request by its route, to one replica or to all shards of a search.

    :param configuration: the configuration in force.
    :param context: the collaborators of the forwarding code.
    :param request_tracker: tracks the requests in flight.
    :param replicas_age: returns the seconds since the store last confirmed the list of replicas.
    :param delegation: chooses VMs near the shards to ask them; None to ask all shards directly.
    """

    def __init__(
        self,
        configuration: ActiveConfiguration,
        context: ForwardingContext,
        request_tracker: RequestTracker,
        replicas_age: Callable[[], float],
        delegation: Delegation | None = None,
    ) -> None:
        self._delegation = delegation
        self._configuration = configuration
        self._context = context
        self._request_tracker = request_tracker
        self._replicas_age = replicas_age
        self._split = WeightedSplit()

    @property
    def ready(self) -> bool:
        """Whether new callers should be sent to this VM."""
        return self._request_tracker.ready

    @property
    def leaving(self) -> bool:
        """Whether this VM is shutting down."""
        return self._request_tracker.leaving

    async def answer(self, request: ForwardRequest) -> ForwardAnswer:
        """Answer a request by the routes in force at its arrival."""
        with self._request_tracker.track():
            table = self._configuration.table
            route = table.match(request.host, request.path) if table else None
            try:
                answer = await self._answer(request, route)
            except asyncio.CancelledError:
                if not self._request_tracker.cut_off:
                    self._context.journal.record(Left(request.request_id, self._age(request)))
                    raise
                answer = self._cut_off_answer()
            self._record(request, route, answer)
            return answer

    def _cut_off_answer(self) -> Refusal:
        """Return the answer to a request that is in flight when this VM ends."""
        task = asyncio.current_task()
        assert task is not None
        task.uncancel()
        return Refusal(RefusalCode.TIMED_OUT, "this VM ends", Ran.UNKNOWN, step=Step.SHUTDOWN)

    async def _answer(self, request: ForwardRequest, route: Route | None) -> ForwardAnswer:
        if self._configuration.table is None:
            return Refusal(
                RefusalCode.UNAVAILABLE,
                "no configuration yet",
                retry_after=RETRY_AFTER_SECONDS,
                step=Step.ROUTE,
            )
        if route is None:
            return Refusal(RefusalCode.NO_ROUTE, "no route for this path", step=Step.ROUTE)
        retry_delay = self._context.quarantine.retry_delay(request)
        if retry_delay > 0.0:
            return Refusal(
                RefusalCode.UNAVAILABLE, QUARANTINED.reason, Ran.NO, retry_delay, Step.ROUTE
            )
        time_left = self._request_tracker.ends_at - asyncio.get_running_loop().time()
        if not route.idempotent and time_left < MIN_LATENCY_TARGETS_LEFT * route.latency_target:
            return Refusal(
                RefusalCode.UNAVAILABLE,
                "this VM ends before the request might be answered",
                Ran.NO,
                RETRY_AFTER_SECONDS,
                Step.SHUTDOWN,
            )
        until = min(request.deadline - DEADLINE_MARGIN_SECONDS, request.arrived + route.timeout)
        if route.shards:
            return await self._search(request, route, until)
        return await self._forward(request, route, until)

    async def _search(
        self, request: ForwardRequest, route: Route, until: float
    ) -> MergedAnswer | Refusal:
        self._record_route(request, route, f"{len(route.shards)} shards", until)
        margin = ANSWER_MARGIN_SECONDS + SHARD_MARGIN_SECONDS * len(route.shards)
        margin += request.new_connection * CONNECT_MARGIN_SECONDS
        deliver_at = request.arrived + route.latency_target - margin
        search = search_of(request, route, deliver_at, until)
        scatter_gather = ScatterGather(search, route.min_share, self._context, self._delegation)
        answer = await scatter_gather.run()
        if isinstance(answer, Refusal) and answer.ran is Ran.NO and not answer.retry_after:
            return answer._replace(retry_after=RETRY_AFTER_SECONDS)
        return answer

    async def _forward(
        self, request: ForwardRequest, route: Route, until: float
    ) -> ForwardedReply | Refusal:
        service = self._split.pick(route)
        self._record_route(request, route, service, until)
        self._context.budget.record_request(service)
        policy = AttemptPolicy(
            service,
            route.priority,
            route.idempotent,
            route.max_attempts,
            HEDGE_DELAY_SHARE * route.latency_target,
            until,
            send_by=0.5 * (request.arrived + until),
        )
        outcome = await Attempts(request, policy, self._context).run()
        return self._answer_of(outcome, policy)

    def _answer_of(self, outcome: Outcome, policy: AttemptPolicy) -> ForwardedReply | Refusal:
        reply, failure = outcome.reply, outcome.failure
        if reply is not None and (reply.stamp or not reply.succeeded):
            return ForwardedReply(reply)
        if failure is None:
            reason = "the reply has no stamp"
            return Refusal(RefusalCode.FAILED, reason, Ran.UNKNOWN, step=Step.MATCH)
        if not outcome.may_have_run:
            code = RefusalCode.UNAVAILABLE
            if failure.code is FailureCode.SHED:
                code = RefusalCode.OVERLOADED
            retry_after = RETRY_AFTER_SECONDS
            if failure is NO_REPLICA:
                retry_after = RELISTING_RETRY_SECONDS
            if failure is LIMITED:
                delay = self._context.registry.send_delay(policy.service, policy.priority)
                retry_after = limited_retry_after(delay)
            return Refusal(code, failure.reason, Ran.NO, retry_after, failure.step, failure.peer)
        code = RefusalCode.FAILED
        if failure.code is FailureCode.TIMED_OUT:
            code = RefusalCode.TIMED_OUT
        return Refusal(code, failure.reason, Ran.UNKNOWN, 0.0, failure.step, failure.peer)

    def _record_route(
        self, request: ForwardRequest, route: Route, service: str, until: float
    ) -> None:
        self._context.journal.record(
            Routed(
                request.request_id,
                route.name,
                service,
                self._configuration.version,
                self._configuration.age,
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
                self._configuration.version,
                self._replicas_age(),
            )
            self._context.journal.record(event)
            return
        missing = answer.failures if isinstance(answer, MergedAnswer) else {}
        status = answer.reply.status if isinstance(answer, ForwardedReply) else 200
        cause = next((failure.reason for failure in missing.values()), "")
        self._context.journal.record(
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
