"""Shares of the VMs in what all of them may use together."""

__all__ = ["connection_share", "slack_share"]

NEAR_CONNECTIONS = 0.6  # of a replica's connections, for the VMs of its region
NEAR_SLACK = 0.9  # of a shard's extra requests, for the VMs beside its replicas, which ask for all


def connection_share(most: int, vms: int, near: int, *, here: bool) -> int:
    """Return the connections that one VM may hold to a replica, at least one.

    :param most: connections that the replica accepts from all VMs together.
    :param vms: number of VMs.
    :param near: number of those in the replica's region.
    :param here: whether this VM is one of them.

    >>> connection_share(26, 8, 3, here=True), connection_share(26, 8, 3, here=False)
    (5, 2)
    >>> connection_share(26, 8, 0, here=False)
    3
    """
    return max(1, int(most * _part(vms, near, NEAR_CONNECTIONS, here=here)))


def slack_share(vms: int, near: int, *, here: bool) -> float:
    """Return the part of a shard's extra requests that one VM may send.

    :param vms: number of VMs.
    :param near: number of those in regions with a replica of the shard.
    :param here: whether this VM is one of them.

    >>> round(slack_share(9, 6, here=True), 3), round(slack_share(9, 6, here=False), 3)
    (0.15, 0.033)
    >>> slack_share(4, 4, here=True)
    0.25
    """
    return _part(vms, near, NEAR_SLACK, here=here)


def _part(vms: int, near: int, near_part: float, *, here: bool) -> float:
    if not near or near >= vms:
        return 1.0 / max(1, vms)
    return near_part / near if here else (1.0 - near_part) / (vms - near)
