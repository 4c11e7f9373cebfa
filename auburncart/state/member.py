"""Members of the tier: entry VMs, their incarnations and conditions."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Condition", "Member"]


class Condition(Enum):
    """Condition of a VM as others know it.

    ``GONE`` is what others conclude from its silence; ``ENDED`` is what it said itself, or what
    the platform's list confirms: only then is it certain that it does nothing any more.
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
    :param incarnation: number that grows with every start under the same address.
    :param condition: its condition.
    """

    address: str
    data_centre: str
    incarnation: int
    condition: Condition = Condition.LIVE
