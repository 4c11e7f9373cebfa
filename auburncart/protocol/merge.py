"""Shards that one VM asks for another, as CBOR: numbered questions, and their answers."""

from typing import Any, NamedTuple

import cbor2
import msgspec

from auburncart.exception import ProtocolError
from auburncart.state.forward import PartialAnswer
from auburncart.state.merge import Declined, MergeAnswer, MergeQuestion

__all__ = [
    "NumberedAnswer",
    "NumberedQuestion",
    "decode_answer",
    "decode_question",
    "encode_answer",
    "encode_cancellation",
    "encode_question",
]

FORMS: dict[str, type] = {"portion": PartialAnswer, "declined": Declined}
NAMES = {form: name for name, form in FORMS.items()}


class NumberedQuestion(NamedTuple):
    """A question, or the withdrawal of an earlier one if ``question`` is None."""

    number: int
    question: MergeQuestion | None


class NumberedAnswer(NamedTuple):
    """One of the answers to the question with a number."""

    number: int
    answer: MergeAnswer


def encode_question(number: int, question: MergeQuestion) -> bytes:
    """Return a question's bytes."""
    return cbor2.dumps([number, _builtins(question)])


def encode_cancellation(number: int) -> bytes:
    """Return the bytes that say that answers are no longer waited for."""
    return cbor2.dumps([number, None])


def encode_answer(number: int, answer: MergeAnswer) -> bytes:
    """Return an answer's bytes."""
    return cbor2.dumps([number, NAMES[type(answer)], _builtins(answer)])


def decode_question(data: bytes) -> NumberedQuestion:
    """Return a question or a withdrawal.

    :raises ProtocolError: the bytes do not have the agreed form.
    """
    number, question = _parts(data, 2)
    if question is None:
        return NumberedQuestion(_convert(number, int), None)
    return NumberedQuestion(_convert(number, int), _convert(question, MergeQuestion))


def decode_answer(data: bytes) -> NumberedAnswer:
    """Return an answer.

    :raises ProtocolError: the bytes do not have the agreed form.
    """
    number, name, answer = _parts(data, 3)
    form = FORMS.get(name) if isinstance(name, str) else None
    if form is None:
        raise ProtocolError(f"unknown answer {name!r}", step="merge")
    return NumberedAnswer(_convert(number, int), _convert(answer, form))


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


def _convert(value: Any, form: Any) -> Any:
    try:
        return msgspec.convert(value, type=form, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise ProtocolError(str(error), step="merge") from error
