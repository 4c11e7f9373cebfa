"""Limits on the connections that this VM may open to an upstream."""

from abc import ABC, abstractmethod

from auburncart.state.shards import Replica

__all__ = ["ConnectionLimit", "FixedConnectionLimit"]


class ConnectionLimit(ABC):
    """This VM's share of an upstream's connections."""

    @abstractmethod
    def max_connections(self, replica: Replica) -> int:
        """Return the maximum number of connections to ``replica`` at present; may be 0."""


class FixedConnectionLimit(ConnectionLimit):
    """Divides an upstream's connections by a fixed number of VMs; the baseline.

    :param vms: number of VMs that may connect to one upstream.
    """

    def __init__(self, vms: int) -> None:
        self._vms = vms

    def max_connections(self, replica: Replica) -> int:
        """Return an equal share, at least 1."""
        return max(1, replica.max_connections // self._vms)
