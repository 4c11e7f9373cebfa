import asyncio
import unittest

from auburncart.exception import StoreUnavailableError
from auburncart.transport.store_client import StoreCall, StoreClient

TIMEOUT_SECONDS = 0.2
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CONCURRENT_CALLS = 4
CALL = StoreCall("GET", "/")


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """A store whose open connections can go silent, while new ones work."""

    async def asyncSetUp(self) -> None:
        self.silent: set[asyncio.StreamWriter] = set()
        self.open: set[asyncio.StreamWriter] = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.client = StoreClient(f"127.0.0.1:{port}", 1000, call_timeout_seconds=TIMEOUT_SECONDS)

    async def asyncTearDown(self) -> None:
        self.client.close()
        for writer in self.open:
            writer.close()
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        while await reader.readline():
            while await reader.readline() not in (b"\r\n", b""):
                pass
            await asyncio.sleep(0.01)
            if writer not in self.silent:
                writer.write(REPLY)

    async def test_after_a_lost_reply_the_next_call_uses_no_connection_from_before(self) -> None:
        """Each idle connection that had gone silent as well cost one more timeout."""
        await asyncio.gather(*(self.client.call(CALL) for _ in range(CONCURRENT_CALLS)))
        self.silent = set(self.open)
        with self.assertRaises(StoreUnavailableError):
            await self.client.call(CALL)
        reply = await self.client.call(CALL)
        self.assertEqual(reply.status, 200)
