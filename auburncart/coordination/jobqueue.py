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
    """Jobs by rank, in the order of their arrival; a cancelled job is removed at once.

    :param replica: the upstream.
    :param batching: chooses the size of a batch.
    :param quarantine: tells which jobs must be sent alone.
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
        """Append a job to the queue of its rank."""
        self._queues[job.rank][job] = None

    def discard(self, job: Job) -> bool:
        """Remove a job.

        :return: whether it was queued.
        """
        queue = self._queues[job.rank]
        if job not in queue:
            return False
        del queue[job]
        return True

    def fail_all(self, failure: Failure) -> None:
        """Remove every job and fail it; none of them was sent."""
        for job in list(self):
            self.discard(job)
            job.fail(failure)

    def has_startable(self, isolated_in_flight: bool, now: float) -> bool:
        """Return whether :meth:`take` would find a job."""
        if not isolated_in_flight:
            return len(self) > 0
        return any(not self._quarantine.isolates(job.query_run, now) for job in self)

    def take(self, isolated_in_flight: bool, now: float) -> tuple[Job, ...]:
        """Remove and return the jobs of one request; an empty tuple if there is none.

        :param isolated_in_flight: whether a job that must be sent alone is in flight to the
            upstream; then no other such job is taken.
        :param now: loop time in seconds.
        """
        for queue in self._queues.values():
            for first in tuple(queue):
                if self._expire(first, now):
                    continue
                first.isolated = self._quarantine.isolates(first.query_run, now)
                if not first.isolated:
                    return self._take_batch(first, queue, now)
                if not isolated_in_flight:
                    del queue[first]
                    return (first,)
        return ()

    def _take_batch(self, first: Job, queue: dict[Job, None], now: float) -> tuple[Job, ...]:
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
        if job.sub_query.snapshot != first.sub_query.snapshot or self._expire(job, now):
            return False
        return not self._quarantine.isolates(job.query_run, now)

    def _expire(self, job: Job, now: float) -> bool:
        """Fail a job whose deadline has passed; return whether it has."""
        if now < job.sub_query.deadline:
            return False
        self.discard(job)
        address = self._replica.address
        job.fail(Failure(Step.QUEUE, address, "deadline passed", FailureCode.TIMED_OUT, False))
        return True
