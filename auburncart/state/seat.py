"""Seats: which VMs of a data centre share the connections that upstreams accept."""

from typing import NamedTuple

__all__ = ["Seat", "SeatPlan", "SeatPlans"]


class Seat(NamedTuple):
    """The right of one VM's process to a share of each upstream's connections."""

    address: str
    incarnation: int


class SeatPlan(NamedTuple):
    """All seats of a data centre from one change to the next.

    :param epoch: number that grows by one with each change.
    """

    epoch: int
    seats: tuple[Seat, ...]


class SeatPlans(NamedTuple):
    """The stored value: every plan by which a seated VM may still act, oldest first."""

    plans: tuple[SeatPlan, ...]

    @property
    def newest(self) -> SeatPlan:
        """The plan in force."""
        return self.plans[-1]
