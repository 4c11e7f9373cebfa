"""The callers' port over real sockets: invalid input, slow clients and separate ranks."""

import asyncio
import json
import socket
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3
from expression import Ok

from auburncart.coordination.rank_filter import AnyRankFilter, RankFilter, SingleRankFilter
from auburncart.coordination.shutdown import RequestTracker
from auburncart.coordination.table import CurrentTable
from auburncart.standins.site import DEMO_TABLE
from auburncart.state.failure import Ran
from auburncart.state.order import OrderAnswer
from auburncart.state.search import Coverage, SearchAnswer
from auburncart.state.work import Rank
from auburncart.transport.loop import LoopBridge
from auburncart.transport.metrics import MetricsObserver
from auburncart.transport.web import CallerApplication, CallerServer

LONG_SECONDS = 20.0  # far longer than a passing run needs
SEARCH = {"customer": "ladera", "kind": "closure", "query": "net", "deadline_ms": 900}


class StubService:
    """Answers searches and orders at once, or holds searches of one kind until released."""

    def __init__(self) -> None:
        self.seen: list[Any] = []
        self.release = asyncio.Event()

    async def search(self, request: Any) -> Any:
        self.seen.append(request)
        if request.kind == "archive":
            await self.release.wait()
        return Ok(SearchAnswer(request.request_id, "s1", (), Coverage(0, 0, True, ())))

    async def order(self, request: Any) -> Any:
        self.seen.append(request)
        return Ok(OrderAnswer(request.request_id, request.key, Ran.YES, None))


class PortTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.bridge = LoopBridge(self.loop)
        self.service = StubService()
        self.request_tracker = RequestTracker(lambda: True)
        self.pool = urllib3.PoolManager(timeout=LONG_SECONDS, retries=False)
        self.servers: list[CallerServer] = []

    def tearDown(self) -> None:
        self.loop.call_soon_threadsafe(self.service.release.set)
        for server in self.servers:
            server.stop()
        self.pool.clear()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def serve(
        self,
        threads: int = 4,
        rank_filter: RankFilter | None = None,
        read_timeout_seconds: float = 30.0,
    ) -> str:
        application = CallerApplication(
            "vm1",
            self.bridge,
            rank_filter or AnyRankFilter(),
            self.service,
            self.service,
            MetricsObserver(),
            self.request_tracker,
        )
        server = CallerServer(
            "127.0.0.1:0", application, threads, self.bridge.time, read_timeout_seconds
        )
        server.start()
        self.servers.append(server)
        return server.address

    def post(self, address: str, body: bytes, path: str = "/v1/search", **headers: str) -> Any:
        url = f"http://{address}{path}"
        return self.pool.request("POST", url, body=body, headers=headers, preload_content=True)


class BadInputTest(PortTest):
    def test_each_invalid_body_gets_a_reason_and_ran_no(self) -> None:
        address = self.serve()
        bodies = {
            "no json": b"{",
            "not utf-8": b'{"customer":"\xff\xfe","kind":"k","query":"q","deadline_ms":5}',
            "wrong type": json.dumps({**SEARCH, "deadline_ms": "soon"}).encode(),
            "missing field": b'{"customer":"ladera"}',
            "too deep": b"[" * 50_000,
            "deadline out of range": json.dumps({**SEARCH, "deadline_ms": 0}).encode(),
            "empty": b"",
            "control characters": json.dumps({**SEARCH, "customer": "a\nb"}).encode(),
            "repeated shard": json.dumps({**SEARCH, "shards": ["a", "a"]}).encode(),
        }
        for name, body in bodies.items():
            with self.subTest(name):
                response = self.post(address, body)
                fields = response.json()
                self.assertEqual((response.status, fields["ran"]), (400, "no"))
                self.assertTrue(fields["reason"])
        self.assertEqual(self.service.seen, [])

    def test_too_large_body_is_refused_unread(self) -> None:
        address = self.serve()
        response = self.post(address, b"x" * 70_000)
        self.assertEqual((response.status, response.json()["ran"]), (413, "no"))
        self.assertEqual(self.post(address, b"x" * 2_000_000).status, 413)

    def test_unknown_path_and_method_are_json_refusals(self) -> None:
        address = self.serve()
        self.assertEqual(self.post(address, b"{}", "/v1/unheard").json()["ran"], "no")
        response = self.pool.request("GET", f"http://{address}/v1/search")
        self.assertEqual((response.status, response.json()["ran"]), (400, "no"))

    def test_server_answers_after_malformed_bytes(self) -> None:
        address = self.serve(threads=2)
        for malformed in (
            b"\x00\xff\r\n\r\n",
            b"POST /v1/search HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        ):
            with self.connect(address) as sock:
                sock.sendall(malformed)
                sock.shutdown(socket.SHUT_WR)
                while sock.recv(4096):
                    pass
        response = self.post(address, json.dumps(SEARCH).encode())
        self.assertEqual(response.json()["request_id"], "vm1-r1")

    def test_clients_that_send_too_slowly_are_disconnected_and_their_threads_freed(self) -> None:
        address = self.serve(threads=2, read_timeout_seconds=0.2)
        head = b"POST /v1/search HTTP/1.1\r\nHost: a\r\n"
        partial_requests = (head, head + b"Content-Length: 50\r\n\r\n{")
        socks = [self.connect(address) for _ in range(2)]
        for sock, partial_request in zip(socks, partial_requests, strict=True):
            sock.sendall(partial_request)
        for sock in socks:
            self.assertIn(b"408", sock.recv(4096))
            sock.close()
        response = self.post(address, json.dumps(SEARCH).encode())
        self.assertEqual(response.status, 200)

    def connect(self, address: str) -> socket.socket:
        host, port = address.rsplit(":", 1)
        return socket.create_connection((host, int(port)), timeout=LONG_SECONDS)


class RankTest(PortTest):
    def test_urgent_port_answers_while_archive_holds_every_general_thread(self) -> None:
        tables = CurrentTable()
        tables.install(DEMO_TABLE)
        general = self.serve(threads=4)
        urgent = self.serve(threads=2, rank_filter=SingleRankFilter(tables, Rank.URGENT))
        archive = json.dumps({**SEARCH, "kind": "archive"}).encode()
        with ThreadPoolExecutor(12) as clients:
            pending = [clients.submit(self.post, general, archive) for _ in range(12)]
            while len(self.service.seen) < 4:
                threading.Event().wait(0.01)
            response = self.post(urgent, json.dumps(SEARCH).encode())
            refused = self.post(urgent, archive)
            self.loop.call_soon_threadsafe(self.service.release.set)
            self.assertEqual({future.result().status for future in pending}, {200})
        self.assertEqual(response.status, 200)
        self.assertEqual((refused.status, refused.json()["ran"]), (400, "no"))
        self.assertIn("urgent", refused.json()["reason"])
