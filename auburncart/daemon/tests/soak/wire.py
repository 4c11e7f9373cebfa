"""HTTP/1.1 as the stand-ins and the callers of the soak need it, over asyncio's streams."""

import asyncio
import hashlib
from typing import NamedTuple

__all__ = ["RECORD_BYTES", "Message", "proof", "read_message", "records", "reply"]

RECORD_BYTES = 16  # of one record in a part
RECORDS = 4  # in each part
DIGEST_CHARS = 16


class Message(NamedTuple):
    """A request or a reply.

    :param start: words of its first line.
    :param fields: headers by their names in lower case.
    """

    start: tuple[str, ...]
    fields: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message that states its length.

    :raises asyncio.IncompleteReadError: the connection ended before its end.
    :raises ValueError: it is not HTTP.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in head[1:] if line)
    fields = {name.strip().lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(tuple(head[0].split(" ", 2)), fields, body)


def reply(status: int, body: bytes = b"", fields: dict[str, str] | None = None) -> bytes:
    """Return an encoded reply."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def proof(service: str, request_id: str, status: int = 200) -> str:
    """Return the stamp of a service's reply to a request."""
    text = f"{service}\n{request_id}\n{status}"
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARS]


def records(service: str, request_id: str) -> bytes:
    """Return the body of a service's good reply to a request: some records."""
    digests = (
        hashlib.sha256(f"{service}\n{request_id}\n{number}".encode()).digest()
        for number in range(RECORDS)
    )
    return b"".join(digest[:RECORD_BYTES] for digest in digests)
