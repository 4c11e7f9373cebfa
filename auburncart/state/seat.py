"""Seats: the VMs of a data centre that share the connections which upstreams accept."""

from typing import NamedTuple

__all__ = ["Seat", "SeatPlan", "SeatPlans"]


class Seat(NamedTuple):
    """The right of one VM's process to a share of each upstream's connections."""

    address: str
    incarnation: int


class SeatPlan(NamedTuple):
    """The seats of a data centre between two changes.

    :param epoch: number that increases by one with every change.
    """

    epoch: int
    seats: tuple[Seat, ...]


class SeatPlans(NamedTuple):
    """The stored value: every plan that a VM with a seat may still follow, oldest first."""

    plans: tuple[SeatPlan, ...]

    @property
    def newest(self) -> SeatPlan:
        """The current plan."""
        return self.plans[-1]
