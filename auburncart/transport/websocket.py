"""Base class of the websocket listeners between VMs."""

import asyncio
import contextlib
from abc import abstractmethod
from collections.abc import Sequence

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.typing import Subprotocol

from auburncart.coordination.forwarding.interfaces import VmListener
from auburncart.transport.client import split_address

__all__ = ["WebSocketListener"]

CLOSE_TIMEOUT_SECONDS = 0.1  # for a handshake that has begun; the end of the process closes it


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
