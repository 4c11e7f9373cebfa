"""Size and load of a deployment, read from a data file."""

import math
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from auburncart.exception import InputError
from auburncart.protocol.document import read_document
from auburncart.state.table import Row, Table, TableDocument
from auburncart.state.work import Rank

__all__ = ["SITES", "DataCentre", "Group", "Kind", "Latency", "SiteFile", "load_site"]

SITES = ("ladera", "leidslurett")
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]


class DataCentre(NamedTuple):
    """Name and region of a data centre, and the number of its entry VMs."""

    name: str
    region: str
    vms: Count


class Latency(NamedTuple):
    """One-way network latencies in seconds."""

    near_seconds: Positive
    between_regions_seconds: Positive
    client_seconds: Positive


class Group(NamedTuple):
    """Services with the same parameters; each service is one shard.

    :param services: number of services.
    :param replicas: number of replicas of each service.
    :param slots: number of requests that a replica runs concurrently.
    :param connections: maximum number of connections to a replica.
    :param connect_seconds: time to open a connection.
    :param batch_limit: maximum number of sub-queries in one request.
    :param request_seconds: median service time of a request without its sub-queries.
    :param sub_seconds: median service time of each sub-query.
    :param spread: standard deviation of the logarithm of a request's service time.
    """

    name: str
    services: Count
    replicas: Count
    slots: Count
    connections: Count
    connect_seconds: Positive
    batch_limit: Count
    request_seconds: Positive
    sub_seconds: Positive
    spread: Positive

    @property
    def mean_seconds(self) -> float:
        """Mean service time of a request with one sub-query."""
        median = self.request_seconds + self.sub_seconds
        return median * math.exp(self.spread**2 / 2)


class Kind(NamedTuple):
    """A kind of work and its arrivals.

    :param share: share of all arrivals, from 0 to 1.
    :param seconds: time from arrival to deadline.
    :param weight: weight of its rows in the table.
    :param customers: share of the kind's arrivals by customer.
    """

    kind: str
    rank: Literal["urgent", "normal", "background"]
    share: Positive
    seconds: Positive
    weight: Positive
    customers: dict[str, float]


class SiteFile(NamedTuple):
    """A deployment.

    :param placement: ``spread`` if the replicas of a service are distributed over the data
        centres in turn; ``each`` if every data centre has that many replicas.
    :param load: arrival rate without floods as a share of capacity.
    :param places: maximum number of concurrent searches on a VM, for policies with a fixed limit.
    """

    name: str
    data_centres: tuple[DataCentre, ...]
    latency: Latency
    groups: tuple[Group, ...]
    kinds: tuple[Kind, ...]
    load: Positive
    places: Count
    placement: Literal["spread", "each"] = "spread"

    @property
    def replica_sets(self) -> int:
        """Number of sets of replicas: one for each data centre with ``each``, one otherwise."""
        return len(self.data_centres) if self.placement == "each" else 1

    @property
    def capacity(self) -> float:
        """Searches per second that the service of least capacity takes, one sub-query each."""
        searches_per_second = min(
            group.replicas * group.slots / group.mean_seconds for group in self.groups
        )
        return searches_per_second * self.replica_sets

    @property
    def vms(self) -> int:
        """Number of entry VMs."""
        return sum(data_centre.vms for data_centre in self.data_centres)

    @property
    def table(self) -> TableDocument:
        """Operators' table with one row for each customer and kind."""
        rows = tuple(
            Row(customer, kind.kind, Rank[kind.rank.upper()], kind.weight)
            for kind in self.kinds
            for customer in kind.customers
        )
        return TableDocument(Table(1, rows))

    def one_way_seconds(self, left: str, right: str) -> float:
        """Return the one-way latency in seconds between two data centres."""
        regions = {data_centre.name: data_centre.region for data_centre in self.data_centres}
        if regions[left] == regions[right]:
            return self.latency.near_seconds
        return self.latency.between_regions_seconds


def load_site(name: str) -> SiteFile:
    """Return a deployment by its name or from a file.

    :param name: one of :data:`SITES`, or the path of a file of the same form.
    :raises InputError: there is no such deployment, or its file has faults.

    >>> load_site("ladera").vms
    9
    """
    if name not in SITES and not Path(name).is_file():
        raise InputError(f"no site {name!r}; known: {', '.join(SITES)}, or a file", step="bench")
    if name not in SITES:
        return read_document(Path(name), SiteFile)
    with resources.as_file(resources.files("auburncart.bench") / "sites" / f"{name}.json") as path:
        return read_document(path, SiteFile)
