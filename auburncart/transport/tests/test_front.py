import asyncio
import socket
import unittest

from auburncart.coordination.forwarding.interfaces import Forwarder
from auburncart.platform.messages import PlatformCallerCodec
from auburncart.state.configuration import CallerLimits
from auburncart.state.forward import ForwardAnswer, ForwardedReply, ForwardRequest, Reply
from auburncart.transport.front import ForwardServer, ReadinessServer

SECONDS = 3.0
LIMITS = CallerLimits(1000, 2000, 0.2, 0.4)
HEAD = b"Host: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: 1000\r\n"


class Echo(Forwarder):
    """Answers with the request body; a path that ends in ``slow`` takes long."""

    def __init__(self) -> None:
        self.requests: list[ForwardRequest] = []
        self.ended = 0
        self.is_leaving = False

    @property
    def ready(self) -> bool:
        return not self.is_leaving

    @property
    def leaving(self) -> bool:
        return self.is_leaving

    async def answer(self, request: ForwardRequest) -> ForwardAnswer:
        self.requests.append(request)
        try:
            if request.path.endswith("slow"):
                await asyncio.sleep(60.0)
        finally:
            self.ended += 1
        return ForwardedReply(
            Reply(200, b"OK", ((b"X-Id", request.request_id.encode()),), request.body)
        )


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.echo = Echo()
        probe = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = probe.sockets[0].getsockname()
        probe.close()
        await probe.wait_closed()
        self.server = ForwardServer(
            f"{host}:{port}", self.echo, PlatformCallerCodec(), lambda: LIMITS
        )
        await self.server.start()
        self.reader, self.writer = await asyncio.open_connection(host, port)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.server.stop()

    async def reply(self) -> tuple[int, bytes, bytes]:
        async with asyncio.timeout(SECONDS):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            return int(head.split()[1]), head, await self.reader.readexactly(length)

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        for number in (b"1", b"2", b"3"):
            self.writer.write(b"GET /a HTTP/1.1\r\n" + HEAD % number + b"\r\n")
        for number in (b"1", b"2", b"3"):
            status, head, _ = await self.reply()
            self.assertEqual(status, 200)
            self.assertIn(b"X-Id: " + number, head)

    async def test_bodies_with_a_length_or_in_chunks_are_accepted(self) -> None:
        self.writer.write(b"POST /a HTTP/1.1\r\n" + HEAD % b"1" + b"Content-Length: 3\r\n\r\nabc")
        self.writer.write(
            b"POST /a HTTP/1.1\r\n" + HEAD % b"2" + b"Transfer-Encoding: chunked\r\n\r\n"
            b"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        )
        self.assertEqual([(await self.reply())[2] for _ in range(2)], [b"abc", b"def"])

    async def test_an_offered_upgrade_is_ignored_and_the_connection_stays_usable(self) -> None:
        """The request was answered, then 400 followed as if for the next one."""
        offers = (
            b"Connection: Upgrade\r\nUpgrade: websocket\r\n",
            b"Connection: keep-alive, Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
            b"HTTP2-Settings: AAMAAABk\r\n",
        )
        bodies = (
            (b"\r\n", b""),
            (b"Content-Length: 3\r\n\r\nabc", b"abc"),
            (b"Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n", b"def"),
        )
        requests = [
            (b"POST /a HTTP/1.1\r\n" + HEAD % b"1" + offer + framed, body)
            for offer in offers
            for framed, body in bodies
        ]
        sent = b"".join(request for request, _ in requests)
        for size in (len(sent), 7, 1):
            for start in range(0, len(sent), size):
                self.writer.write(sent[start : start + size])
                if size < len(sent):
                    await asyncio.sleep(0.0)
            for _, body in requests:
                status, _, answered = await self.reply()
                self.assertEqual((status, answered), (200, body))
        self.writer.write(b"GET /a HTTP/1.1\r\n" + HEAD % b"last" + b"\r\n")
        status, head, _ = await self.reply()
        self.assertEqual(status, 200)
        self.assertIn(b"X-Id: last", head)
        names = {name.lower() for request in self.echo.requests for name, _ in request.headers}
        self.assertNotIn(b"upgrade", names)

    async def test_a_tunnel_is_refused_once_and_the_connection_closed(self) -> None:
        self.writer.write(b"CONNECT h:443 HTTP/1.1\r\n" + HEAD % b"1" + b"\r\n")
        self.writer.write(b"GET /a HTTP/1.1\r\n" + HEAD % b"2" + b"\r\n")
        status, _, _ = await self.reply()
        self.assertEqual(status, 400)
        self.assertEqual(await self.reader.read(), b"")
        self.assertEqual(self.echo.requests, [])

    async def test_an_invalid_request_is_refused_and_nothing_after_it_is_read(self) -> None:
        cases = {
            b"rubbish\r\n\r\n": 400,
            b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n": 400,
            b"POST /a HTTP/1.1\r\n" + HEAD % b"1" + b"Content-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n": 400,
            b"GET /a HTTP/1.1\r\n" + HEAD % b"1" + b"X: " + b"x" * 2000 + b"\r\n\r\n": 431,
            b"POST /a HTTP/1.1\r\n" + HEAD % b"1" + b"Content-Length: 9000\r\n\r\n": 413,
            b"GET /a HTTP/1.1\r\nHost": 408,
        }
        for sent, expected in cases.items():
            self.reader, self.writer = await asyncio.open_connection(
                *self.server._address.split(":")
            )
            self.writer.write(sent)
            status, head, _ = await self.reply()
            self.assertEqual((status, b"Connection: close" in head), (expected, True), sent)
            self.assertEqual(await self.reader.read(), b"")
        self.assertEqual(self.echo.requests, [])

    async def test_a_disconnected_caller_cancels_the_work(self) -> None:
        self.writer.write(b"GET /slow HTTP/1.1\r\n" + HEAD % b"1" + b"\r\n")
        async with asyncio.timeout(SECONDS):
            while not self.echo.requests:
                await asyncio.sleep(0.01)
            self.writer.close()
            while not self.echo.ended:
                await asyncio.sleep(0.01)

    async def test_an_idle_connection_is_closed_after_its_timeout(self) -> None:
        async with asyncio.timeout(SECONDS):
            self.assertEqual(await self.reader.read(), b"")

    async def test_a_leaving_vm_answers_and_closes_the_connection(self) -> None:
        self.echo.is_leaving = True
        self.writer.write(b"GET /a HTTP/1.1\r\n" + HEAD % b"1" + b"\r\n")
        status, head, _ = await self.reply()
        self.assertEqual(status, 200)
        self.assertIn(b"Connection: close", head)

    async def test_a_leaving_vm_answers_all_requests_that_it_has_read(self) -> None:
        self.echo.is_leaving = True
        numbers = (b"1", b"2", b"3")
        for number in numbers:
            self.writer.write(b"GET /a HTTP/1.1\r\n" + HEAD % number + b"\r\n")
        heads = [(await self.reply())[1] for _ in numbers]
        self.assertEqual([b"Connection: close" in head for head in heads], [False, False, True])
        self.assertEqual(await self.reader.read(), b"")

    async def test_finishing_waits_for_requests_that_are_still_arriving(self) -> None:
        host, port = self.server._address.split(":")
        idle_reader, idle_writer = await asyncio.open_connection(host, port)
        self.writer.write(b"POST /a HTTP/1.1\r\n" + HEAD % b"1" + b"Content-Length: 4\r\n\r\nab")
        async with asyncio.timeout(SECONDS):
            while not any(item._head_complete for item in self.server.connections):
                await asyncio.sleep(0.01)
            self.echo.is_leaving = True
            finish = asyncio.create_task(self.server.finish())
            self.assertEqual(await idle_reader.read(), b"")
            with self.assertRaises(ConnectionError):
                await asyncio.open_connection(host, port)
            self.assertFalse(finish.done())
            self.writer.write(b"cd")
            self.assertEqual((await self.reply())[2], b"abcd")
            await finish
        idle_writer.close()

    async def test_finishing_answers_requests_of_connections_not_yet_accepted(self) -> None:
        """The kernel has completed the handshakes and received the requests of these callers."""
        self.echo.is_leaving = True
        host, port = self.server._address.split(":")
        callers = [socket.create_connection((host, int(port)), SECONDS) for _ in range(20)]
        for number, caller in enumerate(callers):
            caller.sendall(b"GET /a HTTP/1.1\r\n" + HEAD % b"%d" % number + b"\r\n")
        async with asyncio.timeout(SECONDS):
            await self.server.finish()
        await self.server.stop()
        await asyncio.sleep(0.0)
        for number, caller in enumerate(callers):
            with caller:
                self.assertIn(b"X-Id: %d\r\n" % number, caller.recv(65_536))

    async def test_trailers_are_no_headers_of_the_request(self) -> None:
        self.writer.write(
            b"POST /a HTTP/1.1\r\n" + HEAD % b"1" + b"Transfer-Encoding: chunked\r\n\r\n"
            b"1\r\nf\r\n0\r\nX-Attempt-Id: 2\r\nX-Other: 3\r\n\r\n"
        )
        self.assertEqual((await self.reply())[0], 200)
        self.assertEqual(self.echo.requests[0].request_id, "1")
        self.assertNotIn(b"X-Other", dict(self.echo.requests[0].headers))

    async def test_framing_without_end_is_refused(self) -> None:
        head = b"POST /a HTTP/1.1\r\n" + HEAD % b"1" + b"Transfer-Encoding: chunked\r\n\r\n"
        for start, repeated in (
            (b"1;", b"x"),
            (b"", b"1\r\nx\r\n"),
            (b"0\r\n", b"X-Filler: value\r\n"),
            (b"0\r\nX-Filler: ", b"x"),
        ):
            self.reader, self.writer = await asyncio.open_connection(
                *self.server._address.split(":")
            )
            self.writer.write(head + start + repeated * (200_000 // len(repeated)))
            self.assertIn((await self.reply())[0], (400, 413))
        self.assertEqual(self.echo.requests, [])


class ReadinessTest(unittest.IsolatedAsyncioTestCase):
    async def test_readiness_and_pages(self) -> None:
        ready = False
        probe = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = probe.sockets[0].getsockname()
        probe.close()
        await probe.wait_closed()
        server = ReadinessServer(f"{host}:{port}", lambda: ready, {"/metrics": lambda: b"m 1\n"})
        await server.start()
        reader, writer = await asyncio.open_connection(host, port)
        for ready, status in ((False, b"503"), (True, b"200")):  # noqa: B007
            writer.write(b"GET /r HTTP/1.1\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(status, head)
        writer.write(b"GET /metrics HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(await reader.readexactly(4), b"m 1\n")
        writer.close()
        await server.stop()
