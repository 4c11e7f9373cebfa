"""HTTP calls of the platform's store and the bodies of its replies."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec

from auburncart.coordination.forwarding.kinds import Changes, Entry, Page
from auburncart.coordination.forwarding.quarantine import CRASHES
from auburncart.coordination.forwarding.roster import ENTRY_VMS
from auburncart.exception import ProtocolError
from auburncart.platform.documents import (
    decode_configuration,
    decode_crash,
    decode_registration,
    decode_vm,
)
from auburncart.protocol.json_items import find_string, split_items
from auburncart.protocol.kinds import KindStoreCall, KindStoreCodec

__all__ = ["CONFIGURATION", "REPLICAS", "PlatformKindStoreCodec"]

CONFIGURATION = "config"
REPLICAS = "servers"  # the platform's term for replicas


class _Meta(msgspec.Struct):
    name: str
    rev: int = 0  # revision of the object's last change, not of the store


class _Object(msgspec.Struct):
    meta: _Meta
    spec: Any = None


class _PageBody(msgspec.Struct):
    items: list[msgspec.Raw]
    atRev: int  # noqa: N815
    hasMore: bool = False  # noqa: N815


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _EventsBody(msgspec.Struct):
    events: list[_Event]
    atRev: int  # noqa: N815


DECODERS: dict[str, Callable[[str, Any], Any]] = {
    CONFIGURATION: lambda name, spec: decode_configuration(spec),
    REPLICAS: decode_registration,
    CRASHES: decode_crash,
    ENTRY_VMS: decode_vm,
}


class PlatformKindStoreCodec(KindStoreCodec):
    """Builds the calls of the platform's store and decodes the replies."""

    def list_call(self, kind: str, after: str, stale: bool) -> KindStoreCall:
        """Return the call that lists the objects of a kind whose names follow ``after``."""
        query = [f"after={quote(after, safe='')}"] if after else []
        query += ["staleOk=1"] if stale else []
        return KindStoreCall("GET", f"/objects/{kind}" + ("?" + "&".join(query) if query else ""))

    def changes_call(self, kind: str, revision: int, wait: float) -> KindStoreCall:
        """Return the call that waits for changes after a revision."""
        milliseconds = int(wait * 1000.0)
        return KindStoreCall("GET", f"/objects/{kind}?watch={revision}&waitMs={milliseconds}")

    def create_call(self, kind: str, name: str, value: Any) -> KindStoreCall:
        """Return the call that creates an object."""
        body = {"meta": {"name": name}, "spec": value}
        return KindStoreCall("POST", f"/objects/{kind}", msgspec.json.encode(body))

    def replace_call(self, kind: str, name: str, value: Any) -> KindStoreCall:
        """Return the call that replaces an object, regardless of its revision."""
        body = {"meta": {"name": name}, "spec": value}
        path = f"/objects/{kind}/{quote(name, safe='')}"
        return KindStoreCall("PUT", path, msgspec.json.encode(body))

    def delete_call(self, kind: str, name: str) -> KindStoreCall:
        """Return the call that deletes an object, regardless of its revision."""
        return KindStoreCall("DELETE", f"/objects/{kind}/{quote(name, safe='')}")

    def decode_page(self, kind: str, body: bytes) -> Page:
        """Return the page of a list in a reply."""
        try:
            page = _decode(body, _PageBody)
        except ProtocolError:
            body, items = split_items(body, b"items")
            page = _decode(body, _PageBody)
            page.items = [msgspec.Raw(item) for item in items]
        return Page(
            tuple(_entry(kind, item, False) for item in page.items), page.hasMore, page.atRev
        )

    def decode_changes(self, kind: str, body: bytes) -> Changes:
        """Return the changes in a reply."""
        try:
            events = _decode(body, _EventsBody)
        except ProtocolError:
            body, items = split_items(body, b"events")
            events = _decode(body, _EventsBody)
            events.events = [_event(item) for item in items]
        entries = tuple(_entry(kind, event.object, event.deleted) for event in events.events)
        return Changes(entries, events.atRev)


def _decode(body: bytes, schema: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=schema)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(str(error), step="store") from error


def _event(raw: bytes) -> _Event:
    """Return one change; of one that cannot be decoded only the name may be known."""
    try:
        event: _Event = _decode(raw, _Event)
    except ProtocolError:
        return _Event(msgspec.Raw(raw))
    return event


def _name_in(raw: bytes) -> str:
    """Return the name of an object that cannot be decoded, ``""`` if it is not found."""
    path = ("meta", "name")
    return find_string(raw, path) or find_string(raw, ("object", *path)) or ""


def _entry(kind: str, raw: msgspec.Raw, deleted: bool) -> Entry:
    """Return the entry of one object; an invalid one gets an error and hides no other."""
    try:
        item = _decode(bytes(raw), _Object)
    except ProtocolError as error:
        return Entry(_name_in(bytes(raw)), None, 0, error.reason)
    if deleted:
        return Entry(item.meta.name, None, item.meta.rev)
    try:
        decoder = DECODERS.get(kind)
        value = decoder(item.meta.name, item.spec) if decoder else item.spec
    except (msgspec.ValidationError, KeyError, ValueError, TypeError) as error:
        return Entry(item.meta.name, None, item.meta.rev, str(error))
    return Entry(item.meta.name, value, item.meta.rev)
