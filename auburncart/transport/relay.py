"""Websockets between VMs that relay the store's changes."""

import asyncio
from typing import Any

from websockets.asyncio.client import ClientConnection as WebSocket
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from auburncart.coordination.forwarding.kinds import Changes, Page
from auburncart.coordination.forwarding.relay import RelayClient, RelayServer
from auburncart.exception import (
    HistoryLostError,
    LinkError,
    ProtocolError,
    StoreUnavailableError,
)
from auburncart.protocol.relay import (
    RelayAnswer,
    RelayQuestion,
    decode_answer,
    decode_question,
    encode_answer,
    encode_failure,
    encode_question,
)
from auburncart.transport.websocket import BoundedClientConnection, WebSocketListener

__all__ = ["RelayListener", "WebSocketRelayClient"]

CONNECT_TIMEOUT_SECONDS = 0.5  # a round trip within a data centre takes a millisecond
ANSWER_TIMEOUT_SECONDS = 1.0  # beyond the wait of a question; a paused VM does not answer
MAX_MESSAGE_BYTES = 8_000_000  # a list of all replicas at the target size is about 3 MB


class WebSocketRelayClient(RelayClient):
    """Keeps one websocket per kind and VM.

    :param types: type of the objects of each kind.
    """

    def __init__(self, types: dict[str, type]) -> None:
        self._types = types
        self._sockets: dict[tuple[str, str], WebSocket] = {}

    async def list(self, address: str, kind: str) -> Page:
        """Return all objects of a kind that a VM knows."""
        answer = await self._ask(address, RelayQuestion(kind, None, 0.0))
        return Page(answer.entries, False, answer.revision)

    async def changes(self, address: str, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes that a VM reports."""
        answer = await self._ask(address, RelayQuestion(kind, revision, wait))
        return Changes(answer.entries, answer.revision)

    async def close(self) -> None:
        """Close all websockets."""
        sockets, self._sockets = self._sockets, {}
        for socket in sockets.values():
            socket.transport.abort()

    async def _ask(self, address: str, question: RelayQuestion) -> RelayAnswer:
        key = (address, question.kind)
        try:
            socket = self._sockets.pop(key, None) or await self._open(address)
            try:
                async with asyncio.timeout(question.wait + ANSWER_TIMEOUT_SECONDS):
                    await socket.send(encode_question(question))
                    data = await socket.recv(decode=False)
            except BaseException:
                # A late answer must not be taken for the answer to the next question.
                socket.transport.abort()
                raise
        except (OSError, TimeoutError, WebSocketException) as error:
            reason = f"{type(error).__name__}: {error}"
            raise LinkError(reason, step="relay", peer=address) from error
        self._sockets[key] = socket
        try:
            return decode_answer(self._types[question.kind], data, address)
        except ProtocolError as error:
            raise LinkError(error.reason, step="relay", peer=address) from error

    async def _open(self, address: str) -> WebSocket:
        return await connect(
            f"ws://{address}/",
            open_timeout=CONNECT_TIMEOUT_SECONDS,
            ping_interval=None,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            proxy=None,
            create_connection=BoundedClientConnection,
        )


class RelayListener(WebSocketListener):
    """Answers other VMs' questions, with one task per websocket.

    :param address: ``"IP:port"`` to listen on.
    :param server: provides the objects that this VM knows.
    """

    def __init__(self, address: str, server: RelayServer) -> None:
        super().__init__(address, MAX_MESSAGE_BYTES)
        self._server = server

    async def _serve(self, socket: ServerConnection) -> None:
        """Answer questions in order."""
        try:
            async for data in socket:
                await socket.send(await self._answer(data))
        except ConnectionClosed:
            return  # the other VM has closed the websocket or stopped

    async def _answer(self, data: Any) -> bytes:
        try:
            question = decode_question(data if isinstance(data, bytes) else data.encode())
            if question.revision is None:
                page = self._server.list(question.kind)
                return encode_answer(RelayAnswer(page.revision, page.entries))
            changes = await self._server.changes(question.kind, question.revision, question.wait)
            return encode_answer(RelayAnswer(changes.revision, changes.entries))
        except HistoryLostError:
            return encode_failure(history_lost=True)
        except (ProtocolError, StoreUnavailableError):
            return encode_failure(history_lost=False)
