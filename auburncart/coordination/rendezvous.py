"""Rendezvous hashing: every VM selects the same members for a purpose, without a vote.

References
----------
D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_select"]


def rendezvous_select(purpose: str, names: Iterable[str], count: int) -> list[str]:
    """Return the names with the lowest hashes for a purpose, lowest first.

    When a name is added or removed, the selection changes only for purposes that select the name.

    :param purpose: what the names are selected for.
    :param count: maximum number of names.

    >>> rendezvous_select("a", ["x", "y", "z"], 3) == rendezvous_select("a", ["z", "y", "x"], 3)
    True
    """
    return sorted(
        names, key=lambda name: (xxhash.xxh64_intdigest(f"{purpose}|{name}".encode()), name)
    )[:count]
