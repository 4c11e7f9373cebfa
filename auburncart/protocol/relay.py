"""Relay protocol, by which VMs read the store through another VM: one question, one answer."""

from typing import Any, NamedTuple

import cbor2
import msgspec

from auburncart.coordination.forwarding.kinds import Entry
from auburncart.exception import HistoryLostError, LinkError, ProtocolError

__all__ = [
    "RelayAnswer",
    "RelayQuestion",
    "decode_answer",
    "decode_question",
    "encode_answer",
    "encode_failure",
    "encode_question",
]

HISTORY_LOST = "history"
STALE = "stale"


class RelayQuestion(NamedTuple):
    """A question for the objects of a kind.

    :param revision: revision after which changes are wanted, None for all objects.
    :param wait: seconds to wait for a change.
    """

    kind: str
    revision: int | None
    wait: float


class RelayAnswer(NamedTuple):
    """Objects, and the revision from which to continue."""

    revision: int
    entries: tuple[Entry, ...]


def encode_question(question: RelayQuestion) -> bytes:
    """Return the CBOR of a question."""
    return cbor2.dumps(list(question))


def decode_question(data: bytes) -> RelayQuestion:
    """Return a question.

    :raises ProtocolError: the data is malformed.
    """
    return _decode(data, RelayQuestion)


def encode_answer(answer: RelayAnswer) -> bytes:
    """Return the CBOR of an answer."""
    return cbor2.dumps(msgspec.to_builtins(answer))


def encode_failure(*, history_lost: bool) -> bytes:
    """Return the CBOR of a failure: the changes are lost, or the store's state is not known."""
    return cbor2.dumps(HISTORY_LOST if history_lost else STALE)


def decode_answer(object_type: type, data: bytes, peer: str) -> RelayAnswer:
    """Return an answer.

    :param object_type: type of the objects.
    :raises HistoryLostError: the VM no longer has the changes.
    :raises LinkError: the VM does not know the current state of the store.
    :raises ProtocolError: the data is malformed.
    """
    try:
        body = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise ProtocolError(str(error), step="relay", peer=peer) from error
    if body == HISTORY_LOST:
        raise HistoryLostError("the VM no longer has the changes", step="relay", peer=peer)
    if body == STALE:
        raise LinkError(
            "the VM does not know the current state of the store", step="relay", peer=peer
        )
    try:
        revision, rows = body
        entries = tuple(_entry(object_type, row) for row in rows)
        return RelayAnswer(int(revision), entries)
    except (msgspec.ValidationError, TypeError, ValueError) as error:
        raise ProtocolError(str(error), step="relay", peer=peer) from error


def _entry(object_type: type, row: Any) -> Entry:
    name, value, revision, fault = row
    decoded = None if value is None else msgspec.convert(value, type=object_type)
    return Entry(name, decoded, revision, fault)


def _decode(data: bytes, schema: Any) -> Any:
    try:
        return msgspec.convert(cbor2.loads(data), type=schema)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as error:
        raise ProtocolError(str(error), step="relay") from error
