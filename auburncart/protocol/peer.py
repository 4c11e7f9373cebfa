"""Messages between entry VMs as CBOR: ``[number, field, field, ...]``.

The number is the index in :data:`auburncart.state.MESSAGES`; a payload within a message is
``[number, [field, ...]]`` by its index in :data:`auburncart.state.PAYLOADS`. Every field is checked
against its type on arrival. CBOR tags are refused, so that nothing but plain data is built.
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
PAYLOAD_NUMBERS = {kind: number for number, kind in enumerate(PAYLOADS)}
MESSAGE_NUMBERS = {kind: number for number, kind in enumerate(MESSAGES)}


def encode_message(message: LinkMessage) -> bytes:
    """Return the bytes of a message.

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

    :raises ProtocolError: the frame does not have the form of a message.
    """
    if isinstance(data, str):
        raise ProtocolError("text frame, expected a binary one", step="decode")
    try:
        number, *fields = _plain(data)
        return _message(_kind(MESSAGES, number), fields)
    except ProtocolError:
        raise
    except (msgspec.MsgspecError, cbor2.CBORError, TypeError, ValueError, IndexError) as error:
        raise ProtocolError(f"{type(error).__name__}: {error}"[:200], step="decode") from error


def _plain(data: bytes) -> Any:
    return cbor2.loads(
        data, max_depth=MAX_DEPTH, allow_indefinite=False, allow_duplicate_keys=False,
        semantic_decoders=_REFUSED, tag_hook=_refuse_tag,
    )  # fmt: skip


def _message(kind: type[LinkMessage], fields: list[Any]) -> LinkMessage:
    index = PAYLOAD_INDEXES.get(kind)
    if index is None:
        return msgspec.convert(fields, type=kind)
    payload_number, payload_fields = fields[index]
    payload = msgspec.convert(payload_fields, type=_kind(PAYLOADS, payload_number))
    message = msgspec.convert([*fields[:index], [], *fields[index + 1 :]], type=kind)
    return kind._make((*message[:index], payload, *message[index + 1 :]))  # type: ignore[attr-defined]


def _kind(kinds: tuple[type[Any], ...], number: Any) -> type[Any]:
    if type(number) is not int or not 0 <= number < len(kinds):
        raise ProtocolError(f"unknown number {number!r}"[:80], step="decode")
    return kinds[number]


def _refuse_tag(*found: Any) -> Any:
    raise ProtocolError("CBOR tag, expected plain data", step="decode")


_REFUSED = dict.fromkeys(BUILT_IN_TAGS, _refuse_tag)
