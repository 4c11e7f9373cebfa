"""A query as the quarantine identifies it, independent of search and attempt."""

from typing import NamedTuple

import xxhash

__all__ = ["QueryRun", "query_digest"]


def query_digest(kind: str, query: str) -> str:
    """Return a digest of a query's kind and text.

    :return: 32 hexadecimal digits.

    >>> query_digest("closure", "net") == query_digest("closure", "net ")
    False
    """
    return xxhash.xxh3_128_hexdigest(f"{len(kind)}:{kind}{query}".encode())


class QueryRun(NamedTuple):
    """A query on one shard of one snapshot.

    :param digest: digest of the query's kind and text.
    :param snapshot: snapshot that it runs on.
    :param shard: shard that it runs on.
    """

    digest: str
    snapshot: str
    shard: str

    @classmethod
    def of(cls, kind: str, query: str, snapshot: str, shard: str) -> "QueryRun":
        """Return the run of a query with this kind and text."""
        return cls(query_digest(kind, query), snapshot, shard)
