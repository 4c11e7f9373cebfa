"""Minimal HTTP/1.1 over asyncio streams, and the record of a run."""

import asyncio
import hashlib
import time
from pathlib import Path
from typing import NamedTuple

__all__ = ["Message", "Record", "body_of", "encode_reply", "read_message", "stamp_of"]


class Message(NamedTuple):
    """A request or a reply, with its headers by lower-case name."""

    start_line: tuple[str, ...]
    headers: dict[str, str]
    body: bytes


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, who: str, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {who}: {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body length is given by its headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(tuple(head[0].split(" ", 2)), headers, body)


def encode_reply(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return an encoded reply."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def stamp_of(service: str, request_id: str, status: int = 200) -> str:
    """Return the stamp of a service's reply to a request."""
    return hashlib.sha256(f"{service}\n{request_id}\n{status}".encode()).hexdigest()[:16]


def body_of(service: str, request_id: str) -> bytes:
    """Return the body of a service's reply to a request: four records of 16 bytes."""
    texts = (f"{service}\n{request_id}\n{number}".encode() for number in range(4))
    return b"".join(hashlib.sha256(text).digest()[:16] for text in texts)
