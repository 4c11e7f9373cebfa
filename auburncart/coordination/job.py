"""One attempt at one sub-query, or one order, in an upstream's queue."""

import asyncio
from typing import NamedTuple

from auburncart.coordination.mailbox import Mailbox
from auburncart.exception import UpstreamError
from auburncart.state.failure import Failure
from auburncart.state.query import QueryRun
from auburncart.state.search import ShardAnswer, SubQuery
from auburncart.state.upstream import OrderReply, UpstreamOrder
from auburncart.state.work import Rank

__all__ = ["Job", "JobResult", "OrderJob"]


class JobResult(NamedTuple):
    """How a job ended: with an answer or with a failure.

    :param job: the job.
    :param answer: the shard's answer, None if the job failed.
    :param failure: the failure, None if the job was answered.
    """

    job: "Job"
    answer: ShardAnswer | None
    failure: Failure | None


class Job:
    """One attempt at one sub-query.

    :param sub_query: the sub-query.
    :param rank: rank of the search.
    :param reason: ``first``, ``retry`` or ``hedge``.
    :param mailbox: mailbox of the search that waits for the result.
    :param address: address of the upstream that the job is queued for.
    :param query_run: the query, shard and snapshot by which quarantine identifies it.
    """

    __slots__ = (
        "_mailbox",
        "address",
        "cancelled",
        "isolated",
        "query_run",
        "queued_at",
        "rank",
        "reason",
        "request_id",
        "sent_at",
        "sub_query",
    )

    def __init__(
        self,
        sub_query: SubQuery,
        rank: Rank,
        reason: str,
        mailbox: Mailbox[JobResult],
        address: str,
        query_run: QueryRun | None = None,
    ) -> None:
        self.sub_query = sub_query
        self.rank = rank
        self.reason = reason
        self.address = address
        self.query_run = query_run or QueryRun.of(
            sub_query.kind, sub_query.query, sub_query.snapshot, sub_query.shard
        )
        self.cancelled = False
        self.isolated = False
        self.request_id = ""
        self.queued_at = 0.0
        self.sent_at = 0.0
        self._mailbox = mailbox

    @property
    def sent(self) -> bool:
        """Whether it has left the queue in a request."""
        return bool(self.request_id)

    def answer(self, answer: ShardAnswer) -> None:
        """Deliver the answer to the waiting search."""
        self._mailbox.post(JobResult(self, answer, None))

    def fail(self, failure: Failure) -> None:
        """Deliver the failure to the waiting search."""
        self._mailbox.post(JobResult(self, None, failure))


class OrderJob:
    """One order in an upstream's queue.

    :param order: the order.
    """

    __slots__ = ("_done", "order", "sent")

    def __init__(self, order: UpstreamOrder) -> None:
        self.order = order
        self.sent = False
        self._done: asyncio.Future[OrderReply] = asyncio.get_running_loop().create_future()

    @property
    def awaited(self) -> bool:
        """Whether a caller still waits for the reply."""
        return not self._done.done()

    async def reply(self) -> OrderReply:
        """Wait for the reply until the order's deadline.

        :raises UpstreamError: there is none; ``sent`` tells whether the order may have arrived.
        """
        try:
            async with asyncio.timeout_at(self.order.deadline):
                return await self._done
        except TimeoutError as error:
            step = "reply" if self.sent else "queue"
            raise UpstreamError("deadline passed", step=step, sent=self.sent) from error

    def answer(self, reply: OrderReply) -> None:
        """Deliver the reply to the waiting caller, if any."""
        if self.awaited:
            self._done.set_result(reply)

    def fail(self, error: UpstreamError) -> None:
        """Deliver a failure to the waiting caller, if any."""
        if self.awaited:
            self._done.set_exception(error)
