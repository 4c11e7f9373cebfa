"""Entry VMs as registered in the platform's store."""

from typing import NamedTuple

__all__ = ["EntryVm"]


class EntryVm(NamedTuple):
    """One entry VM.

    :param name: name of the VM, unique in the tier.
    :param data_centre: data centre in which it runs.
    :param address: ``"IP:port"`` on which it relays changes of the store to other VMs.
    :param merge_address: ``"IP:port"`` on which it merges searches for other VMs, or ``""``.
    """

    name: str
    data_centre: str
    address: str
    merge_address: str = ""
