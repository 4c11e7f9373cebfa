"""Members of the tier: entry VMs, their incarnations and conditions."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Condition", "Member"]


class Condition(Enum):
    """Condition of a VM as other VMs know it.

    ``GONE`` is inferred from its silence. ``ENDED`` was announced by the VM itself or confirmed by
    the platform's list: only then is it certain that it no longer does anything.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"
    ENDED = "ended"


class Member(NamedTuple):
    """An entry VM.

    :param address: ``"IP:port"`` of its peer link.
    :param data_centre: data centre in which it runs.
    :param incarnation: number that increases with every start under the same address.
    :param condition: its condition.
    """

    address: str
    data_centre: str
    incarnation: int
    condition: Condition = Condition.LIVE
