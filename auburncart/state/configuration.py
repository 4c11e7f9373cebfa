"""The operator's configuration: routes, services and limits for callers."""

from typing import NamedTuple

__all__ = ["CallerLimits", "Configuration", "Route", "Service", "Target"]


class Target(NamedTuple):
    """A service that receives a share of a route's requests.

    :param service: name of the service.
    :param weight: share of the requests relative to the route's other targets; 0 for none.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host and path prefix are handled.

    :param name: name of the route.
    :param host: host name in lower case.
    :param prefix: path prefix, with a slash at both ends.
    :param idempotent: whether a request may be executed more than once.
    :param timeout: maximum seconds until a caller is answered.
    :param latency_target: target for the time to an answer in seconds.
    :param priority: rank of the requests, 0 the most urgent.
    :param max_attempts: maximum number of replicas to which a request is sent, per shard.
    :param targets: services among which requests are split by weight; empty for a search.
    :param shards: services that are all queried and whose records are merged; empty otherwise.
    :param top_records: number of records in a merged answer.
    :param min_share: minimum share of the shards for a merged answer, 0 to 1.
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
    """A group of interchangeable replicas.

    :param name: name of the service.
    :param max_connections: number of connections that one replica accepts from all VMs together.
    """

    name: str
    max_connections: int


class CallerLimits(NamedTuple):
    """Limits on the requests and connections of callers.

    :param max_header_bytes: maximum size of a request line with its headers.
    :param max_body_bytes: maximum size of a request body.
    :param header_timeout_seconds: time within which the headers must be complete.
    :param idle_timeout_seconds: time after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class Configuration(NamedTuple):
    """One version of the operator's configuration.

    :param version: number that increases with every change.
    :param routes: all routes.
    :param services: all services by name.
    :param limits: limits for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
