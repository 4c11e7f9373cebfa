"""Connections over real sockets to upstreams that reply late, wrongly or not at all."""

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from auburncart.exception import UpstreamError
from auburncart.state.search import SubQuery
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch, UpstreamOrder
from auburncart.transport.upstream import HttpUpstreamDialer

LONG_SECONDS = 20.0
CLOSE_SECONDS = 0.5  # in which a close is seen over loopback
Reply = Callable[[dict[str, Any]], bytes]


def http(body: bytes, status: str = "200 OK") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def reply(request: dict[str, Any], **changes: Any) -> bytes:
    query = request["query"]
    fields = {
        "request_id": request["request_id"],
        "snapshot": request["snapshot"],
        "answers": [
            {"id": query["id"], "shard": query["shard"], "hits": [{"text": query["text"]}]}
        ],
    }
    return http(json.dumps({**fields, **changes}).encode())


async def run_with_upstream(
    make_reply: Reply, run_client: Callable[[Replica], Awaitable[Any]], requests: int = 1000
) -> Any:
    """Run ``run_client`` against an upstream that answers each request with ``make_reply``.

    :param requests: number of requests after which it closes a connection.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            for _ in range(requests):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                writer.write(make_reply(json.loads(await reader.readexactly(length))))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        return await run_client(Replica(f"{host}:{port}", "dc1"))
    finally:
        server.close()


def batch(number: int = 1, seconds: float = LONG_SECONDS) -> Batch:
    deadline = asyncio.get_running_loop().time() + seconds
    sub = SubQuery(f"r{number}.1", "a", "s1", "closure", f"net {number}", deadline)
    return Batch(f"vm1-{number}", "s1", deadline, (sub,))


class MatchTest(unittest.TestCase):
    def search(self, make_reply: Reply) -> Any:
        async def run_client(replica: Replica) -> Any:
            connection = await HttpUpstreamDialer().connect(replica)
            try:
                return await connection.search(batch())
            finally:
                await connection.close()

        return asyncio.run(run_with_upstream(make_reply, run_client))

    def test_matching_reply_is_accepted(self) -> None:
        answers = self.search(reply).answers
        self.assertEqual(answers["r1.1"].hits, ({"text": "net 1"},))

    def test_reply_to_another_request_is_rejected(self) -> None:
        with self.assertRaisesRegex(UpstreamError, "match"):
            self.search(lambda request: reply(request, request_id="vm1-0"))

    def test_other_snapshot_shard_or_sub_query_is_rejected(self) -> None:
        others = (
            {"snapshot": "s0"},
            {"answers": [{"id": "r1.1", "shard": "b", "hits": []}]},
            {"answers": [{"id": "r0.1", "shard": "a", "hits": []}]},
            {"answers": [{"id": "r1.1", "shard": "a"}]},
            {"answers": []},
        )
        for changes in others:
            with self.subTest(changes):
                found = self.search(lambda request, changes=changes: reply(request, **changes))
                self.assertEqual(found.answers, {})

    def test_malformed_replies_are_errors_that_name_the_peer(self) -> None:
        replies = {
            "garbage": lambda request: b"\x00\xff\x00\r\n\r\n",
            "cut off": lambda request: reply(request)[:-5],
            "no JSON": lambda request: http(b"{"),
            "other form": lambda request: http(b'{"request_id": 7}'),
            "error status": lambda request: http(b"{}", "500 Oops"),
            "too long": lambda request: http(b" " * (9 * 1024 * 1024)),
        }
        for name, make_reply in replies.items():
            with self.subTest(name), self.assertRaises(UpstreamError) as caught:

                def make_cut_reply(
                    request: dict[str, Any], make_reply: Reply = make_reply
                ) -> bytes:
                    return make_reply(request)

                asyncio.run(asyncio.wait_for(self._short(make_cut_reply), LONG_SECONDS))
            self.assertTrue(caught.exception.peer)

    async def _short(self, make_reply: Reply) -> Any:
        async def run_client(replica: Replica) -> Any:
            connection = await HttpUpstreamDialer().connect(replica)
            try:
                return await connection.search(batch(seconds=0.5))
            finally:
                await connection.close()

        return await run_with_upstream(make_reply, run_client)


class LateTest(unittest.TestCase):
    def test_late_reply_never_answers_the_next_request(self) -> None:
        """The first request times out; a new connection carries the second."""

        async def run_client(replica: Replica) -> list[Any]:
            dialer = HttpUpstreamDialer()
            first = await dialer.connect(replica)
            with self.assertRaises(UpstreamError):
                await first.search(batch(1, seconds=0.1))
            with self.assertRaises(UpstreamError):
                await first.search(batch(2))
            second = await dialer.connect(replica)
            try:
                return list((await second.search(batch(2))).answers.values())
            finally:
                await second.close()

        requests_seen: list[int] = []

        def make_reply(request: dict[str, Any]) -> bytes:
            requests_seen.append(1)
            return b"" if len(requests_seen) == 1 else reply(request)

        (answer,) = asyncio.run(run_with_upstream(make_reply, run_client))
        self.assertEqual(answer.hits, ({"text": "net 2"},))

    def test_nothing_is_sent_on_a_connection_that_the_upstream_closed_while_idle(self) -> None:
        async def run_client(replica: Replica) -> UpstreamError:
            connection = await HttpUpstreamDialer().connect(replica)
            await connection.search(batch())
            await asyncio.sleep(CLOSE_SECONDS)
            with self.assertRaises(UpstreamError) as caught:
                await connection.search(batch())
            return caught.exception

        error = asyncio.run(run_with_upstream(reply, run_client, requests=1))
        self.assertEqual((error.step, error.sent), ("connect", False))

    def test_order_whose_reply_is_lost_may_have_been_sent(self) -> None:
        async def run_client(replica: Replica) -> None:
            connection = await HttpUpstreamDialer().connect(replica)
            deadline = asyncio.get_running_loop().time() + 0.2
            await connection.order(UpstreamOrder("r1", "k", "a", "closure", "x", deadline))

        with self.assertRaises(UpstreamError) as caught:
            asyncio.run(run_with_upstream(lambda request: b"", run_client))
        self.assertTrue(caught.exception.sent)

    def test_nothing_is_sent_to_an_unreachable_upstream(self) -> None:
        async def run_client() -> None:
            await HttpUpstreamDialer().connect(Replica("127.0.0.1:9", "dc1"))

        with self.assertRaises(UpstreamError) as caught:
            asyncio.run(run_client())
        self.assertFalse(caught.exception.sent)
        self.assertEqual(caught.exception.step, "connect")
