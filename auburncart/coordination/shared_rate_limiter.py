"""Rate limits of the whole tier, shared between the VMs by demand."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from auburncart.coordination.interfaces import Membership, PeerBus
from auburncart.coordination.rate_limiter import RateLimiter, TokenBucket
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.exception import AuburncartError
from auburncart.state.member import Condition, Member
from auburncart.state.rate import RateDemand, RateGrant, RateGrants, RateReport
from auburncart.state.table import Row

__all__ = ["SharedRateLimiter"]

REPORT_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 0.5
GRANT_SECONDS = 3.0  # after which a grant or a report that was not renewed expires
SMOOTHING = 0.5  # share of a new measurement in the moving average
EVEN_SHARE = 0.1  # of a rate, granted evenly so that a VM without demand can start
IDLE_SECONDS = 30.0  # after which an unused meter is removed

RateKey = tuple[str, str]


class _Meter:
    """The rate of one customer and kind on this VM."""

    def __init__(self, max_rate: float, safe_rate: float, now: float) -> None:
        self.max_rate = max_rate
        self.bucket = TokenBucket(safe_rate, now)
        self.count = 0
        self.per_second = 0.0
        self.measured_at = now
        self.used_at = now
        self.granted_at = -GRANT_SECONDS

    def measure(self, now: float) -> float:
        """Return the smoothed number of requests per second."""
        seconds = max(now - self.measured_at, 1e-3)
        self.per_second += SMOOTHING * (self.count / seconds - self.per_second)
        self.count = 0
        self.measured_at = now
        return self.per_second


class _Demand(NamedTuple):
    """A VM's demand as last reported to the owner of the rate."""

    per_second: float
    at: float


class SharedRateLimiter(RateLimiter):
    """Each VM reports its demand to the owner of a rate, which grants it a share.

    The owner is found by rendezvous hashing over the live VMs, without an election. It grants
    only the fraction of the rate that the live VMs are of all VMs that may still be active. A VM
    without a valid grant uses an equal share over all VMs that may be active, so that the shares
    in a partitioned tier add up to no more than the rate.

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
        self._reports: dict[RateKey, dict[str, _Demand]] = {}
        self._has_meters = asyncio.Event()
        bus.serve(RateReport, self._serve)

    def take(self, customer: str, row: Row, now: float) -> float:
        """Count one request against this VM's share of the row's rate."""
        if row.max_rate <= 0:
            return 0.0
        key = (customer, row.kind)
        meter = self._meters.get(key)
        if meter is None or meter.max_rate != row.max_rate:
            meter = _Meter(row.max_rate, row.max_rate / self._max_active_vms(), now)
            self._meters[key] = meter
            self._has_meters.set()
        meter.count += 1
        meter.used_at = now
        if now - meter.granted_at >= GRANT_SECONDS:
            meter.bucket.set_rate(row.max_rate / self._max_active_vms(), now)
        return meter.bucket.take(now)

    async def run(self) -> None:
        """Report demand each second while there is any; runs until cancelled."""
        while True:
            await self._has_meters.wait()
            await self._report()
            await asyncio.sleep(REPORT_SECONDS)
            self._remove_idle()

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
                answer = await self._bus.ask(owner, report, ANSWER_TIMEOUT_SECONDS)
        except AuburncartError:
            return
        if isinstance(answer, RateGrants):
            self._apply_grants(answer)

    def _apply_grants(self, grants: RateGrants) -> None:
        now = asyncio.get_running_loop().time()
        for grant in grants.grants:
            meter = self._meters.get((grant.customer, grant.kind))
            if meter is not None:
                share = min(max(grant.per_second, 0.0), meter.max_rate)
                meter.bucket.set_rate(share, now)
                meter.granted_at = now

    async def _serve(self, report: RateReport, origin: Member) -> RateGrants:
        now = asyncio.get_running_loop().time()
        return RateGrants(tuple(self._grant(demand, origin, now) for demand in report.demands))

    def _grant(self, demand: RateDemand, origin: Member, now: float) -> RateGrant:
        key = (demand.customer, demand.kind)
        reports = self._reports.setdefault(key, {})
        reports[origin.address] = _Demand(demand.per_second, now)
        for address in [name for name, last in reports.items() if now - last.at >= GRANT_SECONDS]:
            del reports[address]
        live, max_active = len(self._live()), self._max_active_vms()
        available = demand.max_rate * min(1.0, live / max_active)
        total = sum(last.per_second for last in reports.values())
        share = demand.per_second / total if total > 0 else 1.0 / len(reports)
        even = EVEN_SHARE * available / max(live, len(reports))
        return RateGrant(*key, even + (1.0 - EVEN_SHARE) * available * share)

    def _owner(self, demand: RateDemand) -> Member:
        members = {member.address: member for member in self._live()}
        own = self._membership.own
        members.setdefault(own.address, own)
        (first,) = rendezvous_select(f"rate/{demand.customer}/{demand.kind}", members, 1)
        return members[first]

    def _live(self) -> list[Member]:
        members = [vm for name in self._data_centres() for vm in self._membership.live(name)]
        return [vm for vm in members if vm.condition is Condition.LIVE]

    def _max_active_vms(self) -> int:
        max_active = sum(self._membership.max_active_vms(name) for name in self._data_centres())
        return max(1, max_active, len(self._live()))

    def _remove_idle(self) -> None:
        now = asyncio.get_running_loop().time()
        for key, meter in list(self._meters.items()):
            if now - meter.used_at > IDLE_SECONDS:
                del self._meters[key]
        for key, reports in list(self._reports.items()):
            if all(now - last.at >= GRANT_SECONDS for last in reports.values()):
                del self._reports[key]
        if not self._meters:
            self._has_meters.clear()
