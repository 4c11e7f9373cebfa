"""Every decoder accepts any bytes: it returns a typed message or raises its own error."""

import json
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.interfaces import Key
from auburncart.coordination.table import TABLE
from auburncart.exception import InputError, ProtocolError, SettingsError
from auburncart.protocol import caller, platform, upstream
from auburncart.protocol.document import parse_document
from auburncart.settings.entry import EntrySettings
from auburncart.state.order import ClaimBucket
from auburncart.state.search import SubQuery
from auburncart.state.upstream import Batch, UpstreamOrder

SUB_QUERY = SubQuery("r1.1", "a", "s1", "k", "q", 1.0)
BATCH = Batch("v-1", "s1", 1.0, (SUB_QUERY,))
ORDER = UpstreamOrder("r1", "key", "a", "k", "o", 1.0)
CLAIM: Key[ClaimBucket] = Key("claims", "x")

Decoder = Callable[[bytes], Any]
DECODERS: dict[str, tuple[Decoder, type[Exception]]] = {
    "search": (lambda body: caller.decode_search(body, "r1", 0.0), InputError),
    "order": (lambda body: caller.decode_order(body, "r1", 0.0), InputError),
    "batch reply": (lambda body: upstream.decode_batch_reply(body, BATCH, "p"), ProtocolError),
    "order reply": (lambda body: upstream.decode_order_reply(body, ORDER, "p"), ProtocolError),
    "members": (platform.decode_members, ProtocolError),
    "table": (lambda body: platform.decode_value(TABLE, body), ProtocolError),
    "shards": (lambda body: platform.decode_value(SHARD_MAP, body), ProtocolError),
    "claim": (lambda body: platform.decode_value(CLAIM, body), ProtocolError),
    "audit": (lambda body: platform.decode_value(Key("audit", "1"), body), ProtocolError),
    "seats": (lambda body: platform.decode_value(Key("seats", "dc1"), body), ProtocolError),
    "status": (lambda body: platform.decode_value(Key("status", "dc1"), body), ProtocolError),
}
FIELD_NAMES = list(
    {
        *caller.SearchBody.__annotations__,
        *caller.OrderBody.__annotations__,
        *upstream.ReplyBody.__annotations__,
        *upstream.AnswerBody.__annotations__,
        *upstream.OrderReplyBody.__annotations__,
        *("shards", "version", "table", "rows", "address", "data_centre", "condition", "holder"),
    }
)
FIELD_NAMES.sort()

json_scalars = (
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5)
)
json_values = st.recursive(
    json_scalars,
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.sampled_from(FIELD_NAMES), children, max_size=6)
    ),
    max_leaves=12,
)


def check_decoders(body: bytes) -> None:
    for name, (decode, expected) in DECODERS.items():
        try:
            decode(body)
        except expected:
            continue
        except Exception as error:
            raise AssertionError(f"{name}: {body!r} raised {error!r}") from error


class FuzzTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, body: bytes) -> None:
        check_decoders(body)

    @settings(derandomize=True, max_examples=500, deadline=None, database=None)
    @given(json_values)
    def test_json_of_other_forms(self, value: Any) -> None:
        check_decoders(json.dumps(value).encode())

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(st.text(max_size=100) | json_values.map(json.dumps))
    def test_settings_of_other_forms(self, text: str) -> None:
        with self.assertRaises(SettingsError) as caught:
            parse_document(text, EntrySettings, "fuzz")
        self.assertTrue(caught.exception.faults)

    def test_deep_nesting(self) -> None:
        for opening in (b"[", b'{"rows":[', b'{"shards":{"a":['):
            check_decoders(opening * 20_000)
        with self.assertRaises(SettingsError):
            parse_document("[" * 20_000, EntrySettings, "fuzz")
