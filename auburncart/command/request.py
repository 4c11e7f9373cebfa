"""``auburncart search`` and ``auburncart order``: send one request and print the answer."""

import secrets
import sys
import time

import urllib3
from urllib3.exceptions import HTTPError

from auburncart.coordination.idempotency import make_key
from auburncart.exception import AuburncartError

__all__ = ["new_key", "order", "post", "search"]

TIMEOUT_MARGIN_SECONDS = 5.0
EXIT_NOT_ANSWERED = 1


def search(
    query: str,
    *,
    to: str,
    customer: str,
    kind: str,
    deadline_ms: int = 1000,
    shard: list[str] | None = None,
) -> int:
    """Send a search and print its answer with coverage as JSON.

    :param query: query text.
    :param to: ``IP:port`` of an entry VM.
    :param customer: customer on whose account it runs.
    :param kind: kind of work.
    :param deadline_ms: deadline of the search in milliseconds.
    :param shard: search only this shard; may be repeated.
    """
    body: dict[str, object] = {
        "customer": customer,
        "kind": kind,
        "query": query,
        "deadline_ms": deadline_ms,
    }
    if shard:
        body["shards"] = shard
    status, text = post(to, "/v1/search", body, deadline_ms / 1000.0)
    sys.stdout.write(text + "\n")
    return 0 if status == 200 and '"complete":true' in text else EXIT_NOT_ANSWERED


def order(
    text: str,
    *,
    to: str,
    customer: str,
    kind: str,
    shard: str,
    key: str = "",
    repeat: bool = False,
    deadline_ms: int = 5000,
) -> int:
    """Send an order, which takes effect at most once, and print its outcome as JSON.

    :param text: text of the order.
    :param to: ``IP:port`` of an entry VM.
    :param customer: customer on whose account it runs.
    :param kind: kind of work.
    :param shard: shard that executes the order.
    :param key: idempotency key, a UUID of version 7; by default a new one is generated and printed.
        Repeat an order only with the same key.
    :param repeat: an order with this key was sent before.
    :param deadline_ms: milliseconds to wait for the outcome.
    """
    body: dict[str, object] = {
        "customer": customer,
        "kind": kind,
        "shard": shard,
        "key": key or new_key(),
        "repeat": repeat,
        "order": text,
        "deadline_ms": deadline_ms,
    }
    status, reply = post(to, "/v1/order", body, deadline_ms / 1000.0)
    sys.stdout.write(reply + "\n")
    return 0 if status == 200 and '"ran":"yes"' in reply else EXIT_NOT_ANSWERED


def new_key() -> str:
    """Return a new idempotency key."""
    return make_key(time.time(), secrets.randbits(80))


def post(address: str, path: str, body: dict[str, object], seconds: float) -> tuple[int, str]:
    """Send JSON by POST without retries and return the status and text of the reply.

    :param seconds: deadline of the request.
    :raises AuburncartError: no reply arrived.
    """
    timeout = urllib3.Timeout(connect=TIMEOUT_MARGIN_SECONDS, read=seconds + TIMEOUT_MARGIN_SECONDS)
    try:
        response = urllib3.request(
            "POST", f"http://{address}{path}", json=body, timeout=timeout, retries=False
        )
    except HTTPError as error:
        raise AuburncartError(str(error), step="send", peer=address) from error
    return response.status, response.data.decode("utf-8", "replace")
