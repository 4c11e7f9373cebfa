"""Paths and values of the platform's object store, and its list of VMs.

Objects are JSON under ``/v1/objects/KIND/NAME``. A write sends the expected entity tag in
``If-Match``, or ``If-None-Match: *`` for an absent object. A watch is a read with
``If-None-Match: TAG`` and ``?wait=SECONDS``, answered with 304 if nothing changed.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from auburncart.coordination.interfaces import Key
from auburncart.exception import ProtocolError
from auburncart.state.member import Condition, Member
from auburncart.state.order import Claim, ClaimBucket
from auburncart.state.seat import SeatPlans
from auburncart.state.shards import Replica, Shard, ShardMap
from auburncart.state.status import DataCentreStatus
from auburncart.state.table import AuditArchive, TableDocument
from auburncart.state.upstream_status import UpstreamStatus

__all__ = [
    "MAX_VALUE_BYTES",
    "PATH_MEMBERS",
    "decode_members",
    "decode_value",
    "encode_value",
    "object_path",
]

MAX_VALUE_BYTES = 1_000_000
PATH_MEMBERS = "/v1/vms"


class _MapBody(TypedDict):
    """A shard map as stored: the replicas of each shard as arrays."""

    snapshot: str
    version: int
    shards: dict[str, list[Replica]]


class _VmBody(TypedDict):
    """An entry of the platform's list of VMs."""

    address: str
    data_centre: str
    incarnation: NotRequired[int]
    condition: NotRequired[Condition]


class _Codec(NamedTuple):
    """Encoding of one kind of stored object."""

    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


def object_path(key: Key[Any]) -> str:
    """Return the URL path of an object.

    >>> object_path(Key("table", "current"))
    '/v1/objects/table/current'
    """
    return f"/v1/objects/{key.kind}/{key.name}"


def encode_value(key: Key[Any], value: Any) -> bytes:
    """Return the JSON of a stored object.

    :raises ProtocolError: the value is larger than the store accepts.
    """
    body = msgspec.json.encode(CODECS[key.kind].encode(value))
    if len(body) > MAX_VALUE_BYTES:
        raise ProtocolError(f"{len(body)} bytes, the store accepts {MAX_VALUE_BYTES}", step="store")
    return body


def decode_value(key: Key[Any], body: bytes) -> Any:
    """Return the object in a stored value.

    :raises ProtocolError: the value is not valid for its kind.
    """
    try:
        return CODECS[key.kind].decode(msgspec.json.decode(body))
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError, RecursionError) as error:
        raise ProtocolError(f"stored {key.kind}/{key.name}: {error}", step="store") from error


def decode_members(body: bytes) -> tuple[Member, ...]:
    """Return the platform's list of VMs.

    :raises ProtocolError: the body is malformed.
    """
    try:
        entries = msgspec.json.decode(body, type=list[_VmBody])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(f"list of VMs: {error}", step="store") from error
    return tuple(_member(entry) for entry in entries)


def _member(entry: _VmBody) -> Member:
    return Member(
        entry["address"],
        entry["data_centre"],
        entry.get("incarnation", 0),
        entry.get("condition", Condition.LIVE),
    )


def _encode_map(shard_map: ShardMap) -> dict[str, Any]:
    shards = {
        name: [list(replica) for replica in shard.replicas]
        for name, shard in shard_map.shards.items()
    }
    return {"snapshot": shard_map.snapshot, "version": shard_map.version, "shards": shards}


def _decode_map(fields: Any) -> ShardMap:
    body = msgspec.convert(fields, type=_MapBody)
    replicas_by_address: dict[str, Replica] = {}
    shards = {
        name: Shard(
            name,
            tuple(replicas_by_address.setdefault(replica.address, replica) for replica in replicas),
        )
        for name, replicas in body["shards"].items()
    }
    return ShardMap(body["snapshot"], body["version"], shards)


def _decode_table(fields: Any) -> TableDocument:
    return msgspec.convert(fields, type=TableDocument)


def _encode_claims(bucket: ClaimBucket) -> dict[str, Any]:
    return {"period": bucket.period, "claims": list(bucket.claims.values())}


def _decode_claims(fields: dict[str, Any]) -> ClaimBucket:
    claims = msgspec.convert(fields["claims"], type=list[Claim])
    return ClaimBucket(int(fields["period"]), {claim.key: claim for claim in claims})


def _decode_seats(fields: Any) -> SeatPlans:
    plans = msgspec.convert(fields, type=SeatPlans)
    if not plans.plans:
        raise ValueError("no seat plan")
    return plans


def _decode_status(fields: Any) -> DataCentreStatus:
    return msgspec.convert(fields, type=DataCentreStatus)


def _decode_archive(fields: Any) -> AuditArchive:
    return msgspec.convert(fields, type=AuditArchive)


def _decode_upstreams(fields: Any) -> UpstreamStatus:
    return msgspec.convert(fields, type=UpstreamStatus)


def _to_builtins(value: Any) -> Any:
    return msgspec.to_builtins(value)


CODECS: dict[str, _Codec] = {
    "table": _Codec(_to_builtins, _decode_table),
    "shards": _Codec(_encode_map, _decode_map),
    "upstreams": _Codec(_to_builtins, _decode_upstreams),
    "claims": _Codec(_encode_claims, _decode_claims),
    "status": _Codec(_to_builtins, _decode_status),
    "seats": _Codec(_to_builtins, _decode_seats),
    "audit": _Codec(_to_builtins, _decode_archive),
}
