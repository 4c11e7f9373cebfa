"""Reports and grants by which VMs share a customer's rate limit."""

from typing import NamedTuple

__all__ = ["RateDemand", "RateGrant", "RateGrants", "RateReport"]


class RateDemand(NamedTuple):
    """Recent demand of a customer at a VM.

    :param customer: name of the customer.
    :param kind: kind of work.
    :param max_rate: requests per second that the VM's current table allows in the whole tier.
    :param per_second: requests per second that arrived at the VM, including refused ones.
    """

    customer: str
    kind: str
    max_rate: float
    per_second: float


class RateReport(NamedTuple):
    """Report of a VM to the owner of some rates."""

    demands: tuple[RateDemand, ...]


class RateGrant(NamedTuple):
    """Requests per second that a VM may admit until the grant expires."""

    customer: str
    kind: str
    per_second: float


class RateGrants(NamedTuple):
    """Answer to a :class:`RateReport`."""

    grants: tuple[RateGrant, ...]
