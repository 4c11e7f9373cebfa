import math
import unittest

from auburncart.exception import InputError, ProtocolError
from auburncart.platform.messages import PlatformCallerCodec, PlatformReplicaCodec
from auburncart.protocol.forward import RequestHead, WireReply
from auburncart.state.failure import Ran, Refusal, RefusalCode
from auburncart.state.forward import ForwardedReply, MergedAnswer, Reply

HEADERS = (
    (b"Host", b"Shop.example:80"),
    (b"X-Attempt-Id", b"id1"),
    (b"X-Deadline-Remaining", b"1500"),
    (b"X-Target-Instance", b"forged"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"Accept", b"*/*"),
)


def request(headers=HEADERS, target: bytes = b"/a/b?q=1%20"):
    return PlatformCallerCodec().decode_request(
        RequestHead("GET", target, headers), b"", 100.0, "caller"
    )


def limit_of(values: tuple[bytes, ...]) -> float:
    headers = tuple((b"Server-Limit", value) for value in values)
    reply = WireReply(200, b"OK", headers, b"")
    return PlatformReplicaCodec().decode_reply(reply, request()).announced.request_limit


class CallerTest(unittest.TestCase):
    def test_end_to_end_headers_are_forwarded_unchanged(self) -> None:
        decoded = request()
        self.assertEqual(
            (decoded.host, decoded.path, decoded.target), ("shop.example", "/a/b", b"/a/b?q=1%20")
        )
        self.assertEqual(decoded.deadline, 101.5)
        sent = PlatformReplicaCodec().encode_request_headers(decoded, "i-1", 0.8)
        self.assertEqual(
            sent,
            (
                (b"Host", b"Shop.example:80"),
                (b"Accept", b"*/*"),
                (b"X-Attempt-Id", b"id1"),
                (b"X-Deadline-Remaining", b"800"),
                (b"X-Target-Instance", b"i-1"),
            ),
        )

    def test_the_limit_that_a_replica_names_is_a_decimal_number(self) -> None:
        values = {
            (): float("inf"),
            (b"12.5",): 12.5,
            (b" 3 ",): 3.0,
            (b"0",): 0.0,
            (b".5",): 0.5,
            (b"2.0361834912773846",): 2.0361834912773846,
            (b"4", b"2"): 2.0,
        }
        for given, limit in values.items():
            self.assertEqual(limit_of(given), limit)
        for given in (b"-1", b"1e9", b"nan", b"inf", b"", b"9" * 400, b"1,5", b"1_0"):
            self.assertTrue(math.isnan(limit_of((given,))), given)

    def test_a_rejection_names_a_pause_in_decimal_seconds(self) -> None:
        cases = {
            (503, (b"2",)): 2.0,
            (503, (b"0.25",)): 0.25,
            (503, (b"1", b"3")): 3.0,
            (503, ()): 0.0,
            (503, (b"-1",)): 0.0,
            (503, (b"Wed, 21 Oct 2026 07:28:00 GMT",)): 0.0,
            (503, (b"nan",)): 0.0,
            (200, (b"2",)): 0.0,
        }
        for (status, values), pause in cases.items():
            headers = tuple((b"Retry-After", value) for value in values)
            reply = WireReply(status, b"", headers, b"")
            decoded = PlatformReplicaCodec().decode_reply(reply, request())
            self.assertEqual(decoded.announced.retry_after, pause)

    def test_a_replica_says_that_it_leaves_with_one(self) -> None:
        for value, leaving in ((b"1", True), (b" 1 ", True), (b"0", False), (b"yes", False)):
            reply = WireReply(200, b"OK", ((b"Server-Leaving", value),), b"")
            decoded = PlatformReplicaCodec().decode_reply(reply, request())
            self.assertIs(decoded.announced.leaving, leaving)

    def test_a_reply_with_two_ids_or_two_stamps_is_an_error(self) -> None:
        decoded = request()
        for name in (b"X-Attempt-Id", b"X-Server-Stamp", b"X-Not-Executed"):
            headers = ((b"X-Attempt-Id", b"id1"), (b"X-Server-Stamp", b"p"), (name, b"id1"))
            with self.assertRaises(ProtocolError):
                PlatformReplicaCodec().decode_reply(
                    WireReply(200, b"OK", (*headers, (name, b"id1")), b""), decoded
                )

    def test_missing_or_repeated_headers_are_refused(self) -> None:
        for name in (b"Host", b"X-Attempt-Id", b"X-Deadline-Remaining"):
            without = tuple(header for header in HEADERS if header[0] != name)
            twice = (*HEADERS, (name, b"2"))
            for headers in (without, twice):
                with self.assertRaises(InputError):
                    request(headers)

    def test_invalid_time_limits_and_paths_are_refused(self) -> None:
        for value in (b"soon", b"-1", b"nan", b"inf", b"\xff"):
            headers = (*HEADERS[:2], (b"X-Deadline-Remaining", value))
            with self.assertRaises(InputError):
                request(headers)
        for target in (b"*", b"http://other/", b"/\xff"):
            with self.assertRaises(InputError):
                request(target=target)

    def test_status_says_not_run_only_if_the_request_did_not_run(self) -> None:
        codec = PlatformCallerCodec()
        for code in RefusalCode:
            reply = codec.encode_reply(Refusal(code, "", Ran.UNKNOWN))
            if code in (RefusalCode.TIMED_OUT, RefusalCode.FAILED):
                self.assertIn(reply.status, (502, 504))
        for code in (RefusalCode.TIMED_OUT, RefusalCode.FAILED, RefusalCode.UNAVAILABLE):
            self.assertEqual(codec.encode_reply(Refusal(code, "", Ran.NO)).status, 503)
        refused = codec.encode_reply(Refusal(RefusalCode.OVERLOADED, "", Ran.NO, 0.25))
        self.assertEqual((refused.status, refused.headers), (429, ((b"Retry-After", b"0.250"),)))

    def test_merged_answer_lists_stamps_and_missing_parts(self) -> None:
        reply = PlatformCallerCodec().encode_reply(MergedAnswer(b"r" * 16, (b"p1", b"p2"), 1, {}))
        self.assertEqual(reply.headers, ((b"X-Part-Stamps", b"p1, p2"), (b"X-Missing-Parts", b"1")))

    def test_forwarded_reply_is_unchanged(self) -> None:
        reply = Reply(418, b"Odd", ((b"X-Server-Stamp", b"p"),), b"body", b"p")
        self.assertEqual(
            PlatformCallerCodec().encode_reply(ForwardedReply(reply)),
            WireReply(418, b"Odd", reply.headers, b"body"),
        )


class ReplicaTest(unittest.TestCase):
    def reply(self, status: int, *headers: tuple[bytes, bytes]) -> Reply:
        return PlatformReplicaCodec().decode_reply(WireReply(status, b"", headers, b"x"), request())

    def test_reply_to_another_request_is_an_error(self) -> None:
        with self.assertRaises(ProtocolError):
            self.reply(200, (b"X-Attempt-Id", b"id2"), (b"X-Server-Stamp", b"p"))

    def test_encoded_body_is_an_error(self) -> None:
        with self.assertRaises(ProtocolError):
            self.reply(200, (b"Content-Encoding", b"gzip"))

    def test_requests_that_did_not_run_are_recognised(self) -> None:
        self.assertTrue(self.reply(503, (b"X-Not-Executed", b"1")).not_run)
        self.assertFalse(self.reply(503).not_run)
        moved = self.reply(421, (b"X-Instance-Id", b"i-2"))
        self.assertEqual((moved.not_run, moved.moved, moved.instance), (True, True, "i-2"))
