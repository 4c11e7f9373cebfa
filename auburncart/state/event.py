"""Events of the structured log: decisions about requests, and changes in the state of a VM.

Ages are in seconds at the time of the event.
"""

from typing import NamedTuple

__all__ = [
    "Answered",
    "ConfigurationInForce",
    "CrashConfirmed",
    "CrashDismissed",
    "CrashLearned",
    "Delegated",
    "DelegationFailed",
    "DependencyLost",
    "DependencyRegained",
    "EntryUnreadable",
    "Event",
    "Hedged",
    "Left",
    "LimitChanged",
    "MergedForPeer",
    "ReadinessChanged",
    "Refused",
    "ReplicaPaused",
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
    """A request was admitted and matched to a route."""

    request: str
    route: str
    service: str
    configuration: int
    configuration_age: float
    time_left: float


class Delegated(NamedTuple):
    """A VM near the replicas was asked to query shards that have none in this region."""

    request: str
    helper: str
    shards: int


class DelegationFailed(NamedTuple):
    """A VM did not answer; this VM queries the shards if the route's attempts allow it."""

    request: str
    helper: str
    reason: str
    sent: bool
    seconds: float


class MergedForPeer(NamedTuple):
    """This VM queried shards for another VM and sent it the parts that arrived in time."""

    request: str
    asker: str
    seconds: float
    parts: int
    missing_shards: tuple[str, ...]


class Hedged(NamedTuple):
    """A hedge request was sent to a second replica, or withheld for lack of budget."""

    request: str
    service: str
    waiting_for: str
    waited: float
    budget_left: float
    started: bool


class TryFailed(NamedTuple):
    """An attempt at a replica ended without a usable reply."""

    request: str
    service: str
    replica: str
    code: str
    reason: str
    sent: bool
    seconds: float


class Retried(NamedTuple):
    """A request was retried, or could not be for lack of budget or of a replica."""

    request: str
    service: str
    after: str
    budget_left: float
    started: bool


class Answered(NamedTuple):
    """A request was answered with a replica's reply or a merged answer."""

    request: str
    route: str
    kind: str
    status: int
    seconds: float
    missing: int
    missing_shards: tuple[str, ...]
    cause: str


class Refused(NamedTuple):
    """A request was answered with a refusal or failure of this VM itself."""

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
    """A caller disconnected before its answer; its request was cancelled."""

    request: str
    seconds: float


class ConfigurationInForce(NamedTuple):
    """A version of the configuration became active."""

    version: int
    before: int
    routes: int
    revision: int


class ReplicasChanged(NamedTuple):
    """A replica was added, started to drain, or was removed."""

    instance: str
    service: str
    address: str
    change: str
    known: int


class LimitChanged(NamedTuple):
    """A replica named another limit on the requests of all VMs, or none any more.

    :param limit: requests per second, infinity for none.
    """

    instance: str
    service: str
    limit: float
    before: float


class ReplicaPaused(NamedTuple):
    """A replica wants no requests from this VM for some time."""

    instance: str
    service: str
    seconds: float


class EntryUnreadable(NamedTuple):
    """An object of the store could not be decoded and is ignored."""

    kind: str
    name: str
    reason: str


class DependencyLost(NamedTuple):
    """The store stopped responding.

    :param revision: revision of the store up to which a watch was last confirmed, 0 for calls that
        are no watch.
    :param age: seconds since that confirmation.
    """

    dependency: str
    reason: str
    revision: int = 0
    age: float = 0.0


class DependencyRegained(NamedTuple):
    """The store responds again.

    :param revision: revision from which a watch goes on, 0 for calls that are no watch.
    """

    dependency: str
    seconds: float
    revision: int = 0


class CrashConfirmed(NamedTuple):
    """A replica crashed while running a request; ``crashes`` counts such attempts at it so far.

    :param path_digest: digest of the request without its query.
    :param query: hash of the query, ``""`` if there is none.
    :param body: hash of the body, ``""`` if it is empty.
    """

    request: str
    digest: str
    path_digest: str
    replica: str
    crashes: int
    method: str
    host: str
    path: str
    query: str
    body: str
    caller: str


class CrashLearned(NamedTuple):
    """Another VM reported a crash; ``crashes`` counts those of the same request so far.

    :param path_digest: digest of the request without its query.
    :param replica: hash of the replica's identifier.
    :param refusal_seconds: time for which the request is refused from now on.
    """

    digest: str
    path_digest: str
    replica: str
    crashes: int
    refusal_seconds: float


class CrashDismissed(NamedTuple):
    """A replica that lost its connection during a request was not counted as crashed."""

    request: str
    digest: str
    replica: str
    reason: str


class RosterChanged(NamedTuple):
    """The number of VMs that share the budgets changed."""

    before: int
    vms: int
    readers: int


class SourceChanged(NamedTuple):
    """Objects of a kind are now read from another VM or from the store."""

    kind: str
    source: str
    reason: str


class ReadinessChanged(NamedTuple):
    """This VM became ready for callers, or is no longer ready."""

    ready: bool
    reason: str


class Suspended(NamedTuple):
    """The VM was suspended for some time; idle connections were closed."""

    seconds: float


class Started(NamedTuple):
    """The process listens for connections."""

    name: str
    data_centre: str
    address: str


class Reloaded(NamedTuple):
    """The settings were reloaded.

    :param after_restart: changed settings that the process applies when it starts again.
    """

    changed: tuple[str, ...]
    error: str
    after_restart: tuple[str, ...] = ()


class TaskFailed(NamedTuple):
    """A long-running task failed, which ends the process."""

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
    | ReplicaPaused
    | ReplicasChanged
    | LimitChanged
    | EntryUnreadable
    | DependencyLost
    | DependencyRegained
    | CrashConfirmed
    | CrashDismissed
    | CrashLearned
    | RosterChanged
    | SourceChanged
    | ReadinessChanged
    | Suspended
    | Started
    | Reloaded
    | TaskFailed
    | Stopped
)
