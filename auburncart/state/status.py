"""Status of the VMs of a data centre, for operators."""

from typing import NamedTuple

from auburncart.state.link import Versions
from auburncart.state.member import Member

__all__ = ["DataCentreStatus", "VmStatus"]


class VmStatus(NamedTuple):
    """Status of one VM.

    :param member: the VM with its condition.
    :param versions: versions of its current data, None if it did not answer.
    :param not_ready_reason: why it is not ready, ``""`` if it is.
    """

    member: Member
    versions: Versions | None
    not_ready_reason: str


class DataCentreStatus(NamedTuple):
    """Status of one data centre.

    :param data_centre: the data centre.
    :param when: time of the report, seconds since the epoch.
    :param reporter: address of the VM that queried the others.
    :param vms: status of the VMs, ordered by address.
    """

    data_centre: str
    when: float
    reporter: str
    vms: tuple[VmStatus, ...]
