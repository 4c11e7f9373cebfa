"""Every decision of the tier, behind abstract base classes and without codec or socket."""

from auburncart.coordination.catalogue import SHARD_MAP, Catalogue
from auburncart.coordination.change import Accepted, Author, Proposal, TableEditor
from auburncart.coordination.claims import Claims, StoredClaims
from auburncart.coordination.fleet import Fleet
from auburncart.coordination.holder import ClaimHolder
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
from auburncart.coordination.policies import Policies, baseline_policies, default_policies
from auburncart.coordination.search import SearchService
from auburncart.coordination.table import TABLE, TableKeeper
from auburncart.coordination.upstream import Upstream

__all__ = [
    "Accepted",
    "Author",
    "Catalogue",
    "ClaimHolder",
    "Claims",
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
    "StoredClaims",
    "TABLE",
    "TableEditor",
    "TableKeeper",
    "Upstream",
    "UpstreamConnection",
    "UpstreamDialer",
    "baseline_policies",
    "default_policies",
]
