import asyncio
import unittest

from auburncart.coordination.forwarding.kinds import Changes, Page
from auburncart.exception import LinkError
from auburncart.transport.relay import RelayListener, WebSocketRelayClient


class Slow:
    """Returns an empty list of changes after the wait."""

    def list(self, kind: str) -> Page:
        return Page((), False, 1)

    async def changes(self, kind: str, revision: int, wait: float) -> Changes:
        await asyncio.sleep(wait)
        return Changes((), revision)


class RelaySocketTest(unittest.IsolatedAsyncioTestCase):
    async def test_stopping_does_not_wait_for_questions_or_handshakes(self) -> None:
        """A VM that other VMs have the store's changes from must end within its grace period."""
        listener = RelayListener("127.0.0.1:0", Slow())
        await listener.start()
        host, port = next(iter(listener._listener.sockets)).getsockname()
        client = WebSocketRelayClient({"things": int})
        question = asyncio.create_task(client.changes(f"{host}:{port}", "things", 1, 5.0))
        _, silent = await asyncio.open_connection(host, port)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(1.0):
            await listener.stop()
            with self.assertRaises(LinkError):
                await question
        silent.close()

    async def test_a_cancelled_question_leaves_no_connection_behind(self) -> None:
        listener = RelayListener("127.0.0.1:0", Slow())
        await listener.start()
        host, port = next(iter(listener._listener.sockets)).getsockname()
        client = WebSocketRelayClient({"things": int})
        for _ in range(5):
            task = asyncio.create_task(client.changes(f"{host}:{port}", "things", 1, 5.0))
            await asyncio.sleep(0.05)
            task.cancel()
        await asyncio.sleep(0.2)
        self.assertEqual(len(listener._listener.connections), 0)
        changes = await client.changes(f"{host}:{port}", "things", 1, 0.01)
        self.assertEqual(changes.revision, 1)
        await client.close()
        await listener.stop()
