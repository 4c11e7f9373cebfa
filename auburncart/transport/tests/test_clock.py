import asyncio
import time
import unittest

from auburncart.platform.messages import PlatformCallerCodec
from auburncart.transport.clock import SuspendAwareLoop
from auburncart.transport.front import ForwardServer
from auburncart.transport.tests.test_front import HEAD, LIMITS, Echo

STALL_SECONDS = 0.3
MAX_ERROR_SECONDS = 0.1


class LateReadTest(unittest.TestCase):
    def test_a_request_read_late_has_less_time_left(self) -> None:
        """A loop that is busy reads a request late; its replica was then told too long a time."""
        with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
            runner.run(self.send_during_a_stall())

    async def send_during_a_stall(self) -> None:
        echo = Echo()
        server = ForwardServer("127.0.0.1:0", echo, PlatformCallerCodec(), lambda: LIMITS)
        await server.start()
        assert server._server is not None
        reader, writer = await asyncio.open_connection(*server._server.sockets[0].getsockname())
        for number, stall in ((b"1", 0.0), (b"2", STALL_SECONDS)):
            await asyncio.sleep(0.05)
            sent_at = asyncio.get_running_loop().time()
            writer.write(b"GET /a HTTP/1.1\r\n" + HEAD % number + b"\r\n")
            time.sleep(stall)  # noqa: ASYNC251, the loop is to be late
            await reader.readuntil(b"\r\n\r\n")
            self.assertAlmostEqual(
                echo.requests[-1].arrived, sent_at, delta=MAX_ERROR_SECONDS, msg=f"stall {stall}"
            )
        writer.close()
        await server.stop()
