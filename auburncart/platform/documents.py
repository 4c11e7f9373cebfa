"""Objects in the platform's store: configuration, replicas, VMs and reports of crashes."""

import ipaddress
import re
from typing import Annotated, Any

import msgspec

from auburncart.state.configuration import CallerLimits, Configuration, Route, Service, Target
from auburncart.state.crash import CrashReport
from auburncart.state.entryvm import EntryVm
from auburncart.state.registration import Registration

__all__ = ["decode_configuration", "decode_crash", "decode_registration", "decode_vm"]

MAX_SLOTS = 1_000_000
MAX_WARM_UP_MS = 86_400_000.0
MAX_PORT = 65_535
INSTANCE = re.compile("[!-~]+", re.ASCII)  # visible characters, which a header can carry
PORT = re.compile("[0-9]{1,5}", re.ASCII)

# Fields have the names that the platform uses.


class _TargetBody(msgspec.Struct):
    service: str
    weight: float


class _RouteBody(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    kind: str  # whether a request is idempotent, not what it asks for
    timeoutMs: float  # noqa: N815
    sloMs: float  # noqa: N815
    priority: int
    maxAttempts: int  # noqa: N815
    service: str | None = None
    targets: list[_TargetBody] | None = None
    gather: list[str] | None = None
    topK: int = 0  # noqa: N815
    minShare: float = 1.0  # noqa: N815


class _ServiceBody(msgspec.Struct):
    name: str
    maxConns: int  # noqa: N815


class _LimitsBody(msgspec.Struct):
    maxHeaderBytes: int  # noqa: N815
    maxBodyBytes: int  # noqa: N815
    headerTimeoutMs: float  # noqa: N815
    idleTimeoutMs: float  # noqa: N815


class _ConfigurationBody(msgspec.Struct):
    configVersion: int  # noqa: N815
    routes: list[_RouteBody]
    services: list[_ServiceBody]
    limits: _LimitsBody


class _ReplicaBody(msgspec.Struct):
    """What a replica says of itself; an entry that lacks a field is of another writer."""

    service: str
    address: str
    zone: str
    configVersion: str  # noqa: N815  # of the replica's software, not of the configuration
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: str
    coldLeftMs: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WARM_UP_MS)]  # noqa: N815
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    born: int = 0


class _VmBody(msgspec.Struct):
    data_centre: str
    address: str
    merge_address: str = ""


class _CrashBody(msgspec.Struct):
    digest: str
    attempt: str | None = None
    replica: str = ""
    silent: bool = False
    answered: bool = False
    path_digest: str = ""
    path_answered: bool = False


IDEMPOTENT = "idempotent"
DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_configuration(spec: Any) -> Configuration:
    """Return the configuration in an object's ``spec``.

    :raises msgspec.ValidationError: a field is missing or has the wrong type.
    """
    body = msgspec.convert(spec, type=_ConfigurationBody)
    return Configuration(
        body.configVersion,
        tuple(_route(route) for route in body.routes),
        {service.name: Service(service.name, service.maxConns) for service in body.services},
        CallerLimits(
            body.limits.maxHeaderBytes,
            body.limits.maxBodyBytes,
            body.limits.headerTimeoutMs / 1000.0,
            body.limits.idleTimeoutMs / 1000.0,
        ),
    )


def decode_registration(name: str, spec: Any) -> Registration:
    """Return the replica that an entry describes.

    :raises msgspec.ValidationError: a field is missing or invalid, the state is unknown, or no
        header can carry the name.
    """
    if not INSTANCE.fullmatch(name):
        raise msgspec.ValidationError(f"invalid name {name!r}")
    body = msgspec.convert(spec, type=_ReplicaBody)
    _check_address(body.address)
    if body.state not in DRAINING_BY_STATE:
        raise msgspec.ValidationError(f"unknown state {body.state!r}")
    return Registration(
        name,
        body.service,
        body.address,
        body.zone,
        body.slots,
        DRAINING_BY_STATE[body.state],
        body.coldLeftMs / 1000.0,
        body.born,
    )


def decode_vm(name: str, spec: Any) -> EntryVm:
    """Return the VM that an object registers.

    :raises msgspec.ValidationError: a field is missing or has the wrong type.
    """
    body = msgspec.convert(spec, type=_VmBody)
    return EntryVm(name, body.data_centre, body.address, body.merge_address)


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise msgspec.ValidationError(f"invalid address {address!r}: {error}") from error
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise msgspec.ValidationError(f"invalid address {address!r}: no such port")


def decode_crash(name: str, spec: Any) -> CrashReport:
    """Return the crash that an object reports; earlier versions named only the attempt.

    :raises msgspec.ValidationError: a field is missing or has the wrong type.
    """
    body = msgspec.convert(spec, type=_CrashBody)
    attempt = name if body.attempt is None else body.attempt
    return CrashReport(
        body.digest,
        attempt,
        body.replica,
        body.silent,
        body.answered,
        body.path_digest,
        body.path_answered,
    )


def _route(body: _RouteBody) -> Route:
    if body.targets:
        targets = tuple(Target(target.service, target.weight) for target in body.targets)
    else:
        targets = (Target(body.service, 1.0),) if body.service else ()
    return Route(
        body.name,
        body.host.lower(),
        body.pathPrefix,
        body.kind == IDEMPOTENT,
        body.timeoutMs / 1000.0,
        body.sloMs / 1000.0,
        body.priority,
        body.maxAttempts,
        targets,
        tuple(body.gather or ()),
        body.topK,
        body.minShare,
    )
