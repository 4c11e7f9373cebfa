"""Admission that checks the customer's rate first."""

from expression import Error, Result

from auburncart.coordination.admission import Admission, Permit
from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.rate_limiter import RateLimiter
from auburncart.coordination.table import CurrentTable
from auburncart.state.failure import Refusal, RefusalCode, Step
from auburncart.state.table import Row
from auburncart.state.work import Work

__all__ = ["RateLimitedAdmission"]


class RateLimitedAdmission(Admission):
    """Refuses requests above the ``max_rate`` of a row, and passes on the rest.

    :param admission: decides on the requests within the rate.
    :param rate_limiter: limits the rate of each customer.
    """

    def __init__(self, admission: Admission, rate_limiter: RateLimiter) -> None:
        self._admission = admission
        self._rate_limiter = rate_limiter

    def bind(self, tables: CurrentTable, catalogue: Catalogue) -> None:
        """Use the table and the shard map in force."""
        self._admission.bind(tables, catalogue)

    async def admit(self, work: Work, row: Row) -> Result[Permit, Refusal]:
        """Refuse at once if the customer is above its rate, else wait to be admitted."""
        wait = self._rate_limiter.take(work.customer, row, work.arrival)
        if wait > 0:
            return Error(_over_rate(wait))
        return await self._admission.admit(work, row)


def _over_rate(wait: float) -> Refusal:
    reason = "over the table's max_rate"
    return Refusal(RefusalCode.OVERLOADED, reason, retry_after=wait, step=Step.ADMIT)
