"""Idempotency keys: their format, their age, and the stored bucket that holds their claims.

A key is a UUID of version 7, whose first 48 bits are the time at which the caller made it, in
milliseconds since the epoch. Claims are kept in buckets, chosen by that time and by a hash of the
key. The names of a period's buckets are reused after ``RING_PERIODS`` periods. A newer period
replaces an older one and never the reverse, so that an old key cannot be claimed a second time,
whatever any clock says.

References: RFC 9562, section 5.7.
"""

import re
from typing import NamedTuple
from uuid import UUID

import xxhash

from auburncart.exception import InputError

__all__ = [
    "BucketLocation",
    "KeyAge",
    "RETENTION_SECONDS",
    "canonical_key",
    "check_age",
    "key_time",
    "locate_bucket",
    "make_key",
]

KEY_FORMAT = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
TIME_SHIFT = 80  # number of bits of a UUID below its time
PERIOD_SECONDS = 20
BUCKETS_PER_PERIOD = 64
RETENTION_SECONDS = 24 * 3600
MAX_CLOCK_SKEW_SECONDS = 60
RING_PERIODS = (RETENTION_SECONDS + 2 * MAX_CLOCK_SKEW_SECONDS) // PERIOD_SECONDS


class KeyAge(NamedTuple):
    """Whether a key is too old or too new to be claimed.

    :param expired: whether claims of its age are no longer kept.
    :param in_future: whether its time is further in the future than clock skew explains.
    """

    expired: bool
    in_future: bool


class BucketLocation(NamedTuple):
    """The bucket that holds the claim of a key.

    :param name: name of the bucket's stored object.
    :param period: number of the period in which the key was made.
    :param bucket: number of the bucket among those of its period.
    """

    name: str
    period: int
    bucket: int


def canonical_key(text: str) -> str:
    """Return a key in lower case.

    :raises InputError: it is not a UUID of version 7 in the standard text format.

    >>> canonical_key("018F3A5E-7C00-7ABC-8DEF-0123456789AB")
    '018f3a5e-7c00-7abc-8def-0123456789ab'
    """
    key = text.lower()
    if KEY_FORMAT.fullmatch(key) is None:
        shown = text if len(text) <= 80 else text[:77] + "..."
        raise InputError(f"key: found {shown!r}, expected a UUID of version 7", step="parse")
    return key


def key_time(key: str) -> float:
    """Return the time at which a key was made, in seconds since the epoch.

    >>> key_time("00000000-03e8-7000-8000-000000000001")
    1.0
    """
    return (UUID(key).int >> TIME_SHIFT) / 1000.0


def make_key(now: float, random_bits: int) -> str:
    """Return a new key.

    :param now: seconds since the epoch.
    :param random_bits: random number, of which the lowest 74 bits are used.

    >>> make_key(1.0, 1)
    '00000000-03e8-7000-8000-000000000001'
    """
    upper = (random_bits >> 62) & 0xFFF
    lower = random_bits & ((1 << 62) - 1)
    number = int(now * 1000) << TIME_SHIFT | 7 << 76 | upper << 64 | 2 << 62 | lower
    return str(UUID(int=number))


def check_age(key: str, now: float) -> KeyAge:
    """Return whether a key is too old or too new.

    :param now: seconds since the epoch.
    """
    age = now - key_time(key)
    return KeyAge(age > RETENTION_SECONDS, age < -MAX_CLOCK_SKEW_SECONDS)


def locate_bucket(key: str) -> BucketLocation:
    """Return the bucket of a key; the same on every VM."""
    period = int(key_time(key)) // PERIOD_SECONDS
    bucket = xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS_PER_PERIOD
    return BucketLocation(f"{period % RING_PERIODS}-{bucket}", period, bucket)
