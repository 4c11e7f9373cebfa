"""Shares of one VM in the limits that all VMs keep together."""

__all__ = ["connection_share", "slack_share"]

NEARBY_CONNECTIONS = 0.6  # of a replica's connections, for the VMs in its region
# Of the extra requests to a shard, for the VMs near its replicas: they ask it for the other VMs.
NEARBY_SLACK = 0.9


def connection_share(limit: int, vm_count: int, nearby_count: int, *, nearby: bool) -> int:
    """Return the number of connections that one VM may hold to a replica, at least one.

    :param limit: connections that the replica accepts from all VMs together.
    :param vm_count: number of VMs.
    :param nearby_count: number of VMs in the replica's region.
    :param nearby: whether this VM is one of those.

    >>> connection_share(26, 8, 3, nearby=True), connection_share(26, 8, 3, nearby=False)
    (5, 2)
    >>> connection_share(26, 8, 0, nearby=False)
    3
    """
    return max(1, int(limit * _share(vm_count, nearby_count, NEARBY_CONNECTIONS, nearby=nearby)))


def slack_share(vm_count: int, nearby_count: int, *, nearby: bool) -> float:
    """Return the share of a shard's extra requests that one VM may send.

    :param vm_count: number of VMs.
    :param nearby_count: number of VMs in regions with a replica of the shard.
    :param nearby: whether this VM is one of those.

    >>> round(slack_share(9, 6, nearby=True), 3), round(slack_share(9, 6, nearby=False), 3)
    (0.15, 0.033)
    >>> slack_share(4, 4, nearby=True)
    0.25
    """
    return _share(vm_count, nearby_count, NEARBY_SLACK, nearby=nearby)


def _share(vm_count: int, nearby_count: int, share: float, *, nearby: bool) -> float:
    if not nearby_count or nearby_count >= vm_count:
        return 1.0 / max(1, vm_count)
    return share / nearby_count if nearby else (1.0 - share) / (vm_count - nearby_count)
