"""Replicas as they register themselves in the platform's store."""

from typing import NamedTuple

__all__ = ["Registration"]


class Registration(NamedTuple):
    """What one replica says of itself.

    :param instance: identifier of the replica's process.
    :param service: service to which it belongs.
    :param address: ``"IP:port"`` on which it answers.
    :param data_centre: data centre in which it runs.
    :param slots: requests that it works on at the same time.
    :param draining: whether it is leaving and takes no new requests.
    :param warming: seconds for which it stays slow after its start, as of the entry's writing.
    :param born: milliseconds since the epoch at its start, which tells two starts apart; 0 unknown.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warming: float = 0.0
    born: int = 0
