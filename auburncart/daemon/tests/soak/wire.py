"""Minimal HTTP/1.1 over asyncio streams for the stand-ins and callers of the soak."""

import asyncio
import hashlib
from typing import NamedTuple

__all__ = ["RECORD_BYTES", "Message", "encode_reply", "read_message", "records", "reply_stamp"]

RECORD_BYTES = 16
RECORDS = 4  # in each partial answer
DIGEST_CHARS = 16


class Message(NamedTuple):
    """A request or a reply.

    :param start_line: words of the request or status line.
    :param headers: headers by their names in lower case.
    """

    start_line: tuple[str, ...]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message, whose body length is given by its headers.

    :raises asyncio.IncompleteReadError: the connection closed before the end of the message.
    :raises ValueError: the message is not HTTP.
    """
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


def reply_stamp(service: str, request_id: str, status: int = 200) -> str:
    """Return the stamp of a service's reply to a request."""
    text = f"{service}\n{request_id}\n{status}"
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARS]


def records(service: str, request_id: str) -> bytes:
    """Return the body of a service's successful reply to a request."""
    digests = (
        hashlib.sha256(f"{service}\n{request_id}\n{number}".encode()).digest()
        for number in range(RECORDS)
    )
    return b"".join(digest[:RECORD_BYTES] for digest in digests)
