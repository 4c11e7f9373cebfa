"""The sub-queries that wait for one upstream."""

from collections.abc import Iterator

from auburncart.coordination.batching import Batching
from auburncart.coordination.job import Job
from auburncart.coordination.quarantine import Quarantine
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.shards import Replica
from auburncart.state.work import Rank

__all__ = ["JobQueue"]


class JobQueue:
    """Jobs by rank, in the order of their arrival; a cancelled job leaves at once.

    :param replica: the upstream.
    :param batching: sizes the batches.
    :param quarantine: tells which jobs must travel alone.
    """

    def __init__(self, replica: Replica, batching: Batching, quarantine: Quarantine) -> None:
        self._replica = replica
        self._batching = batching
        self._quarantine = quarantine
        self._queues: dict[Rank, dict[Job, None]] = {rank: {} for rank in Rank}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def __iter__(self) -> Iterator[Job]:
        return (job for queue in self._queues.values() for job in queue)

    def add(self, job: Job) -> None:
        """Put a job at the end of its rank."""
        self._queues[job.rank][job] = None

    def discard(self, job: Job) -> bool:
        """Take a job out.

        :return: whether it was there.
        """
        queue = self._queues[job.rank]
        if job not in queue:
            return False
        del queue[job]
        return True

    def fail_all(self, failure: Failure) -> None:
        """Fail every job; none of them was sent."""
        for job in list(self):
            self.discard(job)
            job.fail(failure)

    def startable(self, isolated_at_work: bool, now: float) -> bool:
        """Return whether :meth:`take` would find a job."""
        if not isolated_at_work:
            return len(self) > 0
        return any(not self._quarantine.isolates(job.run, now) for job in self)

    def take(self, isolated_at_work: bool, now: float) -> tuple[Job, ...]:
        """Take the jobs of one request; an empty tuple if none is left.

        :param isolated_at_work: whether a job that must travel alone is at work on the upstream;
            then no other such job is taken.
        :param now: loop time in seconds.
        """
        for queue in self._queues.values():
            for first in tuple(queue):
                if self._expired(first, now):
                    continue
                first.isolated = self._quarantine.isolates(first.run, now)
                if not first.isolated:
                    return self._batch(first, queue, now)
                if not isolated_at_work:
                    del queue[first]
                    return (first,)
        return ()

    def _batch(self, first: Job, queue: dict[Job, None], now: float) -> tuple[Job, ...]:
        size = self._batching.size(self._replica, len(queue), first.rank)
        jobs = [first]
        for job in tuple(queue) if size > 1 else ():
            if len(jobs) >= size:
                break
            if job is not first and self._may_join(job, first, now):
                jobs.append(job)
        for job in jobs:
            del queue[job]
        return tuple(jobs)

    def _may_join(self, job: Job, first: Job, now: float) -> bool:
        if job.sub.snapshot != first.sub.snapshot or self._expired(job, now):
            return False
        return not self._quarantine.isolates(job.run, now)

    def _expired(self, job: Job, now: float) -> bool:
        if now < job.sub.deadline:
            return False
        self.discard(job)
        address = self._replica.address
        job.fail(Failure(Step.QUEUE, address, "deadline passed", FailureCode.TIMED_OUT, False))
        return True
