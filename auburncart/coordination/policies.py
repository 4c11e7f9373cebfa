"""The set of policies that one VM runs with."""

from collections.abc import Callable
from typing import NamedTuple

from auburncart.coordination.admission import Admission, FirstComeAdmission
from auburncart.coordination.backoff import Backoff, NoBackoff
from auburncart.coordination.batching import Batching, OnePerRequest
from auburncart.coordination.choice import ReplicaChoice, RoundRobinChoice
from auburncart.coordination.drain import Draining, NoDraining
from auburncart.coordination.hedge import Hedging, NoHedging
from auburncart.coordination.limits import ConnectionLimit, FixedLimit
from auburncart.coordination.pressure import InFlightLimit, OpenInFlight
from auburncart.coordination.quarantine import NoQuarantine, Quarantine
from auburncart.coordination.retry import Retrying, RetryThrice

__all__ = ["Policies", "baseline_policies"]


class Policies(NamedTuple):
    """One policy for each matter that varies; ``pressure`` makes one for each upstream."""

    admission: Admission
    batching: Batching
    choice: ReplicaChoice
    hedging: Hedging
    limit: ConnectionLimit
    quarantine: Quarantine
    retrying: Retrying
    backoff: Backoff = NoBackoff()
    draining: Draining = NoDraining()
    pressure: Callable[[], InFlightLimit] = OpenInFlight


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
        retrying=RetryThrice(),
    )
