"""The bounds of what control may cost one daemon, and what was measured against them."""

from typing import NamedTuple

from auburncart.bench.loopback import SITE_REPLICAS, SITE_ROWS, ControlCost

__all__ = ["Bound", "control_bounds"]

MOST_CORE_SHARE = 0.03
MOST_MEMORY_BYTES = 32_000_000
MOST_BYTES_PER_SECOND = 20_000
CHANGES_PER_SECOND = 3100 / 86_400
BUSY_CHANGES_PER_SECOND = 1.0
WATCHES = 2
WATCH_SECONDS = 20.0
CALL_BYTES = 600  # headers of a request and its reply


class Bound(NamedTuple):
    """A value and the most that it may be."""

    name: str
    value: float
    most: float
    unit: str

    @property
    def kept(self) -> bool:
        """Whether the value is within the bound."""
        return self.value <= self.most


def control_bounds(cost: ControlCost) -> list[Bound]:
    """Compare a daemon's measured cost with the bounds.

    :param cost: measured at today's size, 106 replicas and 10 rows.
    """
    size = f"{SITE_REPLICAS} replicas, {SITE_ROWS} rows"
    day, busy = CHANGES_PER_SECOND, BUSY_CHANGES_PER_SECOND
    return [
        Bound("idle", cost.idle_share, MOST_CORE_SHARE, "core"),
        Bound("3,100 changes a day", _share(cost, day), MOST_CORE_SHARE, "core"),
        Bound("one change a second", _share(cost, busy), MOST_CORE_SHARE, "core"),
        Bound(f"memory, {size}", cost.memory_bytes, MOST_MEMORY_BYTES, "bytes"),
        Bound("3,100 changes a day", _bytes(cost, day), MOST_BYTES_PER_SECOND, "bytes/s"),
        Bound("one change a second", _bytes(cost, busy), MOST_BYTES_PER_SECOND, "bytes/s"),
    ]


def _share(cost: ControlCost, changes: float) -> float:
    return cost.idle_share + cost.change_seconds * changes


def _bytes(cost: ControlCost, changes: float) -> float:
    watches = WATCHES / WATCH_SECONDS * CALL_BYTES
    return watches + changes * (cost.table_bytes + CALL_BYTES)
