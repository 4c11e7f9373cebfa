"""Settings of a daemon that forwards requests."""

from typing import NamedTuple

__all__ = ["ForwardSettings", "RetryBudgetSettings"]


class RetryBudgetSettings(NamedTuple):
    """Retry budget that all VMs share.

    :param retry_ratio: extra requests to a service per request for it.
    :param retry_window_seconds: time over which both are counted.
    :param retry_slack: extra requests allowed beyond the ratio.
    """

    retry_ratio: float = 0.2
    retry_window_seconds: float = 10.0
    retry_slack: float = 50.0


class ForwardSettings(NamedTuple):
    """Settings of one VM.

    :param name: name of the VM, unique in the tier.
    :param data_centre: data centre in which it runs.
    :param region: region of that data centre.
    :param regions: region of each data centre.
    :param front_address: ``"IP:port"`` for callers.
    :param ready_address: ``"IP:port"`` on which the load balancer checks readiness.
    :param store_address: ``"IP:port"`` of the platform's store.
    :param metrics_address: ``"IP:port"`` on which metrics are served.
    :param relay_address: ``"IP:port"`` on which other VMs of the data centre reach this one.
    :param merge_address: ``"IP:port"`` on which searches are merged for VMs of other regions.
    :param first_start: whether this is the first start of all VMs of the tier.
    :param memory_bytes: memory that the process may use.
    :param grace_seconds: time between SIGTERM and the end of the process.
    :param stable_seconds: after a disturbance of the VM or of the store, until changes that were
        made during it must be known.
    :param apply_seconds: after a change of the configuration, until it must be in force.
    :param bounds: retry budget that all VMs share.
    """

    name: str
    data_centre: str
    region: str
    regions: dict[str, str]
    front_address: str
    ready_address: str
    store_address: str
    metrics_address: str
    relay_address: str
    merge_address: str
    first_start: bool = False
    memory_bytes: int = 160_000_000
    grace_seconds: float = 6.0
    stable_seconds: float = 4.0
    apply_seconds: float = 3.0
    bounds: RetryBudgetSettings = RetryBudgetSettings()

    def distance(self, data_centre: str) -> int:
        """Return the distance of a data centre: 0 for this one, 1 in this region, 2 elsewhere."""
        if data_centre == self.data_centre:
            return 0
        return 1 if self.regions.get(data_centre) == self.region else 2
