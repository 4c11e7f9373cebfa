"""Base class of the websocket listeners between VMs."""

from abc import abstractmethod

from websockets.asyncio.server import Server, ServerConnection, serve

from auburncart.coordination.forwarding.interfaces import VmListener
from auburncart.transport.client import split_address

__all__ = ["WebSocketListener"]


class WebSocketListener(VmListener):
    """Accepts websockets of other VMs and serves each in its own task.

    :param address: ``"IP:port"`` to listen on.
    :param max_bytes: maximum message size.
    """

    def __init__(self, address: str, max_bytes: int) -> None:
        self._address = address
        self._max_bytes = max_bytes
        self._listener: Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._address)
        self._listener = await serve(
            self._serve, host, port, ping_interval=None, compression=None, max_size=self._max_bytes
        )

    async def stop(self) -> None:
        """Stop listening and close all websockets."""
        if self._listener is None:
            return
        self._listener.close()
        for socket in list(self._listener.connections):
            socket.transport.abort()
        await self._listener.wait_closed()

    @abstractmethod
    async def _serve(self, socket: ServerConnection) -> None:
        """Serve one websocket until it closes."""
