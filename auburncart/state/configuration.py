"""The operator's configuration: routes, services and what callers may send."""

from typing import NamedTuple

__all__ = ["CallerLimits", "Configuration", "Route", "Service", "Target"]


class Target(NamedTuple):
    """A service that takes a share of a route's requests.

    :param service: name of the service.
    :param weight: share of the requests relative to the route's other targets; 0 takes none.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """What becomes of the requests of one host below one path prefix.

    :param name: name of the route.
    :param host: host name in lower case.
    :param prefix: beginning of the path, with a slash at both ends.
    :param idempotent: whether a request may run more than once.
    :param timeout: most seconds that a caller is kept waiting.
    :param latency_target: seconds within which an answer is worth most.
    :param priority: rank of the requests, 0 the most urgent.
    :param max_attempts: most replicas to which one request is sent, for each shard.
    :param targets: services among which requests are split by weight; empty on a search.
    :param shards: services that are all asked and whose records are merged; empty otherwise.
    :param top_records: number of records in a merged answer.
    :param min_share: share of the shards below which there is no merged answer, 0 to 1.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    latency_target: float
    priority: int
    max_attempts: int
    targets: tuple[Target, ...]
    shards: tuple[str, ...] = ()
    top_records: int = 0
    min_share: float = 1.0


class Service(NamedTuple):
    """A group of replicas that answer alike.

    :param name: name of the service.
    :param max_connections: connections that one replica accepts from all VMs together.
    """

    name: str
    max_connections: int


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle.

    :param max_header_bytes: most bytes of a request's head.
    :param max_body_bytes: most bytes of a request's body.
    :param header_timeout_seconds: time within which a head must be complete.
    :param idle_timeout_seconds: time after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class Configuration(NamedTuple):
    """One version of the operator's configuration.

    :param version: number that grows with every change.
    :param routes: all routes.
    :param services: all services by name.
    :param limits: bounds on what callers send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
