"""Every frame from a peer becomes a typed message or a protocol error."""

import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from auburncart.exception import ProtocolError
from auburncart.protocol.peer import decode_message, encode_message
from auburncart.state.link import MESSAGES, Answer, Publication
from auburncart.state.member import Member
from auburncart.state.payload import PAYLOADS, MapNews, MemberNews, Roll, SeatNews, TableNews
from auburncart.state.seat import Seat, SeatPlan, SeatPlans
from auburncart.state.shards import Replica, Shard, ShardMap
from auburncart.state.table import Row, Table, TableDocument
from auburncart.state.work import Rank

ORIGIN = Member("10.0.0.1:7000", "dc1", 3)
REPLICA = Replica("10.1.0.1:80", "dc1")
MESSAGES_SEEN = (
    Publication(ORIGIN, 1, 3, True, Roll((MemberNews(ORIGIN, 2),))),
    Answer(1, TableNews(TableDocument(Table(4, (Row("á", "k", Rank.URGENT, 0.5),))))),
    Answer(2, MapNews(ShardMap("s1", 2, {"a": Shard("a", (REPLICA,))}))),
    Answer(3, SeatNews(SeatPlans((SeatPlan(1, (Seat("10.0.0.1:7000", 3),)),)))),
)
FRAMES = [encode_message(message) for message in MESSAGES_SEEN]

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**66), 2**66)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5)
)
values = st.recursive(scalars, lambda inner: st.lists(inner, max_size=6), max_leaves=20)


def take(frame: bytes) -> None:
    try:
        message = decode_message(frame)
    except ProtocolError:
        return
    assert type(message) in MESSAGES, frame


class PeerFrameTest(unittest.TestCase):
    def test_messages_come_back_as_they_were(self) -> None:
        for message, frame in zip(MESSAGES_SEEN, FRAMES, strict=True):
            self.assertEqual(decode_message(frame), message)

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(st.binary(max_size=60))
    def test_any_bytes(self, frame: bytes) -> None:
        take(frame)

    @settings(max_examples=600, derandomize=True, deadline=None)
    @given(
        st.integers(0, len(MESSAGES)), st.integers(0, len(PAYLOADS)), st.lists(values, max_size=6)
    )
    def test_any_fields(self, number: int, payload: int, fields: list[object]) -> None:
        take(cbor2.dumps([number, *fields]))
        take(cbor2.dumps([number, 1, [payload, fields]]))

    @settings(max_examples=600, derandomize=True, deadline=None)
    @given(st.sampled_from(FRAMES), st.integers(0, 10_000), st.integers(0, 255))
    def test_one_changed_byte(self, frame: bytes, place: int, byte: int) -> None:
        place %= len(frame)
        take(frame[:place] + bytes([byte]) + frame[place + 1 :])
        take(frame[:place])
