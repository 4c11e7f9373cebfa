import unittest

from auburncart.exception import InputError, ProtocolError
from auburncart.platform.messages import PlatformCallerDialect, PlatformReplicaDialect
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
    return PlatformCallerDialect().request(
        RequestHead("GET", target, headers), b"", 100.0, "caller"
    )


class CallerTest(unittest.TestCase):
    def test_what_concerns_the_whole_way_is_passed_on_as_it_came(self) -> None:
        read = request()
        self.assertEqual(
            (read.host, read.path, read.target), ("shop.example", "/a/b", b"/a/b?q=1%20")
        )
        self.assertEqual(read.deadline, 101.5)
        sent = PlatformReplicaDialect().request_headers(read, "i-1", 0.8)
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

    def test_a_request_without_its_headers_or_with_two_of_one_is_refused(self) -> None:
        for name in (b"Host", b"X-Attempt-Id", b"X-Deadline-Remaining"):
            without = tuple(header for header in HEADERS if header[0] != name)
            twice = (*HEADERS, (name, b"2"))
            for headers in (without, twice):
                with self.assertRaises(InputError):
                    request(headers)

    def test_unreadable_numbers_and_paths_are_refused(self) -> None:
        for value in (b"soon", b"-1", b"nan", b"inf", b"\xff"):
            headers = (*HEADERS[:2], (b"X-Deadline-Remaining", value))
            with self.assertRaises(InputError):
                request(headers)
        for target in (b"*", b"http://other/", b"/\xff"):
            with self.assertRaises(InputError):
                request(target=target)

    def test_only_a_request_that_has_not_run_gets_a_status_that_says_so(self) -> None:
        dialect = PlatformCallerDialect()
        for code in RefusalCode:
            reply = dialect.reply(Refusal(code, "", Ran.UNKNOWN))
            if code in (RefusalCode.TIMED_OUT, RefusalCode.FAILED):
                self.assertIn(reply.status, (502, 504))
        for code in (RefusalCode.TIMED_OUT, RefusalCode.FAILED, RefusalCode.UNAVAILABLE):
            self.assertEqual(dialect.reply(Refusal(code, "", Ran.NO)).status, 503)
        refused = dialect.reply(Refusal(RefusalCode.OVERLOADED, "", Ran.NO, 0.25))
        self.assertEqual((refused.status, refused.headers), (429, ((b"Retry-After", b"0.250"),)))

    def test_a_merged_answer_names_its_parts_and_what_is_missing(self) -> None:
        reply = PlatformCallerDialect().reply(MergedAnswer(b"r" * 16, (b"p1", b"p2"), 1, {}))
        self.assertEqual(reply.headers, ((b"X-Part-Stamps", b"p1, p2"), (b"X-Missing-Parts", b"1")))

    def test_a_passed_reply_is_left_alone(self) -> None:
        passed = Reply(418, b"Odd", ((b"X-Server-Stamp", b"p"),), b"body", b"p")
        self.assertEqual(
            PlatformCallerDialect().reply(ForwardedReply(passed)),
            WireReply(418, b"Odd", passed.headers, b"body"),
        )


class ReplicaTest(unittest.TestCase):
    def reply(self, status: int, *headers: tuple[bytes, bytes]) -> Reply:
        return PlatformReplicaDialect().reply(WireReply(status, b"", headers, b"x"), request())

    def test_a_reply_to_another_request_belongs_to_no_one(self) -> None:
        with self.assertRaises(ProtocolError):
            self.reply(200, (b"X-Attempt-Id", b"id2"), (b"X-Server-Stamp", b"p"))

    def test_an_encoded_body_is_not_the_replicas(self) -> None:
        with self.assertRaises(ProtocolError):
            self.reply(200, (b"Content-Encoding", b"gzip"))

    def test_what_has_not_run_is_told_from_what_may_have(self) -> None:
        self.assertTrue(self.reply(503, (b"X-Not-Executed", b"1")).not_run)
        self.assertFalse(self.reply(503).not_run)
        moved = self.reply(421, (b"X-Instance-Id", b"i-2"))
        self.assertEqual((moved.not_run, moved.moved, moved.instance), (True, True, "i-2"))
