"""Messages between entry VMs, in CBOR: ``[number, field, field, ...]``.

The number is the index of the message's class in :data:`auburncart.state.link.MESSAGES`. A payload
within a message is ``[number, [field, ...]]``, where the number is its index in
:data:`auburncart.state.payload.PAYLOADS`. Every field is checked against its type when decoded.
CBOR tags are refused, so that only plain data is built.
"""

from typing import Any

import cbor2
import msgspec

from auburncart.exception import ProtocolError
from auburncart.state.link import MESSAGES, Answer, LinkMessage, Publication, Question
from auburncart.state.payload import PAYLOADS

__all__ = ["MAX_HANDSHAKE_BYTES", "MAX_MESSAGE_BYTES", "decode_message", "encode_message"]

MAX_HANDSHAKE_BYTES = 2 * 1024
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_DEPTH = 12
BUILT_IN_TAGS = (
    *range(6), 25, *range(28, 31), *range(35, 38), 52, 54, 100, *range(256, 262), 1004, 43000, 55799
)  # fmt: skip

PAYLOAD_INDEXES: dict[type[LinkMessage], int] = {Publication: 4, Question: 1, Answer: 1}
PAYLOAD_NUMBERS = {cls: number for number, cls in enumerate(PAYLOADS)}
MESSAGE_NUMBERS = {cls: number for number, cls in enumerate(MESSAGES)}


def encode_message(message: LinkMessage) -> bytes:
    """Return the CBOR of a message.

    >>> from auburncart.state.link import Goodbye
    >>> decode_message(encode_message(Goodbye("idle")))
    Goodbye(reason='idle')
    """
    fields = list(message)
    index = PAYLOAD_INDEXES.get(type(message))
    if index is not None:
        fields[index] = (PAYLOAD_NUMBERS[type(fields[index])], fields[index])
    return cbor2.dumps(msgspec.to_builtins([MESSAGE_NUMBERS[type(message)], *fields]))


def decode_message(data: bytes | str) -> LinkMessage:
    """Return the message in a frame.

    :raises ProtocolError: the frame is not a valid message.
    """
    if isinstance(data, str):
        raise ProtocolError("text frame, expected a binary frame", step="decode")
    try:
        number, *fields = _decode_cbor(data)
        return _build_message(_class_at(MESSAGES, number), fields)
    except ProtocolError:
        raise
    except (msgspec.MsgspecError, cbor2.CBORError, TypeError, ValueError, IndexError) as error:
        raise ProtocolError(f"{type(error).__name__}: {error}"[:200], step="decode") from error


def _decode_cbor(data: bytes) -> Any:
    return cbor2.loads(
        data, max_depth=MAX_DEPTH, allow_indefinite=False, allow_duplicate_keys=False,
        semantic_decoders=_REFUSED_TAGS, tag_hook=_refuse_tag,
    )  # fmt: skip


def _build_message(message_class: type[LinkMessage], fields: list[Any]) -> LinkMessage:
    index = PAYLOAD_INDEXES.get(message_class)
    if index is None:
        return msgspec.convert(fields, type=message_class)
    payload_number, payload_fields = fields[index]
    payload = msgspec.convert(payload_fields, type=_class_at(PAYLOADS, payload_number))
    message = msgspec.convert([*fields[:index], [], *fields[index + 1 :]], type=message_class)
    return message_class._make((*message[:index], payload, *message[index + 1 :]))  # type: ignore[attr-defined]


def _class_at(classes: tuple[type[Any], ...], number: Any) -> type[Any]:
    if type(number) is not int or not 0 <= number < len(classes):
        raise ProtocolError(f"unknown number {number!r}"[:80], step="decode")
    return classes[number]


def _refuse_tag(*found: Any) -> Any:
    raise ProtocolError("CBOR tag, expected plain data", step="decode")


_REFUSED_TAGS = dict.fromkeys(BUILT_IN_TAGS, _refuse_tag)
