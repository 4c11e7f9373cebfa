"""Base class of the websocket listeners between VMs."""

import asyncio
import contextlib
from abc import abstractmethod
from collections.abc import Sequence

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.frames import DATA_OPCODES, Frame, Opcode
from websockets.protocol import Event
from websockets.typing import Subprotocol

from auburncart.coordination.forwarding.interfaces import VmListener
from auburncart.transport.client import split_address

__all__ = ["BoundedClientConnection", "WebSocketListener"]

CLOSE_TIMEOUT_SECONDS = 0.1  # for a handshake that has begun; the end of the process closes it
MAX_FRAGMENTS = 1000  # of one message
PIECE_BYTES = 8192  # of received bytes; thousands of frames at most
MAX_UNSENT_PONG_BYTES = 65_536  # beside a message of the maximum size


class _BoundedConnection(Connection):
    """Aborts a websocket whose other side sends fragments or pings without end.

    The library bounds the bytes of a message, not the number of its fragments, and queues the pong
    for each ping.
    """

    _fragments = 0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in pieces, and none after a bound was exceeded."""
        for offset in range(0, len(data), PIECE_BYTES):
            if self.transport.is_closing():
                return
            super().data_received(data[offset : offset + PIECE_BYTES])

    def process_event(self, event: Event) -> None:
        """Process a frame unless it exceeds a bound."""
        if isinstance(event, Frame) and self._exceeds_bound(event):
            self.transport.abort()
            return
        super().process_event(event)

    def _exceeds_bound(self, frame: Frame) -> bool:
        if frame.opcode in DATA_OPCODES:
            self._fragments = 0 if frame.fin else self._fragments + 1
            return self._fragments > MAX_FRAGMENTS
        max_unsent = (self.protocol.max_message_size or 0) + MAX_UNSENT_PONG_BYTES
        return frame.opcode is Opcode.PING and self.transport.get_write_buffer_size() > max_unsent


class BoundedClientConnection(_BoundedConnection, ClientConnection):
    """A websocket to another VM."""


class _BoundedServerConnection(_BoundedConnection, ServerConnection):
    """A websocket of another VM."""


class WebSocketListener(VmListener):
    """Accepts websockets of other VMs and serves each in its own task.

    :param address: ``"IP:port"`` to listen on.
    :param max_bytes: maximum message size.
    :param subprotocols: versions of the messages beside the first one, which has no name.
    """

    def __init__(
        self, address: str, max_bytes: int, subprotocols: Sequence[Subprotocol] = ()
    ) -> None:
        self._address = address
        self._max_bytes = max_bytes
        self._subprotocols = subprotocols
        self._listener: Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def sockets(self) -> set[ServerConnection]:
        """The open websockets."""
        return self._listener.connections if self._listener is not None else set()

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._address)
        self._listener = await serve(
            self._run,
            host,
            port,
            ping_interval=None,
            compression=None,
            max_size=self._max_bytes,
            select_subprotocol=self._select_subprotocol,
            create_connection=_BoundedServerConnection,
        )

    async def stop(self) -> None:
        """Stop listening and close all websockets."""
        if self._listener is None:
            return
        self._listener.close()
        for socket in list(self._listener.connections):
            socket.transport.abort()
        # A task may be waiting for something else than its websocket, such as a change.
        for task in list(self._tasks):
            task.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self._listener.wait_closed()

    async def _run(self, socket: ServerConnection) -> None:
        """Serve one websocket in a task that ends when the listener stops."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(socket)
        finally:
            self._tasks.discard(task)

    def _select_subprotocol(
        self, socket: ServerConnection, offered: Sequence[Subprotocol]
    ) -> Subprotocol | None:
        return next((name for name in self._subprotocols if name in offered), None)

    @abstractmethod
    async def _serve(self, socket: ServerConnection) -> None:
        """Serve one websocket until it closes."""
