"""What is in force on the VMs of a data centre, as the operators see it."""

from typing import NamedTuple

from auburncart.state.link import Versions
from auburncart.state.member import Member

__all__ = ["DataCentreStatus", "VmStatus"]


class VmStatus(NamedTuple):
    """One VM.

    :param member: the VM with its condition.
    :param versions: what is in force on it, None if it gave no answer.
    :param not_ready_reason: why it is not ready, ``""`` if it is.
    """

    member: Member
    versions: Versions | None
    not_ready_reason: str


class DataCentreStatus(NamedTuple):
    """The VMs of one data centre.

    :param data_centre: the data centre.
    :param when: seconds since the epoch.
    :param reporter: address of the VM that asked the others.
    :param vms: the VMs by address.
    """

    data_centre: str
    when: float
    reporter: str
    vms: tuple[VmStatus, ...]
