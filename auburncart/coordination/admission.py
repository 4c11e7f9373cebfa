"""Which requests are let in, and in which order."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

from expression import Error, Ok, Result

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.table import TableKeeper
from auburncart.state.failure import Refusal, RefusalCode, Step
from auburncart.state.table import Row
from auburncart.state.work import Work

__all__ = ["Admission", "FifoAdmission", "Permit"]


class Permit(ABC):
    """Permission to run one request; it is released exactly once."""

    @abstractmethod
    def release(self) -> None:
        """Give the place to the next request."""

    def update_remaining(self, remaining: int) -> None:  # noqa: B027
        """Take in how many sub-queries of the search are still open; by default nothing is done."""


class Admission(ABC):
    """Lets requests in by rank, weight and limit."""

    def bind(self, tables: TableKeeper, catalogue: Catalogue) -> None:  # noqa: B027
        """Decide by the table and the shard map in force; by default they are not needed."""

    @abstractmethod
    async def admit(self, work: Work, row: Row) -> Result[Permit, Refusal]:
        """Wait for a place.

        :return: a permit, or a refusal with ``ran: no``.
        """


class _FifoPermit(Permit):
    def __init__(self, admission: "FifoAdmission") -> None:
        self._admission = admission

    def release(self) -> None:
        self._admission._release()


class FifoAdmission(Admission):
    """Lets requests in as they come, up to a fixed number; the baseline.

    :param max_concurrent: most requests at work at the same time.
    """

    def __init__(self, max_concurrent: int) -> None:
        self._free = max_concurrent
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def admit(self, work: Work, row: Row) -> Result[Permit, Refusal]:
        """Take a free place or wait for one until the deadline."""
        if self._free > 0:
            self._free -= 1
            return Ok(_FifoPermit(self))
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            async with asyncio.timeout_at(work.deadline):
                await turn
        except TimeoutError:
            self._give_up(turn)
            return Error(
                Refusal(RefusalCode.OVERLOADED, "no place before the deadline", step=Step.QUEUE)
            )
        except asyncio.CancelledError:
            self._give_up(turn)
            raise
        return Ok(_FifoPermit(self))

    def _give_up(self, turn: asyncio.Future[None]) -> None:
        """Leave the queue, or hand a place on that came too late."""
        if turn in self._waiting:
            self._waiting.remove(turn)
        elif turn.done() and not turn.cancelled():
            self._release()

    def _release(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1
