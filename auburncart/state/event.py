"""Events of the structured log: decisions about a request, and changes of what a VM believes.

Every age is in seconds at the time of the event.
"""

from typing import NamedTuple

__all__ = [
    "Answered",
    "ConfigurationInForce",
    "CrashConfirmed",
    "Delegated",
    "DelegationFailed",
    "DependencyLost",
    "DependencyRegained",
    "EntryUnreadable",
    "Event",
    "Hedged",
    "Left",
    "MergedForPeer",
    "ReadinessChanged",
    "Refused",
    "ReplicasChanged",
    "Reloaded",
    "Retried",
    "RosterChanged",
    "Routed",
    "SourceChanged",
    "Started",
    "Stopped",
    "Suspended",
    "TaskFailed",
    "TryFailed",
]


class Routed(NamedTuple):
    """A request was admitted and its route found."""

    request: str
    route: str
    service: str
    configuration: int
    configuration_age: float
    time_left: float


class Delegated(NamedTuple):
    """A VM was asked for the shards that have no replica here but some there."""

    request: str
    helper: str
    shards: int


class DelegationFailed(NamedTuple):
    """A VM gave no answer; its shards are asked from here if that keeps to the route's tries."""

    request: str
    helper: str
    reason: str
    sent: bool
    seconds: float


class MergedForPeer(NamedTuple):
    """This VM asked shards for another VM, and told it the parts that were there in time."""

    request: str
    asker: str
    seconds: float
    parts: int
    missing_shards: tuple[str, ...]


class Hedged(NamedTuple):
    """A second replica was asked, or would have been but for the budget."""

    request: str
    service: str
    waiting_for: str
    waited: float
    budget_left: float
    started: bool


class TryFailed(NamedTuple):
    """A try at a replica ended without a usable reply."""

    request: str
    service: str
    replica: str
    code: str
    reason: str
    sent: bool
    seconds: float


class Retried(NamedTuple):
    """A request was tried again, or would have been but for the budget or for want of a replica."""

    request: str
    service: str
    after: str
    budget_left: float
    started: bool


class Answered(NamedTuple):
    """A request was answered by a replica or by merged parts."""

    request: str
    route: str
    kind: str
    status: int
    seconds: float
    missing: int
    missing_shards: tuple[str, ...]
    cause: str


class Refused(NamedTuple):
    """A request was answered by a refusal or a failure of this VM's own."""

    request: str
    route: str
    kind: str
    code: str
    reason: str
    ran: str
    seconds: float
    configuration: int
    replicas_age: float


class Left(NamedTuple):
    """A caller left before its answer; its work was ended."""

    request: str
    seconds: float


class ConfigurationInForce(NamedTuple):
    """A version of the configuration came into force."""

    version: int
    before: int
    routes: int
    revision: int


class ReplicasChanged(NamedTuple):
    """A replica was added, began to drain, or went."""

    instance: str
    service: str
    address: str
    change: str
    known: int


class EntryUnreadable(NamedTuple):
    """An object of the store could not be read and is ignored."""

    kind: str
    name: str
    reason: str


class DependencyLost(NamedTuple):
    """The store no longer answers."""

    dependency: str
    reason: str


class DependencyRegained(NamedTuple):
    """The store answers again."""

    dependency: str
    seconds: float


class CrashConfirmed(NamedTuple):
    """A replica crashed while it ran a request; ``crashes`` counts the request's tries so far."""

    request: str
    digest: str
    replica: str
    crashes: int


class RosterChanged(NamedTuple):
    """The number of VMs that share the budgets changed."""

    before: int
    vms: int
    readers: int


class SourceChanged(NamedTuple):
    """A kind of objects is taken from another VM, or from the store, from now on."""

    kind: str
    source: str
    reason: str


class ReadinessChanged(NamedTuple):
    """This VM began or ceased to ask for callers."""

    ready: bool
    reason: str


class Suspended(NamedTuple):
    """The VM stood still for a while; idle connections were dropped."""

    seconds: float


class Started(NamedTuple):
    """The process listens."""

    name: str
    data_centre: str
    address: str


class Reloaded(NamedTuple):
    """The settings were read again."""

    changed: tuple[str, ...]
    error: str


class TaskFailed(NamedTuple):
    """A task that runs for good has failed, so that the process ends."""

    task: str
    reason: str


class Stopped(NamedTuple):
    """The process ends."""

    seconds: float
    cut_off: int


Event = (
    Routed
    | Delegated
    | DelegationFailed
    | MergedForPeer
    | Hedged
    | TryFailed
    | Retried
    | Answered
    | Refused
    | Left
    | ConfigurationInForce
    | ReplicasChanged
    | EntryUnreadable
    | DependencyLost
    | DependencyRegained
    | CrashConfirmed
    | RosterChanged
    | SourceChanged
    | ReadinessChanged
    | Suspended
    | Started
    | Reloaded
    | TaskFailed
    | Stopped
)
