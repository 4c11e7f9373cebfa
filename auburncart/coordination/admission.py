"""Admission control: which requests are admitted, and in which order."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

from expression import Error, Ok, Result

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.table import CurrentTable
from auburncart.state.failure import Refusal, RefusalCode, Step
from auburncart.state.table import Row
from auburncart.state.work import Work

__all__ = ["Admission", "FifoAdmission", "Permit"]


class Permit(ABC):
    """Permission to run one request; it is released exactly once."""

    @abstractmethod
    def release(self) -> None:
        """Release the capacity that the request still holds."""

    def update_remaining(self, remaining: int) -> None:  # noqa: B027
        """Record how many sub-queries of the search are still open; by default does nothing."""


class Admission(ABC):
    """Admits requests by rank, weight and limit."""

    def bind(self, tables: CurrentTable, catalogue: Catalogue) -> None:  # noqa: B027
        """Use the table and the shard map in force; by default they are not needed."""

    @abstractmethod
    async def admit(self, work: Work, row: Row) -> Result[Permit, Refusal]:
        """Wait until the request is admitted.

        :return: a permit, or a refusal with ``ran: no``.
        """


class _FifoPermit(Permit):
    def __init__(self, admission: "FifoAdmission") -> None:
        self._admission = admission

    def release(self) -> None:
        self._admission._release()


class FifoAdmission(Admission):
    """Admits requests in order of arrival, up to a fixed number in flight; the baseline.

    :param max_concurrent: maximum number of requests in flight.
    """

    def __init__(self, max_concurrent: int) -> None:
        self._free = max_concurrent
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def admit(self, work: Work, row: Row) -> Result[Permit, Refusal]:
        """Take a free permit, or wait for one until the deadline."""
        if self._free > 0:
            self._free -= 1
            return Ok(_FifoPermit(self))
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout_at(work.deadline):
                await waiter
        except TimeoutError:
            self._withdraw(waiter)
            return Error(
                Refusal(RefusalCode.OVERLOADED, "not admitted before the deadline", step=Step.QUEUE)
            )
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        return Ok(_FifoPermit(self))

    def _withdraw(self, waiter: asyncio.Future[None]) -> None:
        """Leave the queue, or pass on a permit that was granted too late."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.done() and not waiter.cancelled():
            self._release()

    def _release(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free += 1
