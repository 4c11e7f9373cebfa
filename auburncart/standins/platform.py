"""Stand-in for the platform: tagged objects, conditional writes, watches and injected failures."""

import asyncio
import itertools
from enum import Enum
from typing import NamedTuple

__all__ = ["PlatformModel", "PlatformOutageError", "StoredBytes", "TagMismatchError", "WriteFault"]


class PlatformOutageError(Exception):
    """The platform gives no reply to this call."""


class TagMismatchError(Exception):
    """A conditional write named a tag that the object does not have."""


class WriteFault(Enum):
    """What is lost of a write: nothing, the request before it takes effect, or only its reply."""

    NONE = "none"
    LOST_REQUEST = "lost_request"
    LOST_REPLY = "lost_reply"


class StoredBytes(NamedTuple):
    """An object with its tag."""

    body: bytes
    etag: str


class PlatformModel:
    """A platform with its objects in memory and with injected failures; runs on one event loop.

    ``calls`` counts all calls; ``reads`` and ``writes`` count those received outside outages.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredBytes] = {}
        self._tag_numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._outage = False
        self._delay = 0.0
        self._write_faults: list[WriteFault] = []
        self._members: list[dict[str, str | int]] = []
        self.calls = 0
        self.reads = 0
        self.writes = 0

    @property
    def objects(self) -> dict[str, StoredBytes]:
        """All objects by path."""
        return self._objects

    def set_outage(self, outage: bool) -> None:
        """Start or end an outage, in which no call gets a reply and no write takes effect."""
        self._outage = outage
        self._notify_watchers()

    def set_delay(self, seconds: float) -> None:
        """Delay every call by this many seconds."""
        self._delay = seconds

    def fail_next_write(self, fault: WriteFault) -> None:
        """Make the next write that has no fault yet fail in this way."""
        self._write_faults.append(fault)

    def set_members(self, members: list[dict[str, str | int]]) -> None:
        """Set the list of VMs."""
        self._members = members

    async def members(self) -> list[dict[str, str | int]]:
        """Return the list of VMs."""
        await self._start_call()
        return self._members

    async def read(self, path: str) -> StoredBytes | None:
        """Return an object, or None."""
        await self._start_call()
        self.reads += 1
        return self._objects.get(path)

    async def watch(self, path: str, etag: str, wait: float) -> StoredBytes | None:
        """Wait until an object's tag differs; None if it does not within ``wait`` seconds."""
        await self._start_call()
        self.reads += 1
        deadline = asyncio.get_running_loop().time() + wait
        while not self._outage:
            stored = self._objects.get(path)
            if stored is not None and stored.etag != etag:
                return stored
            if not await self._wait_for_change(deadline):
                return None
        raise PlatformOutageError(path)

    async def write(self, path: str, body: bytes, etag: str) -> str:
        """Write an object if its tag is ``etag`` and return its new tag; ``""`` means no object."""
        await self._start_call()
        self.writes += 1
        fault = self._write_faults.pop(0) if self._write_faults else WriteFault.NONE
        if fault is WriteFault.LOST_REQUEST:
            raise PlatformOutageError(path)
        tag = self._store(path, body, etag)
        if fault is WriteFault.LOST_REPLY:
            raise PlatformOutageError(path)
        return tag

    def _store(self, path: str, body: bytes, etag: str) -> str:
        stored = self._objects.get(path)
        if (stored.etag if stored else "") != etag:
            raise TagMismatchError(path)
        tag = f'"{next(self._tag_numbers)}"'
        self._objects[path] = StoredBytes(body, tag)
        self._notify_watchers()
        return tag

    async def _start_call(self) -> None:
        self.calls += 1
        if self._delay:
            await asyncio.sleep(self._delay)
        if self._outage:
            raise PlatformOutageError("outage")

    async def _wait_for_change(self, deadline: float) -> bool:
        try:
            async with asyncio.timeout_at(deadline):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
