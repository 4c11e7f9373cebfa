"""Settings of the daemon on an entry VM."""

from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from auburncart.exception import SettingsError
from auburncart.protocol.document import read_document

__all__ = ["EntrySettings", "load_entry_settings"]

Address = Annotated[str, Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Count = Annotated[int, Field(ge=1)]
Secret = Annotated[str, Field(min_length=16, max_length=200)]
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
    :param load_tolerance: slowdown of sub-queries, relative to idle upstreams, above which fewer
        requests are admitted; lower keeps urgent searches faster, higher serves more others.
    :param connecting_vms: number of VMs that share an upstream's connections.
    :param balancer_lag_seconds: time for which the balancer still sends requests to this VM after
        ``/v1/ready`` returns 503.
    :param shutdown_seconds: maximum time after that for requests in flight to finish.
    :param peer_address: ``"IP:port"`` on which other entry VMs reach this one, ``""`` for none.
    :param peer_seeds: addresses of some other entry VMs, in addition to the platform's list.
    :param peer_keys: keys by which entry VMs authenticate; the first is used, all are accepted.
    :param data_centres: number of data centres with entry VMs, the same on all of them.
    :param log_file: file for the eliot log, ``"-"`` for standard error, ``""`` for none.
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
    peer_address: Address | Literal[""] = ""
    peer_seeds: tuple[Address, ...] = ()
    peer_keys: Annotated[tuple[Secret, ...], Field(max_length=2)] = ()
    data_centres: Count = 1
    log_file: str = "-"

    def __repr__(self) -> str:
        hidden = {"platform_token": "...", "peer_keys": f"{len(self.peer_keys)} keys"}
        shown = {**self._asdict(), **hidden}
        fields = ", ".join(f"{name}={value!r}" for name, value in shown.items())
        return f"EntrySettings({fields})"


def load_entry_settings(path: Path) -> EntrySettings:
    """Return the validated settings of an entry VM.

    :raises SettingsError: the file has faults; all of them are listed.
    """
    settings = read_document(path, EntrySettings)
    if settings.peer_address and not settings.peer_keys:
        fault = f"{path}: peer_keys: found none, expected one or two beside peer_address"
        raise SettingsError(fault, faults=(fault,))
    return settings
