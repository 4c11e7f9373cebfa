"""Messages on a link between two entry VMs.

The index of a class in :data:`MESSAGES` is its number on the wire: append new classes only.
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
    """Versions of the current data of a VM; 0 where it has none."""

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
    """Proof that the sender holds a key; other messages are accepted only after it."""

    code: str


class Heartbeat(NamedTuple):
    """Heartbeat, sent every second and whenever a version changes.

    :param versions: versions of the sender's current data.
    :param digests: each data centre with a digest of what the sender knows of its members.
    """

    versions: Versions
    digests: tuple[tuple[str, int], ...] = ()


class Publication(NamedTuple):
    """A payload for all VMs.

    :param origin: VM that published it.
    :param number: sequence number from 1 given by the origin; 0 if only the receiver is addressed.
    :param ttl: number of links that it may still cross.
    :param local_only: whether it is for the origin's data centre only.
    :param payload: what is published, of a class in :data:`auburncart.state.PAYLOADS`.
    """

    origin: Member
    number: int
    ttl: int
    local_only: bool
    payload: tuple[Any, ...]


class Question(NamedTuple):
    """A question, to be answered by an :class:`Answer` with the same number."""

    number: int
    question: tuple[Any, ...]


class Answer(NamedTuple):
    """An answer to a question."""

    number: int
    answer: tuple[Any, ...]


class Goodbye(NamedTuple):
    """Last message on a link that its sender closes deliberately."""

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
