"""The set of policies of one VM."""

from collections.abc import Callable
from typing import NamedTuple

from auburncart.coordination.admission import Admission, FifoAdmission
from auburncart.coordination.batching import Batching, OnePerRequest
from auburncart.coordination.capacity import DEFAULT_TOLERANCE
from auburncart.coordination.choice import ReplicaChoice, RoundRobinChoice
from auburncart.coordination.connection_limit import ConnectionLimit, FixedConnectionLimit
from auburncart.coordination.crash_quarantine import CrashQuarantine
from auburncart.coordination.drain import Draining, NoDraining, SignalDraining
from auburncart.coordination.hedge import AdaptiveHedging, Hedging, NoHedging
from auburncart.coordination.in_flight import InFlightLimit, SheddingInFlight, UnlimitedInFlight
from auburncart.coordination.least_loaded import LeastLoadedChoice
from auburncart.coordination.quarantine import NoQuarantine, Quarantine
from auburncart.coordination.ranked_admission import RankedAdmission
from auburncart.coordination.ranked_batching import RankedBatching
from auburncart.coordination.rate_limiter import EqualShareRateLimiter, NoRateLimiter, RateLimiter
from auburncart.coordination.redial import BackoffRedialing, ImmediateRedialing, Redialing
from auburncart.coordination.retry import BudgetedRetrying, Retrying, UnbudgetedRetrying
from auburncart.state.shards import Replica

__all__ = ["Policies", "baseline_policies", "default_policies"]


class Policies(NamedTuple):
    """One policy for each kind of decision; ``in_flight_limit`` makes one for each upstream."""

    admission: Admission
    batching: Batching
    choice: ReplicaChoice
    hedging: Hedging
    connection_limit: ConnectionLimit
    quarantine: Quarantine
    retrying: Retrying
    redialing: Redialing = ImmediateRedialing()
    draining: Draining = NoDraining()
    in_flight_limit: Callable[[Replica], InFlightLimit] = UnlimitedInFlight
    rate_limiter: RateLimiter = NoRateLimiter()


def baseline_policies(max_concurrent: int, vms: int) -> Policies:
    """Return the simple policies with which measurements are compared.

    :param max_concurrent: maximum number of searches in flight on a VM.
    :param vms: number of VMs that may connect to one upstream.
    """
    return Policies(
        admission=FifoAdmission(max_concurrent),
        batching=OnePerRequest(),
        choice=RoundRobinChoice(),
        hedging=NoHedging(),
        connection_limit=FixedConnectionLimit(vms),
        quarantine=NoQuarantine(),
        retrying=UnbudgetedRetrying(),
    )


def default_policies(
    vms: int,
    data_centre_vms: Callable[[], int] | None = None,
    tier_vms: Callable[[], int] | None = None,
    seed: int = 0,
    tolerance: float = DEFAULT_TOLERANCE,
) -> Policies:
    """Return the policies of the daemon.

    :param vms: number of VMs that may connect to one upstream.
    :param data_centre_vms: returns the number of VMs that share the limits of a data
        centre now; by default ``vms``.
    :param tier_vms: returns the number of VMs in all data centres now; by default ``vms``.
    :param seed: seed of random draws.
    :param tolerance: latency ratio of sub-queries above which less work is admitted.
    """
    data_centre_vms = data_centre_vms or (lambda: vms)
    tier_vms = tier_vms or (lambda: vms)
    return Policies(
        admission=RankedAdmission(data_centre_vms, tier_vms, tolerance=tolerance),
        batching=RankedBatching(),
        choice=LeastLoadedChoice(seed),
        hedging=AdaptiveHedging(),
        connection_limit=FixedConnectionLimit(vms),
        quarantine=CrashQuarantine(seed),
        retrying=BudgetedRetrying(seed=seed),
        redialing=BackoffRedialing(seed),
        draining=SignalDraining(),
        in_flight_limit=SheddingInFlight,
        rate_limiter=EqualShareRateLimiter(tier_vms),
    )
