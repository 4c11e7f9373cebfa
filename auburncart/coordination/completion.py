"""How a request to an upstream completes, and what its outcome tells about the upstream."""

import asyncio

from auburncart.coordination.health import UpstreamHealth
from auburncart.coordination.in_flight import InFlightLimit
from auburncart.coordination.job import Job
from auburncart.coordination.quarantine import Quarantine
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.upstream import BatchReply, UpstreamCondition

__all__ = ["RequestCompletion"]


class RequestCompletion:
    """Ends the jobs of a request, and records what its reply or failure tells.

    :param address: the upstream.
    :param health: its health.
    :param in_flight_limit: its limit of requests in flight.
    :param quarantine: told which queries were lost or answered.
    """

    def __init__(
        self,
        address: str,
        health: UpstreamHealth,
        in_flight_limit: InFlightLimit,
        quarantine: Quarantine,
    ) -> None:
        self._address = address
        self._health = health
        self._in_flight_limit = in_flight_limit
        self._quarantine = quarantine

    def fail(self, jobs: tuple[Job, ...], failure: Failure, in_flight: int) -> None:
        """Fail the jobs of a request that got no reply.

        :param in_flight: requests in flight, including this one.
        """
        now = asyncio.get_running_loop().time()
        self._health.record_failure(failure, now)
        if failure.code is FailureCode.SHED:
            self._in_flight_limit.record_shed(in_flight, now)
        if failure.code is FailureCode.LOST and failure.sent:
            query_runs = tuple(job.query_run for job in jobs)
            self._quarantine.record_loss(self._address, query_runs, jobs[0].isolated, now)
        fail_all(jobs, failure)

    def complete(self, jobs: tuple[Job, ...], reply: BatchReply, in_flight: int) -> bool:
        """Deliver a reply to the jobs of its request.

        :param in_flight: requests in flight, including this one.
        :return: whether the upstream has begun to report that it drains.
        """
        now = asyncio.get_running_loop().time()
        before = self._health.condition
        self._record_reply(jobs, reply, in_flight, now)
        for job in jobs:
            self._end(job, reply, now)
        condition = self._health.condition
        return condition is UpstreamCondition.DRAINING and condition is not before

    def _record_reply(
        self, jobs: tuple[Job, ...], reply: BatchReply, in_flight: int, now: float
    ) -> None:
        seconds = now - jobs[0].sent_at
        cancelled = all(job.cancelled for job in jobs)
        self._health.record_reply(seconds, reply.condition, now, cancelled=cancelled)
        codes = {failure.code for failure in reply.failures.values()}
        if FailureCode.DRAINING in codes:
            self._health.record_draining_refusal(now)
        if FailureCode.SHED in codes or reply.condition is UpstreamCondition.SHEDDING:
            self._in_flight_limit.record_shed(in_flight, now)
        elif not cancelled:
            self._in_flight_limit.record_reply(seconds, len(jobs), in_flight, now)

    def _end(self, job: Job, reply: BatchReply, now: float) -> None:
        answer = reply.answers.get(job.sub_query.sub_query_id)
        if answer is not None:
            self._quarantine.record_answer(job.query_run, now)
            job.answer(answer)
        else:
            job.fail(reply.failures.get(job.sub_query.sub_query_id, self._mismatch()))

    def _mismatch(self) -> Failure:
        return Failure(
            Step.MATCH, self._address, "no matching answer in the reply", FailureCode.MISMATCH
        )


def fail_all(jobs: tuple[Job, ...], failure: Failure) -> None:
    """Fail each job of a request."""
    for job in jobs:
        job.fail(failure)
