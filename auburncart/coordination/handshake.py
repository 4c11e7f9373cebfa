"""The handshake of a link: each side proves that it holds a key before other messages count."""

import asyncio
import hashlib
import hmac
import secrets
from typing import NamedTuple, TypeVar

from auburncart.coordination.interfaces import PeerLink
from auburncart.exception import LinkError, ProtocolError
from auburncart.state.link import Hello, LinkMessage, Proof
from auburncart.state.member import Member

__all__ = ["KeyRing", "run_handshake"]

PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_SECONDS = 2.0
NONCE_BYTES = 16
DIALLER = "dialler"
LISTENER = "listener"
M = TypeVar("M", bound=LinkMessage)


class KeyRing:
    """Shared keys: this VM proves the first one, and accepts a proof of any.

    :param keys: the keys; two during a key rotation.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        if not keys or not all(keys):
            raise ValueError("a link between VMs needs at least one key, and none may be empty")
        self._keys = tuple(key.encode() for key in keys)

    def __repr__(self) -> str:
        return f"KeyRing({len(self._keys)} keys)"

    def prove(self, text: str) -> str:
        """Return the proof of a text with the first key."""
        return _hmac(self._keys[0], text)

    def matching_ring(self, text: str, code: str) -> "KeyRing | None":
        """Return a ring of only the key with which ``code`` proves ``text``, None if none does."""
        for key in self._keys:
            if hmac.compare_digest(_hmac(key, text), code):
                return KeyRing((key.decode(),))
        return None


class _Transcript(NamedTuple):
    """The hello messages of both sides, which both proofs cover."""

    dialler: Hello
    listener: Hello

    def text(self, role: str) -> str:
        """Return the text that one side proves.

        :param role: ``DIALLER`` or ``LISTENER``, so that a proof cannot be sent back.
        """
        parts = [role, str(PROTOCOL_VERSION)]
        for hello in self:
            member = hello.member
            parts += [member.address, member.data_centre, str(member.incarnation), hello.nonce]
        return "|".join(parts)


async def run_handshake(link: PeerLink, own: Member, keys: KeyRing, *, dialled: bool) -> Member:
    """Exchange hello messages and proofs, and return the other side.

    :param dialled: whether this side opened the link.
    :raises ProtocolError: the other side sent something else, or its proof is wrong.
    :raises LinkError: the link ended, or the other side was too slow.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            return await (_dialler_handshake if dialled else _listener_handshake)(link, own, keys)
    except TimeoutError as error:
        raise LinkError("handshake timed out", step="greet", peer=link.address) from error


async def _dialler_handshake(link: PeerLink, own: Member, keys: KeyRing) -> Member:
    hello = _make_hello(own)
    link.post(hello)
    transcript = _Transcript(hello, await _receive_hello(link))
    link.post(Proof(keys.prove(transcript.text(DIALLER))))
    proof = _expect(await link.receive(), Proof, link)
    if keys.matching_ring(transcript.text(LISTENER), proof.code) is None:
        raise _key_error(link)
    return transcript.listener.member


async def _listener_handshake(link: PeerLink, own: Member, keys: KeyRing) -> Member:
    theirs = await _receive_hello(link)
    hello = _make_hello(own)
    link.post(hello)
    transcript = _Transcript(theirs, hello)
    proof = _expect(await link.receive(), Proof, link)
    proven = keys.matching_ring(transcript.text(DIALLER), proof.code)
    if proven is None:
        raise _key_error(link)
    link.post(Proof(proven.prove(transcript.text(LISTENER))))
    return theirs.member


async def _receive_hello(link: PeerLink) -> Hello:
    hello = _expect(await link.receive(), Hello, link)
    if hello.version != PROTOCOL_VERSION:
        reason = f"found protocol version {hello.version}, expected {PROTOCOL_VERSION}"
        raise ProtocolError(reason, step="greet", peer=link.address)
    return hello


def _expect(message: LinkMessage, kind: type[M], link: PeerLink) -> M:
    if not isinstance(message, kind):
        reason = f"{type(message).__name__} received before the handshake was complete"
        raise ProtocolError(reason, step="greet", peer=link.address)
    return message


def _make_hello(own: Member) -> Hello:
    return Hello(PROTOCOL_VERSION, own, secrets.token_hex(NONCE_BYTES))


def _key_error(link: PeerLink) -> ProtocolError:
    return ProtocolError("proof matches no accepted key", step="greet", peer=link.address)


def _hmac(key: bytes, text: str) -> str:
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()
