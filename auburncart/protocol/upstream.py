"""JSON between an entry VM and an upstream.

One sub-query, which every upstream takes::

    POST /v1/query
    {"request_id": "vm1-7", "snapshot": "s7", "deadline_ms": 240,
     "query": {"id": "r1.3", "shard": "portal-01", "kind": "closure", "text": "net 12"}}

Several at once, where ``batch_limit`` is above 1: ``POST /v1/batch`` with ``"queries": [...]``.
Both are answered by::

    {"request_id": "vm1-7", "snapshot": "s7", "condition": "ready",
     "answers": [{"id": "r1.3", "shard": "portal-01", "hits": [...]}]}

An entry of ``answers`` may hold ``"error"`` (a failure code) and ``"reason"`` in place of hits.
"""

from typing import Any, NotRequired, TypedDict

import msgspec

from auburncart.exception import ProtocolError
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.search import ShardAnswer, SubQuery
from auburncart.state.upstream import (
    Batch,
    BatchReply,
    OrderReply,
    UpstreamCondition,
    UpstreamOrder,
)

__all__ = [
    "MAX_REPLY_BYTES",
    "PATH_BATCH",
    "PATH_CANCEL",
    "PATH_ORDER",
    "PATH_QUERY",
    "decode_batch_reply",
    "decode_order_reply",
    "encode_batch",
    "encode_cancel",
    "encode_order",
]

PATH_QUERY = "/v1/query"
PATH_BATCH = "/v1/batch"
PATH_ORDER = "/v1/order"
PATH_CANCEL = "/v1/cancel"
MAX_REPLY_BYTES = 8 * 1024 * 1024

CODES = {code.value: code for code in FailureCode}
CONDITIONS = {condition.value: condition for condition in UpstreamCondition}


class AnswerBody(TypedDict):
    """One entry of a reply."""

    id: str
    shard: str
    hits: NotRequired[list[dict[str, Any]]]
    error: NotRequired[str]
    reason: NotRequired[str]


class ReplyBody(TypedDict):
    """Body of a reply to a query or batch."""

    request_id: str
    snapshot: str
    answers: list[AnswerBody]
    condition: NotRequired[str]


class OrderReplyBody(TypedDict):
    """Body of a reply to an order."""

    request_id: str
    key: str
    accepted: bool
    outcome: NotRequired[Any]
    condition: NotRequired[str]


def encode_batch(batch: Batch, now: float) -> tuple[str, bytes]:
    """Return the path and body of a request.

    :param now: loop time in seconds, against which the deadline is counted.
    """
    head = {
        "request_id": batch.request_id,
        "snapshot": batch.snapshot,
        "deadline_ms": _milliseconds(batch.deadline, now),
    }
    queries = [_query(sub) for sub in batch.sub_queries]
    if len(queries) == 1:
        return PATH_QUERY, msgspec.json.encode({**head, "query": queries[0]})
    return PATH_BATCH, msgspec.json.encode({**head, "queries": queries})


def decode_batch_reply(body: bytes, batch: Batch, peer: str) -> BatchReply:
    """Return the entries of a reply that match the batch.

    :param body: JSON of the reply.
    :param batch: the batch that it must answer.
    :param peer: address of the upstream.
    :raises ProtocolError: the reply is not one to this request.
    """
    fields = _decode(body, ReplyBody, peer)
    if fields["request_id"] != batch.request_id:
        raise ProtocolError("reply to another request", step="match", peer=peer)
    asked = {sub.sub_query_id: sub for sub in batch.sub_queries}
    reply = BatchReply({}, {}, _condition(fields))
    for entry in fields["answers"]:
        sub = asked.get(entry["id"])
        if sub is not None and sub.shard == entry["shard"]:
            _add_entry(reply, entry, sub, fields["snapshot"], peer)
    return reply


def encode_order(order: UpstreamOrder, now: float) -> bytes:
    """Return the body of an order."""
    return msgspec.json.encode(
        {
            "request_id": order.request_id,
            "key": order.key,
            "shard": order.shard,
            "kind": order.kind,
            "order": order.body,
            "deadline_ms": _milliseconds(order.deadline, now),
        }
    )


def decode_order_reply(body: bytes, order: UpstreamOrder, peer: str) -> OrderReply:
    """Return the reply to an order.

    :raises ProtocolError: the reply is not one to this order.
    """
    fields = _decode(body, OrderReplyBody, peer)
    if fields["request_id"] != order.request_id or fields["key"] != order.key:
        raise ProtocolError("reply to another order", step="match", peer=peer)
    return OrderReply(fields["accepted"], fields.get("outcome"), _condition(fields))


def encode_cancel(request_id: str) -> bytes:
    """Return the body of a cancellation."""
    return msgspec.json.encode({"request_id": request_id})


def _query(sub: SubQuery) -> dict[str, str]:
    return {"id": sub.sub_query_id, "shard": sub.shard, "kind": sub.kind, "text": sub.query}


def _milliseconds(deadline: float, now: float) -> int:
    return max(1, int((deadline - now) * 1000))


def _add_entry(
    reply: BatchReply, entry: AnswerBody, sub: SubQuery, snapshot: str, peer: str
) -> None:
    if "error" in entry:
        code = CODES.get(entry["error"], FailureCode.REFUSED)
        reason = entry.get("reason", entry["error"])
        reply.failures[sub.sub_query_id] = Failure(Step.REPLY, peer, reason, code)
    elif snapshot != sub.snapshot:
        reason = f"answered from snapshot {snapshot!r}"
        reply.failures[sub.sub_query_id] = Failure(Step.MATCH, peer, reason, FailureCode.MISMATCH)
    elif "hits" in entry:
        reply.answers[sub.sub_query_id] = ShardAnswer(
            sub.sub_query_id, sub.shard, snapshot, tuple(entry["hits"])
        )


def _condition(fields: Any) -> UpstreamCondition:
    return CONDITIONS.get(fields.get("condition", "ready"), UpstreamCondition.READY)


def _decode(body: bytes, form: Any, peer: str) -> Any:
    try:
        return msgspec.json.decode(body, type=form)
    except RecursionError as error:
        raise ProtocolError("nested too deeply", step="reply", peer=peer) from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(str(error), step="reply", peer=peer) from error
