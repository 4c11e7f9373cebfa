"""Idempotency keys: their form, their age, and the stored object that holds their claims.

A key is a UUID of version 7, whose first 48 bits are the milliseconds since the epoch at which
the caller made it. Claims are kept in buckets by that time and by a digest of the key. The names
of the buckets of a period return after ``RING_PERIODS`` periods; a newer period replaces an older
one and never the reverse, so an old key cannot be claimed a second time, whatever a clock says.

References: RFC 9562, section 5.7.
"""

import re
from typing import NamedTuple
from uuid import UUID

import xxhash

from auburncart.exception import InputError

__all__ = [
    "KeyAge",
    "MEMORY_SECONDS",
    "Place",
    "age_of",
    "canonical_key",
    "key_seconds",
    "make_key",
    "place_of",
]

FORM = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
TIME_SHIFT = 80  # bits of a UUID below its time
PERIOD_SECONDS = 20
BUCKETS = 64  # per period
MEMORY_SECONDS = 24 * 3600
MOST_AHEAD_SECONDS = 60
RING_PERIODS = (MEMORY_SECONDS + 2 * MOST_AHEAD_SECONDS) // PERIOD_SECONDS


class KeyAge(NamedTuple):
    """Whether the age of a key allows a claim.

    :param expired: whether claims of its age are no longer kept.
    :param ahead: whether its time lies too far in the future.
    """

    expired: bool
    ahead: bool


class Place(NamedTuple):
    """Where the claim of a key is kept.

    :param name: name of the bucket's stored object.
    :param period: number of the period in which the key was made.
    :param bucket: number of the bucket among those of its period.
    """

    name: str
    period: int
    bucket: int


def canonical_key(text: str) -> str:
    """Return a key in lower case.

    :raises InputError: it is not a UUID of version 7 in its usual form.

    >>> canonical_key("018F3A5E-7C00-7ABC-8DEF-0123456789AB")
    '018f3a5e-7c00-7abc-8def-0123456789ab'
    """
    key = text.lower()
    if FORM.fullmatch(key) is None:
        shown = text if len(text) <= 80 else text[:77] + "..."
        raise InputError(f"key: found {shown!r}, expected a UUID of version 7", step="parse")
    return key


def key_seconds(key: str) -> float:
    """Return the time at which a key was made, in seconds since the epoch.

    >>> key_seconds("00000000-03e8-7000-8000-000000000001")
    1.0
    """
    return (UUID(key).int >> TIME_SHIFT) / 1000.0


def make_key(now: float, noise: int) -> str:
    """Return a new key.

    :param now: seconds since the epoch.
    :param noise: random bits, of which the lowest 74 are used.

    >>> make_key(1.0, 1)
    '00000000-03e8-7000-8000-000000000001'
    """
    upper = (noise >> 62) & 0xFFF
    lower = noise & ((1 << 62) - 1)
    number = int(now * 1000) << TIME_SHIFT | 7 << 76 | upper << 64 | 2 << 62 | lower
    return str(UUID(int=number))


def age_of(key: str, now: float) -> KeyAge:
    """Return whether a key is too old or too new.

    :param now: seconds since the epoch.
    """
    seconds = now - key_seconds(key)
    return KeyAge(seconds > MEMORY_SECONDS, seconds < -MOST_AHEAD_SECONDS)


def place_of(key: str) -> Place:
    """Return where the claim of a key is kept; the same on every VM."""
    period = int(key_seconds(key)) // PERIOD_SECONDS
    bucket = xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS
    return Place(f"{period % RING_PERIODS}-{bucket}", period, bucket)
