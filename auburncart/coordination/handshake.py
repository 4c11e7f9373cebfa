"""The start of a link: each side proves that it holds a key before any other message counts."""

import asyncio
import hashlib
import hmac
import secrets
from typing import NamedTuple, TypeVar

from auburncart.coordination.interfaces import PeerLink
from auburncart.exception import LinkError, ProtocolError
from auburncart.state.link import Hello, LinkMessage, Proof
from auburncart.state.member import Member

__all__ = ["KeyRing", "greet"]

VERSION = 1
GREETING_SECONDS = 2.0
NONCE_BYTES = 16
DIALLER = "dialler"
LISTENER = "listener"
M = TypeVar("M", bound=LinkMessage)


class KeyRing:
    """Keys that peers may prove; the first is proved to others, each of them is accepted.

    :param keys: the keys; two while one replaces the other.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        if not keys or not all(keys):
            raise ValueError("a link between VMs needs a key")
        self._keys = tuple(key.encode() for key in keys)

    def __repr__(self) -> str:
        return f"KeyRing({len(self._keys)} keys)"

    def prove(self, text: str) -> str:
        """Return the proof of a text under the first key."""
        return _code(self._keys[0], text)

    def accepting(self, text: str, code: str) -> "KeyRing | None":
        """Return the ring of the one key under which ``code`` proves ``text``, or None."""
        for key in self._keys:
            if hmac.compare_digest(_code(key, text), code):
                return KeyRing((key.decode(),))
        return None


class _Greeting(NamedTuple):
    """Both sides' first messages, the dialler's first."""

    dialler: Hello
    listener: Hello

    def text(self, role: str) -> str:
        """Return what a side proves."""
        parts = [role, str(VERSION)]
        for hello in self:
            member = hello.member
            parts += [member.address, member.data_centre, str(member.incarnation), hello.nonce]
        return "|".join(parts)


async def greet(link: PeerLink, own: Member, keys: KeyRing, *, dialled: bool) -> Member:
    """Exchange greetings and proofs, and return the other side.

    :param dialled: whether this side opened the link.
    :raises ProtocolError: the other side sent something else, or its proof is wrong.
    :raises LinkError: the link ended, or the other side was too slow.
    """
    try:
        async with asyncio.timeout(GREETING_SECONDS):
            return await (_dial if dialled else _listen)(link, own, keys)
    except TimeoutError as error:
        raise LinkError("no greeting in time", step="greet", peer=link.address) from error


async def _dial(link: PeerLink, own: Member, keys: KeyRing) -> Member:
    hello = _hello(own)
    link.post(hello)
    greeting = _Greeting(hello, await _their_hello(link))
    link.post(Proof(keys.prove(greeting.text(DIALLER))))
    proof = _expect(await link.receive(), Proof, link)
    if keys.accepting(greeting.text(LISTENER), proof.code) is None:
        raise _refused(link)
    return greeting.listener.member


async def _listen(link: PeerLink, own: Member, keys: KeyRing) -> Member:
    theirs = await _their_hello(link)
    hello = _hello(own)
    link.post(hello)
    greeting = _Greeting(theirs, hello)
    proof = _expect(await link.receive(), Proof, link)
    proved = keys.accepting(greeting.text(DIALLER), proof.code)
    if proved is None:
        raise _refused(link)
    link.post(Proof(proved.prove(greeting.text(LISTENER))))
    return theirs.member


async def _their_hello(link: PeerLink) -> Hello:
    hello = _expect(await link.receive(), Hello, link)
    if hello.version != VERSION:
        reason = f"version {hello.version}, expected {VERSION}"
        raise ProtocolError(reason, step="greet", peer=link.address)
    return hello


def _expect(message: LinkMessage, kind: type[M], link: PeerLink) -> M:
    if not isinstance(message, kind):
        reason = f"{type(message).__name__} before the greeting was complete"
        raise ProtocolError(reason, step="greet", peer=link.address)
    return message


def _hello(own: Member) -> Hello:
    return Hello(VERSION, own, secrets.token_hex(NONCE_BYTES))


def _refused(link: PeerLink) -> ProtocolError:
    return ProtocolError("the key is not accepted", step="greet", peer=link.address)


def _code(key: bytes, text: str) -> str:
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()
