"""Rate limits of the whole tier, shared between VMs by demand."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from auburncart.coordination.interfaces import Membership, PeerBus
from auburncart.coordination.rate_limiter import RateLimiter, TokenBucket
from auburncart.coordination.rendezvous import top
from auburncart.exception import AuburncartError
from auburncart.state.member import Condition, Member
from auburncart.state.rate import RateDemand, RateGrant, RateGrants, RateReport
from auburncart.state.table import Row

__all__ = ["SharedRateLimiter"]

REPORT_SECONDS = 1.0
ANSWER_SECONDS = 0.5
GRANT_SECONDS = 3.0  # a grant or a report that was not renewed for so long counts no more
DEMAND_WEIGHT = 0.5  # share of a new measurement in the moving average
EVEN_PART = 0.1  # of a rate that is granted evenly, so that a quiet VM can start
FORGET_SECONDS = 30.0

RateKey = tuple[str, str]


class _Meter:
    """One customer's rate on this VM."""

    def __init__(self, max_rate: float, safe: float, now: float) -> None:
        self.max_rate = max_rate
        self.bucket = TokenBucket(safe, now)
        self.count = 0
        self.per_second = 0.0
        self.measured_at = now
        self.used_at = now
        self.granted_at = -GRANT_SECONDS

    def measure(self, now: float) -> float:
        """Return the requests per second that came lately."""
        seconds = max(now - self.measured_at, 1e-3)
        self.per_second += DEMAND_WEIGHT * (self.count / seconds - self.per_second)
        self.count = 0
        self.measured_at = now
        return self.per_second


class _Reported(NamedTuple):
    """A VM's demand as its owner knows it."""

    per_second: float
    at: float


class SharedRateLimiter(RateLimiter):
    """Each VM reports its demand to the owner of a rate, which grants it a part.

    The owner is found by rendezvous hashing over the live VMs, without a vote. It shares out
    only the part of the rate that belongs to the VMs it can see, counted against all that may
    still act. A VM without a grant in force keeps to an equal part of that count, so that the
    parts of a cut tier add up to no more than the rate.

    :param bus: carries reports to owners.
    :param membership: the VMs.
    :param data_centres: returns the names of all data centres.
    """

    def __init__(
        self, bus: PeerBus, membership: Membership, data_centres: Callable[[], Iterable[str]]
    ) -> None:
        self._bus = bus
        self._membership = membership
        self._data_centres = data_centres
        self._meters: dict[RateKey, _Meter] = {}
        self._reports: dict[RateKey, dict[str, _Reported]] = {}
        self._started = asyncio.Event()
        bus.serve(RateReport, self._serve)

    def take(self, customer: str, row: Row, now: float) -> float:
        """Count one request against this VM's part of the row's rate."""
        if row.max_rate <= 0:
            return 0.0
        key = (customer, row.kind)
        meter = self._meters.get(key)
        if meter is None or meter.max_rate != row.max_rate:
            meter = _Meter(row.max_rate, row.max_rate / self._possible(), now)
            self._meters[key] = meter
            self._started.set()
        meter.count += 1
        meter.used_at = now
        if now - meter.granted_at >= GRANT_SECONDS:
            meter.bucket.change(row.max_rate / self._possible(), now)
        return meter.bucket.take(now)

    async def run(self) -> None:
        """Report demand each second while there is any; runs until cancelled."""
        while True:
            await self._started.wait()
            await self._report()
            await asyncio.sleep(REPORT_SECONDS)
            self._forget()

    async def _report(self) -> None:
        now = asyncio.get_running_loop().time()
        demands = [
            RateDemand(customer, kind, meter.max_rate, meter.measure(now))
            for (customer, kind), meter in self._meters.items()
        ]
        demands.sort(key=self._owner)
        groups = itertools.groupby(demands, key=self._owner)
        await asyncio.gather(*(self._ask(owner, tuple(group)) for owner, group in groups))

    async def _ask(self, owner: Member, demands: tuple[RateDemand, ...]) -> None:
        report = RateReport(demands)
        own = self._membership.own
        try:
            if owner.address == own.address:
                answer: tuple = await self._serve(report, own)
            else:
                answer = await self._bus.ask(owner, report, ANSWER_SECONDS)
        except AuburncartError:
            return
        if isinstance(answer, RateGrants):
            self._take_grants(answer)

    def _take_grants(self, grants: RateGrants) -> None:
        now = asyncio.get_running_loop().time()
        for grant in grants.grants:
            meter = self._meters.get((grant.customer, grant.kind))
            if meter is not None:
                part = min(max(grant.per_second, 0.0), meter.max_rate)
                meter.bucket.change(part, now)
                meter.granted_at = now

    async def _serve(self, report: RateReport, origin: Member) -> RateGrants:
        now = asyncio.get_running_loop().time()
        return RateGrants(tuple(self._grant(demand, origin, now) for demand in report.demands))

    def _grant(self, demand: RateDemand, origin: Member, now: float) -> RateGrant:
        key = (demand.customer, demand.kind)
        reports = self._reports.setdefault(key, {})
        reports[origin.address] = _Reported(demand.per_second, now)
        for address in [name for name, one in reports.items() if now - one.at >= GRANT_SECONDS]:
            del reports[address]
        live, possible = len(self._live()), self._possible()
        pool = demand.max_rate * min(1.0, live / possible)
        total = sum(one.per_second for one in reports.values())
        part = demand.per_second / total if total > 0 else 1.0 / len(reports)
        even = EVEN_PART * pool / max(live, len(reports))
        return RateGrant(*key, even + (1.0 - EVEN_PART) * pool * part)

    def _owner(self, demand: RateDemand) -> Member:
        members = {member.address: member for member in self._live()}
        own = self._membership.own
        members.setdefault(own.address, own)
        (first,) = top(f"rate/{demand.customer}/{demand.kind}", members, 1)
        return members[first]

    def _live(self) -> list[Member]:
        members = [one for name in self._data_centres() for one in self._membership.live(name)]
        return [one for one in members if one.condition is Condition.LIVE]

    def _possible(self) -> int:
        possible = sum(self._membership.max_active_vms(name) for name in self._data_centres())
        return max(1, possible, len(self._live()))

    def _forget(self) -> None:
        now = asyncio.get_running_loop().time()
        for key, meter in list(self._meters.items()):
            if now - meter.used_at > FORGET_SECONDS:
                del self._meters[key]
        for key, reports in list(self._reports.items()):
            if all(now - one.at >= GRANT_SECONDS for one in reports.values()):
                del self._reports[key]
        if not self._meters:
            self._started.clear()
