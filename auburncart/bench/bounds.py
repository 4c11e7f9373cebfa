"""Upper bounds on the cost of the control plane for one daemon."""

from typing import NamedTuple

from auburncart.bench.loopback import SITE_REPLICAS, SITE_ROWS, ControlCost

__all__ = ["Bound", "control_bounds"]

MAX_CORE_SHARE = 0.03
MAX_MEMORY_BYTES = 32_000_000
MAX_BYTES_PER_SECOND = 20_000
CHANGES_PER_SECOND = 3100 / 86_400
BUSY_CHANGES_PER_SECOND = 1.0
WATCHES = 2
WATCH_SECONDS = 20.0
CALL_BYTES = 600  # headers of a request and its reply


class Bound(NamedTuple):
    """A measured value and its upper limit."""

    name: str
    value: float
    limit: float
    unit: str

    @property
    def within_limit(self) -> bool:
        """Whether the value does not exceed the limit."""
        return self.value <= self.limit


def control_bounds(cost: ControlCost) -> list[Bound]:
    """Return the bounds with the measured cost of a daemon.

    :param cost: cost at the size of today's sites, 106 replicas and 10 rows.
    """
    size = f"{SITE_REPLICAS} replicas, {SITE_ROWS} rows"
    day, busy = CHANGES_PER_SECOND, BUSY_CHANGES_PER_SECOND
    return [
        Bound("idle", cost.idle_share, MAX_CORE_SHARE, "core"),
        Bound("3,100 changes a day", _core_share(cost, day), MAX_CORE_SHARE, "core"),
        Bound("one change a second", _core_share(cost, busy), MAX_CORE_SHARE, "core"),
        Bound(f"memory, {size}", cost.memory_bytes, MAX_MEMORY_BYTES, "bytes"),
        Bound("3,100 changes a day", _bytes_per_second(cost, day), MAX_BYTES_PER_SECOND, "bytes/s"),
        Bound(
            "one change a second", _bytes_per_second(cost, busy), MAX_BYTES_PER_SECOND, "bytes/s"
        ),
    ]


def _core_share(cost: ControlCost, changes: float) -> float:
    return cost.idle_share + cost.change_seconds * changes


def _bytes_per_second(cost: ControlCost, changes: float) -> float:
    watches = WATCHES / WATCH_SECONDS * CALL_BYTES
    return watches + changes * (cost.table_bytes + CALL_BYTES)
