"""What others write to the store and the settings: any bytes are decoded or rejected."""

import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from auburncart.coordination.forwarding.kinds import Entry
from auburncart.coordination.forwarding.quarantine import CRASHES
from auburncart.coordination.forwarding.roster import ENTRY_VMS
from auburncart.exception import ProtocolError, SettingsError
from auburncart.platform.settings import load_platform_settings
from auburncart.platform.store import CONFIGURATION, REPLICAS, PlatformKindStoreCodec
from auburncart.platform.tests.test_settings import SETTINGS
from auburncart.platform.tests.test_store import REPLICA

CODEC = PlatformKindStoreCodec()
KINDS = st.sampled_from((CONFIGURATION, REPLICAS, CRASHES, ENTRY_VMS))
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(st.text(max_size=5), children)
    ),
    max_leaves=5,
)
FUZZ = settings(derandomize=True, max_examples=300, deadline=None, database=None)


@st.composite
def changed_dictionaries(draw: st.DrawFn, base: dict) -> dict:
    """Return a dictionary with some values replaced and some keys removed."""
    names = draw(st.sets(st.sampled_from(sorted(base))))
    removed = draw(st.sets(st.sampled_from(sorted(base)), max_size=1))
    changed = {**base, **{name: draw(VALUES) for name in sorted(names)}}
    return {name: value for name, value in changed.items() if name not in removed}


@st.composite
def damaged(draw: st.DrawFn, body: bytes) -> bytes:
    """Return a body of which one byte may be replaced, or the rest cut off."""
    position = draw(st.integers(0, len(body) - 1))
    damage = draw(st.sampled_from((b"", b"\\", b'"', b"{", b"]", b"\xff", b"\0")))
    end = draw(st.sampled_from((position, position + 1, len(body))))
    return body[:position] + damage + body[end:]


class StoreFuzzTest(unittest.TestCase):
    def check(self, kind: str, body: bytes) -> None:
        for decode in (CODEC.decode_page, CODEC.decode_changes):
            try:
                entries = decode(kind, body).entries
            except ProtocolError:
                continue
            for entry in entries:
                self.assertIsInstance(entry, Entry)
                self.assertIsInstance(entry.name, str)
                hash(entry.value)

    @FUZZ
    @given(kind=KINDS, spec=changed_dictionaries(REPLICA) | VALUES, name=st.text(max_size=4))
    def test_any_entry_is_decoded_or_rejected_and_hides_no_other(
        self, kind: str, spec: object, name: str
    ) -> None:
        odd = {"meta": {"name": name, "rev": 3}, "spec": spec}
        good = {"meta": {"name": "i-1", "rev": 4}, "spec": REPLICA}
        body = json.dumps({"items": [odd, good], "hasMore": False, "atRev": 9}).encode()
        self.check(kind, body)
        entries = CODEC.decode_page(REPLICAS, body).entries
        self.assertEqual([entry.name for entry in entries], [name, "i-1"])
        self.assertIsNotNone(entries[1].value)

    @FUZZ
    @given(kind=KINDS, data=st.data())
    def test_any_damage_to_a_body_is_a_protocol_error_or_an_odd_entry(
        self, kind: str, data: st.DataObject
    ) -> None:
        stored = {"meta": {"name": "i-1", "rev": 4}, "spec": REPLICA}
        page = {"items": [stored], "hasMore": False, "atRev": 9}
        changes = {"events": [{"object": stored, "deleted": False}], "atRev": 9}
        body = json.dumps(data.draw(st.sampled_from((page, changes)))).encode()
        self.check(kind, data.draw(damaged(body)))

    @FUZZ
    @given(kind=KINDS, body=st.binary(max_size=60))
    def test_any_bytes_are_a_protocol_error(self, kind: str, body: bytes) -> None:
        self.check(kind, body)


class SettingsFuzzTest(unittest.TestCase):
    @FUZZ
    @given(body=changed_dictionaries(SETTINGS).map(json.dumps).map(str.encode) | st.binary())
    def test_any_settings_are_loaded_or_rejected(self, body: bytes) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            path.write_bytes(body)
            try:
                load_platform_settings(path)
            except SettingsError as error:
                self.assertTrue(error.faults)
