"""One try of one sub-query on its way through an upstream's queue."""

from typing import NamedTuple

from auburncart.coordination.mailbox import Mailbox
from auburncart.state import Failure, QueryRun, Rank, ShardAnswer, SubQuery

__all__ = ["Job", "JobResult"]


class JobResult(NamedTuple):
    """How a job ended: with an answer or with a failure.

    :param job: the job.
    :param answer: the shard's answer, None if it failed.
    :param failure: the failure, None if it was answered.
    """

    job: "Job"
    answer: ShardAnswer | None
    failure: Failure | None


class Job:
    """One try of one sub-query.

    :param sub: the sub-query.
    :param rank: rank of the search.
    :param reason: ``first``, ``retry`` or ``hedge``.
    :param mailbox: mailbox of the search that waits.
    :param address: address of the upstream that it waits for.
    :param run: the query as quarantine knows it.
    """

    __slots__ = (
        "_mailbox",
        "address",
        "cancelled",
        "isolated",
        "queued_at",
        "rank",
        "reason",
        "request_id",
        "run",
        "sent_at",
        "sub",
    )

    def __init__(
        self,
        sub: SubQuery,
        rank: Rank,
        reason: str,
        mailbox: Mailbox[JobResult],
        address: str,
        run: QueryRun | None = None,
    ) -> None:
        self.sub = sub
        self.rank = rank
        self.reason = reason
        self.address = address
        self.run = run or QueryRun.of(sub.kind, sub.query, sub.snapshot, sub.shard)
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
        """Hand the answer to the waiting search."""
        self._mailbox.post(JobResult(self, answer, None))

    def fail(self, failure: Failure) -> None:
        """Hand the failure to the waiting search."""
        self._mailbox.post(JobResult(self, None, failure))
