"""Messages on a link between two entry VMs.

The place of a class in :data:`MESSAGES` is its number on the wire: new ones go to the end.
"""

from typing import Any, NamedTuple

from auburncart.state.member import Member

__all__ = [
    "MESSAGES",
    "Answer",
    "Goodbye",
    "Heartbeat",
    "Hello",
    "LinkMessage",
    "Proof",
    "Publication",
    "Question",
    "Versions",
]

LinkMessage = tuple[Any, ...]


class Versions(NamedTuple):
    """Versions of what is in force on a VM; 0 where it has none."""

    table: int = 0
    shards: int = 0
    seats: int = 0


class Hello(NamedTuple):
    """First message in both directions.

    :param version: version of the protocol.
    :param member: the sender.
    :param nonce: random text that the other side's proof must cover.
    """

    version: int
    member: Member
    nonce: str


class Proof(NamedTuple):
    """Proof that the sender holds a key; nothing else counts before it."""

    code: str


class Heartbeat(NamedTuple):
    """Sign of life, sent every second and at each change of a version.

    :param versions: what is in force at the sender.
    :param digests: each data centre with a digest of what the sender believes of its members.
    """

    versions: Versions
    digests: tuple[tuple[str, int], ...] = ()


class Publication(NamedTuple):
    """A payload on its way to all VMs.

    :param origin: VM at which it was published.
    :param number: number that the origin gave it, from 1; 0 for one meant for the receiver only.
    :param ttl: number of links that it may still cross.
    :param local_only: whether it is meant for the origin's data centre only.
    :param payload: what is published, of a class in :data:`auburncart.state.PAYLOADS`.
    """

    origin: Member
    number: int
    ttl: int
    local_only: bool
    payload: tuple[Any, ...]


class Question(NamedTuple):
    """A question that expects an :class:`Answer` with the same number."""

    number: int
    question: tuple[Any, ...]


class Answer(NamedTuple):
    """An answer to a question."""

    number: int
    answer: tuple[Any, ...]


class Goodbye(NamedTuple):
    """Last message of a link that its sender closes on purpose."""

    reason: str


MESSAGES: tuple[type[LinkMessage], ...] = (
    Hello,
    Proof,
    Heartbeat,
    Publication,
    Question,
    Answer,
    Goodbye,
)
