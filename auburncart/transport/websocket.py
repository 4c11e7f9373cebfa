"""Websockets between VMs: what their listeners have in common."""

from abc import abstractmethod

from websockets.asyncio.server import Server, ServerConnection, serve

from auburncart.coordination.forwarding.interfaces import VmListener
from auburncart.transport.client import split_address

__all__ = ["WebSocketListener"]


class WebSocketListener(VmListener):
    """Listens for other VMs' websockets, each of which has a task of its own.

    :param address: ``"IP:port"`` to listen on.
    :param most_bytes: longest message taken.
    """

    def __init__(self, address: str, most_bytes: int) -> None:
        self._address = address
        self._most_bytes = most_bytes
        self._listener: Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._address)
        self._listener = await serve(
            self._serve, host, port, ping_interval=None, compression=None, max_size=self._most_bytes
        )

    async def stop(self) -> None:
        """Stop listening and end all websockets."""
        if self._listener is None:
            return
        self._listener.close()
        for socket in list(self._listener.connections):
            socket.transport.abort()
        await self._listener.wait_closed()

    @abstractmethod
    async def _serve(self, socket: ServerConnection) -> None:
        """Serve one websocket until it ends."""
