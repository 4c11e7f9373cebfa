"""Replicas as registered in the platform's store."""

from typing import NamedTuple

__all__ = ["Registration"]


class Registration(NamedTuple):
    """A replica's registration of itself.

    :param instance: identifier of the replica's process.
    :param service: service to which it belongs.
    :param address: ``"IP:port"`` on which it serves requests.
    :param data_centre: data centre in which it runs.
    :param slots: number of requests that it processes concurrently.
    :param draining: whether it is shutting down and accepts no new requests.
    :param warm_up_seconds: time for which it is still slow after its start, as of the write.
    :param started_at_ms: start time since the epoch, which tells restarts apart; 0 if unknown.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warm_up_seconds: float = 0.0
    started_at_ms: int = 0
