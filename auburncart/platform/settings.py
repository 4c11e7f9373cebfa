"""The settings file that the platform provides for each process."""

from pathlib import Path

import msgspec

from auburncart.exception import SettingsError
from auburncart.settings.forward import ForwardSettings, RetryBudgetSettings

__all__ = ["METRICS_PORT", "SETTINGS_VARIABLE", "load_platform_settings"]

SETTINGS_VARIABLE = "AUBURNCART_SETTINGS"
BYTES_PER_MEGABYTE = 1_000_000
METRICS_PORT = 9464  # as in deploy/system.toml; the usual port of exporters in this format


class _Addresses(msgspec.Struct):
    front: str
    ready: str


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct, frozen=True):
    memoryMb: float = 160.0  # noqa: N815


class _Bounds(msgspec.Struct, frozen=True):
    retryRatio: float = 0.2  # noqa: N815
    retryWindowS: float = 10.0  # noqa: N815
    retrySlack: float = 50.0  # noqa: N815
    graceS: float = 6.0  # noqa: N815
    stableWindowMs: float = 4000.0  # noqa: N815
    configApplyMs: float = 3000.0  # noqa: N815


class _Settings(msgspec.Struct):
    nodeName: str  # noqa: N815
    ipAddr: str  # noqa: N815
    zone: str
    region: str
    zones: dict[str, str]
    listenAddrs: _Addresses  # noqa: N815
    platform: _Store
    portRange: tuple[int, int]  # noqa: N815
    bootstrap: bool = False  # at the first start of the tier only, not whenever a process starts
    limits: _Limits = _Limits()
    contractParams: _Bounds = _Bounds()  # noqa: N815


def load_platform_settings(path: Path) -> ForwardSettings:
    """Return the validated settings in a file.

    :raises SettingsError: the file cannot be read, or a field is missing or invalid.
    """
    try:
        body = msgspec.json.decode(path.read_bytes(), type=_Settings)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        fault = f"{path}: {error}"
        raise SettingsError(fault, faults=(fault,)) from error
    bounds = body.contractParams
    return ForwardSettings(
        name=body.nodeName,
        data_centre=body.zone,
        region=body.region,
        regions=body.zones,
        front_address=body.listenAddrs.front,
        ready_address=body.listenAddrs.ready,
        store_address=body.platform.address,
        metrics_address=f"{body.ipAddr}:{METRICS_PORT}",
        relay_address=f"{body.ipAddr}:{body.portRange[0]}",
        merge_address=f"{body.ipAddr}:{body.portRange[0] + 1}",
        first_start=body.bootstrap,
        memory_bytes=int(body.limits.memoryMb * BYTES_PER_MEGABYTE),
        grace_seconds=bounds.graceS,
        stable_seconds=bounds.stableWindowMs / 1000.0,
        apply_seconds=bounds.configApplyMs / 1000.0,
        bounds=RetryBudgetSettings(
            retry_ratio=bounds.retryRatio,
            retry_window_seconds=bounds.retryWindowS,
            retry_slack=bounds.retrySlack,
        ),
    )
