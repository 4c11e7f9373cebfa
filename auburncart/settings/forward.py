"""Settings of a daemon that passes requests on."""

from typing import NamedTuple

__all__ = ["ForwardSettings", "TierBounds"]


class TierBounds(NamedTuple):
    """Bounds that all VMs keep together.

    :param retry_ratio: extra requests to a service for each request for it.
    :param retry_window_seconds: time in which both are counted.
    :param retry_slack: extra requests beyond that.
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
    :param ready_address: ``"IP:port"`` on which the balancer asks whether to send callers.
    :param store_address: ``"IP:port"`` of the platform's store.
    :param metrics_address: ``"IP:port"`` on which metrics are read.
    :param relay_address: ``"IP:port"`` on which other VMs of the data centre reach this one.
    :param merge_address: ``"IP:port"`` on which VMs of other regions have searches merged.
    :param first_start: whether all VMs of the tier start for the first time now.
    :param grace_seconds: time between SIGTERM and the end of the process.
    :param bounds: bounds that all VMs keep together.
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
    grace_seconds: float = 6.0
    bounds: TierBounds = TierBounds()

    def distance(self, data_centre: str) -> int:
        """Return how far a data centre is: 0 here, 1 in this region, 2 elsewhere."""
        if data_centre == self.data_centre:
            return 0
        return 1 if self.regions.get(data_centre) == self.region else 2
