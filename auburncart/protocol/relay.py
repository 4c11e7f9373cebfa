"""What VMs say to each other about the store, as CBOR: one question, one answer."""

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
    """A question for a kind's objects.

    :param revision: revision after which to tell the changes, None for all objects.
    :param wait: seconds to wait for a change.
    """

    kind: str
    revision: int | None
    wait: float


class RelayAnswer(NamedTuple):
    """Objects, and the revision at which to go on."""

    revision: int
    entries: tuple[Entry, ...]


def encode_question(question: RelayQuestion) -> bytes:
    """Return a question's bytes."""
    return cbor2.dumps(list(question))


def decode_question(data: bytes) -> RelayQuestion:
    """Return a question.

    :raises ProtocolError: the bytes do not have the agreed form.
    """
    return _decode(data, RelayQuestion)


def encode_answer(answer: RelayAnswer) -> bytes:
    """Return an answer's bytes."""
    return cbor2.dumps(msgspec.to_builtins(answer))


def encode_failure(*, history_lost: bool) -> bytes:
    """Return the answer that there is none: changes are forgotten, or nothing is known for sure."""
    return cbor2.dumps(HISTORY_LOST if history_lost else STALE)


def decode_answer(kind_type: type, data: bytes, peer: str) -> RelayAnswer:
    """Return an answer.

    :param kind_type: type of the objects.
    :raises HistoryLostError: the VM no longer knows the changes.
    :raises LinkError: it does not know the store's state itself.
    :raises ProtocolError: the bytes do not have the agreed form.
    """
    try:
        body = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise ProtocolError(str(error), step="relay", peer=peer) from error
    if body == HISTORY_LOST:
        raise HistoryLostError("the changes are no longer known", step="relay", peer=peer)
    if body == STALE:
        raise LinkError("it does not know the store's state", step="relay", peer=peer)
    try:
        revision, rows = body
        entries = tuple(_entry(kind_type, row) for row in rows)
        return RelayAnswer(int(revision), entries)
    except (msgspec.ValidationError, TypeError, ValueError) as error:
        raise ProtocolError(str(error), step="relay", peer=peer) from error


def _entry(kind_type: type, row: Any) -> Entry:
    name, value, revision, fault = row
    decoded = None if value is None else msgspec.convert(value, type=kind_type)
    return Entry(name, decoded, revision, fault)


def _decode(data: bytes, form: Any) -> Any:
    try:
        return msgspec.convert(cbor2.loads(data), type=form)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as error:
        raise ProtocolError(str(error), step="relay") from error
