"""Settings of the daemon on an entry VM."""

from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field

from auburncart.protocol.document import read_document

__all__ = ["EntrySettings", "load_entry_settings"]

Address = Annotated[str, Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Count = Annotated[int, Field(ge=1)]
Seconds = Annotated[float, Field(ge=0.0, le=3600.0)]


class EntrySettings(NamedTuple):
    """Settings of one entry VM.

    :param name: name of the VM, unique in the tier.
    :param data_centre: data centre in which it runs.
    :param general_address: ``"IP:port"`` for callers of every rank.
    :param urgent_address: ``"IP:port"`` for callers with urgent work only.
    :param platform_address: ``"IP:port"`` of the platform's store.
    :param platform_token: credential for the platform.
    :param general_threads: threads of the general port.
    :param urgent_threads: threads of the urgent port.
    :param load_tolerance: slowing down of sub-queries, against idle upstreams, above which less
        work is let in; a lower one keeps urgent searches faster, a higher one serves more others.
    :param connecting_vms: number of VMs that share an upstream's connections.
    :param balancer_lag_seconds: time in which the balancer still sends requests to this VM after
        ``/v1/ready`` says 503.
    :param shutdown_seconds: most time after that for the requests in flight.
    :param log_file: file for eliot's log, ``"-"`` for standard error, ``""`` for none.
    """

    name: Name
    data_centre: Name
    general_address: Address
    urgent_address: Address
    platform_address: Address
    platform_token: str = ""
    general_threads: Count = 64
    urgent_threads: Count = 16
    load_tolerance: Annotated[float, Field(ge=1.01, le=10)] = 1.1
    connecting_vms: Count = 9
    balancer_lag_seconds: Seconds = 5.0
    shutdown_seconds: Seconds = 30.0
    log_file: str = "-"


def load_entry_settings(path: Path) -> EntrySettings:
    """Read and check an entry VM's settings.

    :raises SettingsError: the file has faults; all of them are named.
    """
    return read_document(path, EntrySettings)
