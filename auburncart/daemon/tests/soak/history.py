"""The history of a run as seen by callers, replicas and the operator, for checking guarantees."""

from typing import NamedTuple

__all__ = ["ALL", "Announced", "Arrival", "Exchange", "FaultPeriod", "History", "Version"]

ALL = "*"  # a fault that affects every VM


class Arrival(NamedTuple):
    """A request received by a replica.

    :param at: loop time in seconds at which the replica read it.
    :param ran: whether the replica began to run it.
    :param remaining: seconds until the deadline, as the replica was told.
    """

    at: float
    request_id: str
    service: str
    instance: str
    target: str
    body: bytes
    ran: bool
    remaining: float


class Exchange:
    """One request of a caller and its answer."""

    def __init__(
        self, request_id: str, vm: str, boot: int, route: str, target: str, body: bytes
    ) -> None:
        self.request_id = request_id
        self.vm = vm
        self.boot = boot
        self.route = route
        self.target = target
        self.body = body
        self.sent_at = 0.0
        self.seconds = 0.0
        self.ended_at = 0.0
        self.disconnected_at = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.answer = b""

    def __str__(self) -> str:
        return f"{self.request_id} {self.target} at {self.vm} sent {self.sent_at:.2f}"


class Version(NamedTuple):
    """One version of the configuration.

    :param at: loop time in seconds at which the store accepted it.
    :param routes: services or shards of each route, by the first part of its path.
    """

    at: float
    number: int
    routes: dict[str, tuple[str, ...]]


class FaultPeriod(NamedTuple):
    """A period of a fault of one VM, of the proxy of one replica, or of all."""

    vm: str
    start: float
    end: float
    fault: str


class Announced(NamedTuple):
    """What a replica said about itself in the reply to a request.

    :param at: loop time in seconds at which it replied.
    :param limit: requests per second that it accepts from all VMs, 0 if it named none.
    :param pause: seconds for which it wants no requests, 0 if it named none.
    :param leaving: whether it said that it leaves.
    """

    at: float
    request_id: str
    instance: str
    limit: float = 0.0
    pause: float = 0.0
    leaving: bool = False


class History:
    """Everything recorded in one run."""

    def __init__(self) -> None:
        self.exchanges: dict[str, Exchange] = {}
        self.arrivals: list[Arrival] = []
        self.versions: list[Version] = []
        self.fault_periods: list[FaultPeriod] = []
        self.drained: dict[str, float] = {}
        self.announced: list[Announced] = []
        self.crashes: dict[str, list[float]] = {}
        self.violations: list[str] = []

    def undisturbed(self, vm: str, start: float, end: float) -> bool:
        """Whether no fault affected a VM or a replica's proxy between two points in time."""
        return not any(
            period.vm in (vm, ALL) and period.start <= end and period.end >= start
            for period in self.fault_periods
        )

    def in_force(self, start: float, end: float) -> list[Version]:
        """Return the versions that were the newest at some time between two points in time."""
        return [
            version
            for version, after in zip(self.versions, [*self.versions[1:], None], strict=True)
            if version.at <= end and (after is None or after.at >= start)
        ]
