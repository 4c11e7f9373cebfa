"""Every decision of the tier, behind abstract base classes and without codec or socket."""

from auburncart.coordination.catalogue import SHARD_MAP, Catalogue
from auburncart.coordination.change import Accepted, Author, Proposal, TableEditor
from auburncart.coordination.fleet import Fleet
from auburncart.coordination.interfaces import (
    Key,
    Membership,
    PeerBus,
    PeerDialer,
    PeerLink,
    Store,
    Stored,
    UpstreamConnection,
    UpstreamDialer,
)
from auburncart.coordination.node import Node
from auburncart.coordination.observer import Observer, SilentObserver
from auburncart.coordination.order import OrderService
from auburncart.coordination.policies import Policies, baseline_policies
from auburncart.coordination.search import SearchService
from auburncart.coordination.table import TABLE, TableKeeper
from auburncart.coordination.upstream import Upstream

__all__ = [
    "Accepted",
    "Author",
    "Catalogue",
    "Fleet",
    "Key",
    "Membership",
    "Node",
    "Observer",
    "OrderService",
    "PeerBus",
    "PeerDialer",
    "PeerLink",
    "Policies",
    "Proposal",
    "SHARD_MAP",
    "SearchService",
    "SilentObserver",
    "Store",
    "Stored",
    "TABLE",
    "TableEditor",
    "TableKeeper",
    "Upstream",
    "UpstreamConnection",
    "UpstreamDialer",
    "baseline_policies",
]
