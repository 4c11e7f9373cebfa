"""Calls of the platform's store and the bodies of its replies."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec

from auburncart.coordination.forwarding.kinds import Changes, Entry, Page
from auburncart.coordination.forwarding.quarantine import CRASHES
from auburncart.coordination.forwarding.roster import ENTRY_VMS
from auburncart.exception import ProtocolError
from auburncart.platform.documents import decode_configuration, decode_registration
from auburncart.protocol.kinds import KindCall, KindDialect
from auburncart.state.crash import CrashReport
from auburncart.state.entryvm import EntryVm

__all__ = ["CONFIGURATION", "REPLICAS", "PlatformKindDialect"]

CONFIGURATION = "config"
REPLICAS = "servers"  # the platform's word for replicas


class _Meta(msgspec.Struct):
    name: str
    rev: int = 0  # revision of the object's last change, not the store's


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
    CRASHES: lambda name, spec: CrashReport(spec["digest"]),
    ENTRY_VMS: lambda name, spec: EntryVm(
        name, spec["data_centre"], spec["address"], spec.get("merge_address", "")
    ),
}


class PlatformKindDialect(KindDialect):
    """Paths and bodies of the store's calls."""

    def list_call(self, kind: str, after: str, stale: bool) -> KindCall:
        """Return the call that lists a kind's objects after a name."""
        query = [f"after={quote(after, safe='')}"] if after else []
        query += ["staleOk=1"] if stale else []
        return KindCall("GET", f"/objects/{kind}" + ("?" + "&".join(query) if query else ""))

    def changes_call(self, kind: str, revision: int, wait: float) -> KindCall:
        """Return the call that waits for changes after a revision."""
        milliseconds = int(wait * 1000.0)
        return KindCall("GET", f"/objects/{kind}?watch={revision}&waitMs={milliseconds}")

    def create_call(self, kind: str, name: str, value: Any) -> KindCall:
        """Return the call that creates an object."""
        body = {"meta": {"name": name}, "spec": value}
        return KindCall("POST", f"/objects/{kind}", msgspec.json.encode(body))

    def replace_call(self, kind: str, name: str, value: Any) -> KindCall:
        """Return the call that replaces an object whatever its revision."""
        body = {"meta": {"name": name}, "spec": value}
        path = f"/objects/{kind}/{quote(name, safe='')}"
        return KindCall("PUT", path, msgspec.json.encode(body))

    def delete_call(self, kind: str, name: str) -> KindCall:
        """Return the call that deletes an object whatever its revision."""
        return KindCall("DELETE", f"/objects/{kind}/{quote(name, safe='')}")

    def page(self, kind: str, body: bytes) -> Page:
        """Return a page of a list."""
        page = _decode(body, _PageBody)
        return Page(
            tuple(_entry(kind, item, False) for item in page.items), page.hasMore, page.atRev
        )

    def changes(self, kind: str, body: bytes) -> Changes:
        """Return what has changed."""
        events = _decode(body, _EventsBody)
        entries = tuple(_entry(kind, event.object, event.deleted) for event in events.events)
        return Changes(entries, events.atRev)


def _decode(body: bytes, form: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=form)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(str(error), step="store") from error


def _entry(kind: str, raw: msgspec.Raw, deleted: bool) -> Entry:
    """Return one object; one that cannot be read keeps its name, so that it hides no other."""
    held = _decode(bytes(raw), _Object)
    if deleted:
        return Entry(held.meta.name, None, held.meta.rev)
    try:
        decoder = DECODERS.get(kind)
        value = decoder(held.meta.name, held.spec) if decoder else held.spec
    except (msgspec.ValidationError, KeyError, ValueError, TypeError) as error:
        return Entry(held.meta.name, None, held.meta.rev, str(error))
    return Entry(held.meta.name, value, held.meta.rev)
