"""Reports and grants by which VMs share a customer's rate."""

from typing import NamedTuple

__all__ = ["RateDemand", "RateGrant", "RateGrants", "RateReport"]


class RateDemand(NamedTuple):
    """What a VM was asked for lately.

    :param customer: name of the customer.
    :param kind: kind of work.
    :param max_rate: requests per second that the table in force at the VM allows in all.
    :param per_second: requests per second that came to the VM, refused ones among them.
    """

    customer: str
    kind: str
    max_rate: float
    per_second: float


class RateReport(NamedTuple):
    """Question of a VM to the owner of some rates."""

    demands: tuple[RateDemand, ...]


class RateGrant(NamedTuple):
    """Requests per second that a VM may let in until the grant lapses."""

    customer: str
    kind: str
    per_second: float


class RateGrants(NamedTuple):
    """Answer to a :class:`RateReport`."""

    grants: tuple[RateGrant, ...]
