"""A TCP proxy on loopback that can delay, block, refuse and reset connections."""

import asyncio
import contextlib
import itertools
import os
import socket

from auburncart.transport.client import split_address

__all__ = ["AddressPool", "TcpProxy"]

CHUNK_BYTES = 65536
NET_SIZE = 250
FIRST_PORT = 20000
FIRST_CALLER_HOST = 200  # above those of VMs
DEFAULT_HOST = "127.0.0.1"
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER on with 0 s: closing sends RST


class AddressPool:
    """Loopback addresses that no other process uses: each process has its own subnet.

    Ports are below the range of ephemeral ports.
    """

    def __init__(self) -> None:
        high, low = divmod(os.getpid(), NET_SIZE)
        self._net = f"127.{1 + high % NET_SIZE}.{low}"
        self._ports = itertools.count(FIRST_PORT)
        self._hosts = itertools.count(2)

    def next_address(self) -> str:
        """Return ``"IP:port"`` for a stand-in."""
        return f"{self._net}.1:{next(self._ports)}"

    def next_host(self) -> str:
        """Return an IP address for a VM."""
        return f"{self._net}.{next(self._hosts)}"

    def caller_host(self, number: int) -> str:
        """Return an IP address for a caller, from 0 to 49."""
        return f"{self._net}.{FIRST_CALLER_HOST + number}"


class TcpProxy:
    """Forwards connections to a target, with faults on command.

    Bytes held back by a block are delivered when it is healed, as after a network partition.

    :param address: ``"IP:port"`` at which it listens.
    :param target: ``"IP:port"`` to which connections are forwarded.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.delay = 0.0
        self.refusing = False
        self._flowing = {"forward": asyncio.Event(), "backward": asyncio.Event()}
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.heal()

    async def start(self) -> None:
        await self.listen()

    async def listen(self) -> None:
        """Accept connections, unless the proxy does already."""
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, *split_address(self.address))

    def stop_listening(self) -> None:
        """Refuse connections, as a host without the target's process does."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def stop(self) -> None:
        self.stop_listening()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def block(self, *directions: str) -> None:
        """Hold back the bytes of the named directions, ``forward`` and ``backward``."""
        for direction in directions:
            self._flowing[direction].clear()

    def heal(self) -> None:
        """End all faults and deliver the bytes held back."""
        self.delay, self.refusing = 0.0, False
        for event in self._flowing.values():
            event.set()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in list(self._pairs):
            for writer in pair:
                _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            _reset(writer)
            return
        host = writer.get_extra_info("peername")[0]
        try:
            # The target sees the address of a caller that has one of its own.
            target_reader, target_writer = await asyncio.open_connection(
                *split_address(self.target),
                local_addr=None if host == DEFAULT_HOST else (host, 0),
            )
        except OSError:
            _reset(writer)
            return
        pair = (writer, target_writer)
        self._pairs.add(pair)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            async with asyncio.TaskGroup() as task_group:
                task_group.create_task(self._pump(reader, target_writer, "forward"))
                task_group.create_task(self._pump(target_reader, writer, "backward"))
        except* (OSError, asyncio.CancelledError):
            for side in pair:
                _reset(side)
        finally:
            self._tasks.discard(task)
            self._pairs.discard(pair)
            for side in pair:
                side.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self.delay:
                await asyncio.sleep(self.delay)
            await self._flowing[direction].wait()
            if not data:
                break
            writer.write(data)
            await writer.drain()
        # The other direction ends as well: no side here half-closes a connection.
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
