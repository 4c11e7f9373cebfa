"""The set of policies that one VM runs with."""

from collections.abc import Callable
from typing import NamedTuple

from auburncart.coordination.admission import Admission, FirstComeAdmission
from auburncart.coordination.batching import Batching, OnePerRequest
from auburncart.coordination.capacity import TOLERANCE
from auburncart.coordination.choice import ReplicaChoice, RoundRobinChoice
from auburncart.coordination.drain import Draining, NoDraining, SignalDraining
from auburncart.coordination.hedge import AdaptiveHedging, Hedging, NoHedging
from auburncart.coordination.in_flight import InFlightLimit, SheddingInFlight, UnlimitedInFlight
from auburncart.coordination.least_loaded import LeastLoadedChoice
from auburncart.coordination.limits import ConnectionLimit, FixedLimit
from auburncart.coordination.poison import StrikeQuarantine
from auburncart.coordination.quarantine import NoQuarantine, Quarantine
from auburncart.coordination.ranked import RankedAdmission
from auburncart.coordination.ranked_batching import RankedBatching
from auburncart.coordination.rates import EqualRates, NoRates, Rates
from auburncart.coordination.redial import BackoffRedialing, ImmediateRedialing, Redialing
from auburncart.coordination.retry import BudgetedRetrying, Retrying, UnbudgetedRetrying
from auburncart.state.shards import Replica

__all__ = ["Policies", "baseline_policies", "default_policies"]


class Policies(NamedTuple):
    """One policy for each matter that varies; ``pressure`` makes one for each upstream."""

    admission: Admission
    batching: Batching
    choice: ReplicaChoice
    hedging: Hedging
    limit: ConnectionLimit
    quarantine: Quarantine
    retrying: Retrying
    redialing: Redialing = ImmediateRedialing()
    draining: Draining = NoDraining()
    pressure: Callable[[Replica], InFlightLimit] = UnlimitedInFlight
    rates: Rates = NoRates()


def baseline_policies(places: int, vms: int) -> Policies:
    """Return the policies that every measurement is compared with.

    :param places: most searches at work at the same time on a VM.
    :param vms: number of VMs that may connect to one upstream.
    """
    return Policies(
        admission=FirstComeAdmission(places),
        batching=OnePerRequest(),
        choice=RoundRobinChoice(),
        hedging=NoHedging(),
        limit=FixedLimit(vms),
        quarantine=NoQuarantine(),
        retrying=UnbudgetedRetrying(),
    )


def default_policies(
    vms: int,
    sharing: Callable[[], int] | None = None,
    tier: Callable[[], int] | None = None,
    seed: int = 0,
    tolerance: float = TOLERANCE,
) -> Policies:
    """Return the policies that the daemon runs with.

    :param vms: number of VMs that may connect to one upstream.
    :param sharing: returns the number of VMs that share a limit of a data centre now; by default
        ``vms``.
    :param tier: returns the number of VMs in all data centres now; by default ``vms``.
    :param seed: seed of random draws.
    :param tolerance: slowing down of sub-queries above which less work is let in.
    """
    sharing = sharing or (lambda: vms)
    tier = tier or (lambda: vms)
    return Policies(
        admission=RankedAdmission(sharing, tier, tolerance=tolerance),
        batching=RankedBatching(),
        choice=LeastLoadedChoice(seed),
        hedging=AdaptiveHedging(),
        limit=FixedLimit(vms),
        quarantine=StrikeQuarantine(seed),
        retrying=BudgetedRetrying(seed=seed),
        redialing=BackoffRedialing(seed),
        draining=SignalDraining(),
        pressure=SheddingInFlight,
        rates=EqualRates(tier),
    )
