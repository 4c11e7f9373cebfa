"""Merge protocol between VMs, in CBOR: numbered questions and their answers."""

from typing import Any, NamedTuple

import cbor2
import msgspec

from auburncart.exception import ProtocolError
from auburncart.state.forward import PartialAnswer
from auburncart.state.merge import Accepted, Declined, MergeMessage, MergeQuestion

__all__ = [
    "ALL_QUESTIONS",
    "NumberedAnswer",
    "NumberedQuestion",
    "decode_answer",
    "decode_question",
    "encode_answer",
    "encode_cancellation",
    "encode_question",
]

# Number of the answers that say whether a VM declines all questions from now on; earlier versions
# ignore them, for it is the number of no question.
ALL_QUESTIONS = 0
ANSWER_TYPES: dict[str, type] = {
    "accepted": Accepted,
    "declined": Declined,
    "portion": PartialAnswer,
}
ANSWER_NAMES = {answer_type: name for name, answer_type in ANSWER_TYPES.items()}


class NumberedQuestion(NamedTuple):
    """A question, or the cancellation of an earlier one if ``question`` is None."""

    number: int
    question: MergeQuestion | None


class NumberedAnswer(NamedTuple):
    """One of the answers to the question with this number."""

    number: int
    answer: MergeMessage


def encode_question(number: int, question: MergeQuestion, *, scoped: bool) -> bytes:
    """Return the CBOR of a question.

    :param scoped: whether the other VM knows scopes; without one it queries the replicas itself.
    """
    fields = _builtins(question)
    return cbor2.dumps([number, fields if scoped else fields[:-1]])


def encode_cancellation(number: int) -> bytes:
    """Return the CBOR of the cancellation of a question."""
    return cbor2.dumps([number, None])


def encode_answer(number: int, answer: MergeMessage) -> bytes:
    """Return the CBOR of an answer."""
    return cbor2.dumps([number, ANSWER_NAMES[type(answer)], _builtins(answer)])


def decode_question(data: bytes) -> NumberedQuestion:
    """Return a question or cancellation.

    :raises ProtocolError: the data is malformed.
    """
    number, question = _parts(data, 2)
    if question is None:
        return NumberedQuestion(_convert(number, int), None)
    return NumberedQuestion(_convert(number, int), _convert(question, MergeQuestion))


def decode_answer(data: bytes) -> NumberedAnswer:
    """Return an answer.

    :raises ProtocolError: the data is malformed.
    """
    number, name, answer = _parts(data, 3)
    answer_type = ANSWER_TYPES.get(name) if isinstance(name, str) else None
    if answer_type is None:
        raise ProtocolError(f"unknown answer {name!r}", step="merge")
    return NumberedAnswer(_convert(number, int), _convert(answer, answer_type))


def _builtins(value: Any) -> Any:
    return msgspec.to_builtins(value, builtin_types=(bytes,))


def _parts(data: bytes, count: int) -> list[Any]:
    try:
        parts = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise ProtocolError(str(error), step="merge") from error
    if not isinstance(parts, list) or len(parts) != count:
        raise ProtocolError(f"expected {count} parts", step="merge")
    return parts


def _convert(value: Any, schema: Any) -> Any:
    try:
        return msgspec.convert(value, type=schema, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise ProtocolError(str(error), step="merge") from error
