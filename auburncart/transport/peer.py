"""Links between entry VMs over websockets."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection, broadcast
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from auburncart.coordination.interfaces import PeerDialer, PeerLink
from auburncart.exception import LinkError, ProtocolError
from auburncart.protocol import peer as protocol
from auburncart.state.link import LinkMessage

__all__ = ["WebSocketDialer", "WebSocketLink", "WebSocketPeerListener"]

CONNECT_TIMEOUT_SECONDS = 1.0
UPGRADE_TIMEOUT_SECONDS = 2.0
CLOSE_TIMEOUT_SECONDS = 0.5
MAX_UNSENT_BYTES = 4 * 1024 * 1024
MAX_QUEUED_FRAMES = 4
MAX_CONNECTIONS = 256
CLOSE_CODE = 1008
MAX_REASON_BYTES = 120

# Unauthenticated clients that send garbage must not fill the log.
_null_logger = logging.getLogger("auburncart.peer.websockets")
_null_logger.addHandler(logging.NullHandler())
_null_logger.propagate = False


class WebSocketLink(PeerLink):
    """A link over one websocket connection.

    :param connection: the connection; nothing else reads from it.
    :param address: address of the other side.
    """

    def __init__(self, connection: Connection, address: str) -> None:
        self._connection = connection
        self._address = address

    @property
    def address(self) -> str:
        """Address of the other side."""
        return self._address

    def post(self, message: LinkMessage) -> None:
        """Write a message; abort the link if too many bytes are unsent."""
        transport = self._connection.transport
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
            return
        broadcast((self._connection,), protocol.encode_message(message))

    async def receive(self) -> LinkMessage:
        """Wait for a message."""
        try:
            data = await self._connection.recv()
        except ConnectionClosed as error:
            raise LinkError(str(error), step="receive", peer=self._address) from error
        try:
            return protocol.decode_message(data)
        except ProtocolError as error:
            raise ProtocolError(error.reason, step="decode", peer=self._address) from error

    def allow_long_messages(self) -> None:
        """Accept messages up to the protocol's maximum length."""
        self._connection.protocol.max_message_size = protocol.MAX_MESSAGE_BYTES

    async def close(self, reason: str) -> None:
        """Close with a reason, and abort if that takes too long."""
        truncated = reason.encode()[:MAX_REASON_BYTES].decode(errors="ignore")
        try:
            async with asyncio.timeout(2 * CLOSE_TIMEOUT_SECONDS):
                await self._connection.close(CLOSE_CODE, truncated)
        except TimeoutError:
            self._connection.transport.abort()


class WebSocketDialer(PeerDialer):
    """Opens links over websockets."""

    async def connect(self, address: str) -> WebSocketLink:
        """Open a link."""
        try:
            host, port = address.rsplit(":", 1)
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                connection = await connect(
                    f"ws://{address}/",
                    host=host,
                    port=int(port),
                    proxy=None,
                    compression=None,
                    ping_interval=None,
                    open_timeout=None,
                    close_timeout=CLOSE_TIMEOUT_SECONDS,
                    max_size=protocol.MAX_HANDSHAKE_BYTES,
                    max_queue=MAX_QUEUED_FRAMES,
                    user_agent_header=None,
                    logger=_null_logger,
                )
        except (OSError, TimeoutError, ValueError, WebSocketException) as error:
            reason = f"{type(error).__name__}: {error}"
            raise LinkError(reason, step="connect", peer=address) from error
        return WebSocketLink(connection, address)


class _BoundedConnection(ServerConnection):
    """A connection that is aborted before any byte is read if there are too many."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection, or abort it if there are too many."""
        super().connection_made(transport)
        if len(self.server.handler_tasks) > MAX_CONNECTIONS:
            self.transport.abort()


class WebSocketPeerListener:
    """Accepts links on a port and serves each in its own task.

    :param address: ``"IP:port"`` to listen on.
    :param accept: serves one link until it closes.
    """

    def __init__(self, address: str, accept: Callable[[PeerLink], Awaitable[None]]) -> None:
        self._address = address
        self._accept = accept
        self._server: Server | None = None

    @property
    def address(self) -> str:
        """``"IP:port"`` that is listened on."""
        if self._server is None:
            return self._address
        host, port = next(iter(self._server.sockets)).getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen."""
        host, port = self._address.rsplit(":", 1)
        self._server = await serve(
            self._handle,
            host,
            int(port),
            create_connection=_BoundedConnection,
            compression=None,
            ping_interval=None,
            open_timeout=UPGRADE_TIMEOUT_SECONDS,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            max_size=protocol.MAX_HANDSHAKE_BYTES,
            max_queue=MAX_QUEUED_FRAMES,
            server_header=None,
            logger=_null_logger,
        )

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2 * CLOSE_TIMEOUT_SECONDS):
                    await self._server.wait_closed()

    async def _handle(self, connection: ServerConnection) -> None:
        host, port = (connection.remote_address or ("", 0))[:2]
        await self._accept(WebSocketLink(connection, f"{host}:{port}"))
