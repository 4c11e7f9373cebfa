"""A proxy on loopback through which one side of a connection reaches the other, or does not."""

import asyncio
import contextlib
import itertools
import os
import socket

from auburncart.transport.client import split_address

__all__ = ["Link", "Places"]

CHUNK_BYTES = 65536
NET_SIZE = 250
FIRST_PORT = 20000
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER on, 0 s: closing resets


class Places:
    """Loopback addresses that no other process takes: a network of its own for each process.

    Ports lie below those that the system gives to outgoing connections.
    """

    def __init__(self) -> None:
        high, low = divmod(os.getpid(), NET_SIZE)
        self._net = f"127.{1 + high % NET_SIZE}.{low}"
        self._ports = itertools.count(FIRST_PORT)
        self._hosts = itertools.count(2)

    def port(self) -> str:
        """Return an address for a stand-in."""
        return f"{self._net}.1:{next(self._ports)}"

    def host(self) -> str:
        """Return an IP number for a VM."""
        return f"{self._net}.{next(self._hosts)}"


class Link:
    """Passes connections on to a port, with troubles on command.

    Bytes that a cut holds back go on when it heals, as after a partition of the network.

    :param address: ``"IP:port"`` at which it listens.
    :param target: ``"IP:port"`` to which connections are passed on.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.delay = 0.0
        self.refuses = False
        self._open = {"there": asyncio.Event(), "back": asyncio.Event()}
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.heal()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *split_address(self.address))

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def cut(self, *ways: str) -> None:
        """Hold back bytes of the ways named, ``there`` and ``back``."""
        for way in ways:
            self._open[way].clear()

    def heal(self) -> None:
        """Pass everything on again."""
        self.delay, self.refuses = 0.0, False
        for event in self._open.values():
            event.set()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in list(self._pairs):
            for writer in pair:
                _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuses:
            _reset(writer)
            return
        try:
            onward, back = await asyncio.open_connection(*split_address(self.target))
        except OSError:
            _reset(writer)
            return
        pair = (writer, back)
        self._pairs.add(pair)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, back, "there"))
                group.create_task(self._pump(onward, writer, "back"))
        except* (OSError, asyncio.CancelledError):
            for end in pair:
                _reset(end)
        finally:
            self._tasks.discard(task)
            self._pairs.discard(pair)
            for end in pair:
                end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self.delay:
                await asyncio.sleep(self.delay)
            await self._open[way].wait()
            if not data:
                break
            writer.write(data)
            await writer.drain()
        # The other way ends as well: no side here closes a connection by half.
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
