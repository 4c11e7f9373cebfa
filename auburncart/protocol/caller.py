"""JSON between callers and an entry VM.

A search::

    POST /v1/search
    {"customer": "ladera", "kind": "closure", "query": "net 12", "deadline_ms": 800}

    200 {"request_id": "...", "snapshot": "s7", "hits": [...],
         "coverage": {"asked": 52, "answered": 52, "complete": true, "missing": []}}

An order carries an idempotency key, a UUID of version 7 that the caller creates once and sends
again with ``"repeat": true``::

    POST /v1/order
    {"customer": "ladera", "kind": "closure", "shard": "net-12", "order": "close the road",
     "key": "018f3a5e-7c00-7abc-8def-0123456789ab", "deadline_ms": 5000}

    200 {"request_id": "...", "key": "...", "ran": "yes", "outcome": ..., "repeated": false}

A refusal states whether the request ran::

    429 {"error": "overloaded", "reason": "...", "ran": "no", "step": "queue", "retry_after": 1.5}
"""

from typing import Any, NotRequired, TypedDict

import msgspec

from auburncart.coordination.idempotency import canonical_key
from auburncart.exception import InputError
from auburncart.state.failure import Refusal, RefusalCode
from auburncart.state.order import OrderAnswer, OrderRequest
from auburncart.state.search import SearchAnswer, SearchRequest

__all__ = [
    "MAX_BODY_BYTES",
    "STATUS_BY_CODE",
    "decode_order",
    "decode_search",
    "encode_order_answer",
    "encode_refusal",
    "encode_search_answer",
]

MAX_BODY_BYTES = 64 * 1024
MAX_NAME_LENGTH = 200
MAX_QUERY_LENGTH = 16 * 1024
MAX_SHARDS = 20_000
MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 600_000

STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.CONFLICT: 409,
    RefusalCode.EXPIRED: 410,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.OVERLOADED: 429,
    RefusalCode.UNAVAILABLE: 503,
    RefusalCode.TIMED_OUT: 504,
    RefusalCode.FAILED: 502,
}


class SearchBody(TypedDict):
    """Body of a search request."""

    customer: str
    kind: str
    query: str
    deadline_ms: int
    request_id: NotRequired[str]
    shards: NotRequired[list[str]]


class OrderBody(TypedDict):
    """Body of an order request."""

    customer: str
    kind: str
    shard: str
    key: str
    order: str
    deadline_ms: int
    request_id: NotRequired[str]
    repeat: NotRequired[bool]


def decode_search(body: bytes, request_id: str, now: float) -> SearchRequest:
    """Return the search in a request body.

    :param body: JSON in UTF-8.
    :param request_id: identifier to use if the body has none.
    :param now: loop time in seconds at which the body arrived.
    :raises InputError: the body is not a valid search; nothing was run.

    >>> body = b'{"customer":"c","kind":"k","query":"q","deadline_ms":500}'
    >>> decode_search(body, "r1", 10.0).deadline
    10.5
    """
    fields = _decode(body, SearchBody)
    shards = fields.get("shards", [])
    if len(shards) > MAX_SHARDS or len(set(shards)) != len(shards):
        raise InputError(f"shards: expected at most {MAX_SHARDS} different names", step="parse")
    _check_length(fields["query"], "query", MAX_QUERY_LENGTH)
    return SearchRequest(
        _valid_name(fields.get("request_id", request_id), "request_id"),
        _valid_name(fields["customer"], "customer"),
        _valid_name(fields["kind"], "kind"),
        fields["query"],
        now + _deadline_seconds(fields["deadline_ms"]),
        tuple(_valid_name(shard, "shards") for shard in shards),
    )


def decode_order(body: bytes, request_id: str, now: float) -> OrderRequest:
    """Return the order in a request body.

    :param body: JSON in UTF-8.
    :param request_id: identifier to use if the body has none.
    :param now: loop time in seconds at which the body arrived.
    :raises InputError: the body is not a valid order; nothing was run.
    """
    fields = _decode(body, OrderBody)
    _check_length(fields["order"], "order", MAX_QUERY_LENGTH)
    return OrderRequest(
        _valid_name(fields.get("request_id", request_id), "request_id"),
        canonical_key(fields["key"]),
        _valid_name(fields["customer"], "customer"),
        _valid_name(fields["kind"], "kind"),
        _valid_name(fields["shard"], "shard"),
        fields["order"],
        now + _deadline_seconds(fields["deadline_ms"]),
        fields.get("repeat", False),
    )


def encode_search_answer(answer: SearchAnswer) -> bytes:
    """Return the JSON of an answer with its coverage."""
    coverage = answer.coverage
    missing = [
        {"shard": entry.shard, "step": entry.step.value, "peer": entry.peer, "reason": entry.reason}
        for entry in coverage.missing
    ]
    return msgspec.json.encode(
        {
            "request_id": answer.request_id,
            "snapshot": answer.snapshot,
            "hits": answer.hits,
            "coverage": {
                "asked": coverage.asked,
                "answered": coverage.answered,
                "complete": coverage.complete,
                "missing": missing,
            },
        }
    )


def encode_order_answer(answer: OrderAnswer) -> bytes:
    """Return the JSON of the outcome of an order."""
    return msgspec.json.encode(
        {
            "request_id": answer.request_id,
            "key": answer.key,
            "ran": answer.ran.value,
            "outcome": answer.outcome,
            "repeated": answer.repeated,
        }
    )


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON of a refusal, which states whether the request ran."""
    return msgspec.json.encode(
        {
            "request_id": request_id,
            "error": refusal.code.value,
            "reason": refusal.reason,
            "ran": refusal.ran.value,
            "step": refusal.step.value,
            "peer": refusal.peer,
            "retry_after": refusal.retry_after,
        }
    )


def _decode(body: bytes, schema: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=schema)
    except RecursionError as error:
        raise InputError("nested too deeply", step="parse") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InputError(str(error), step="parse") from error


def _valid_name(text: str, field: str) -> str:
    _check_length(text, field, MAX_NAME_LENGTH)
    if not text or not text.isprintable():
        raise InputError(f"{field}: expected printable text, at least one character", step="parse")
    return text


def _check_length(text: str, field: str, max_length: int) -> None:
    if len(text) > max_length:
        raise InputError(
            f"{field}: {len(text)} characters, expected at most {max_length}", step="parse"
        )


def _deadline_seconds(milliseconds: int) -> float:
    if not MIN_DEADLINE_MS <= milliseconds <= MAX_DEADLINE_MS:
        expected = f"expected {MIN_DEADLINE_MS} to {MAX_DEADLINE_MS}"
        raise InputError(f"deadline_ms: {milliseconds}, {expected}", step="parse")
    return milliseconds / 1000.0
