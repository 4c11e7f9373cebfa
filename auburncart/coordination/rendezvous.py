"""Rendezvous hashing: every VM picks the same members for a purpose, without a vote.

References
----------
D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_select"]


def rendezvous_select(purpose: str, names: Iterable[str], count: int) -> list[str]:
    """Return the names that stand first for a purpose, in their order.

    When a name comes or goes, only purposes for which it stands among the first change.

    :param purpose: what the names are picked for.
    :param count: most names to return.

    >>> rendezvous_select("a", ["x", "y", "z"], 3) == rendezvous_select("a", ["z", "y", "x"], 3)
    True
    """
    return sorted(
        names, key=lambda name: (xxhash.xxh64_intdigest(f"{purpose}|{name}".encode()), name)
    )[:count]
