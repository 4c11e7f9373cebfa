"""What a request is known by when it comes again."""

from typing import NamedTuple

import xxhash

from auburncart.state.forward import ForwardRequest

__all__ = ["RequestDigests", "digests_of"]


class RequestDigests(NamedTuple):
    """Digests of what replicas receive of a request.

    The caller is left out: no replica sees who sent a request, and a repetition may come from
    another address.

    :param request: of the method, host, path, query and body.
    :param path: of the same without the query, which may differ in each repetition.
    """

    request: str
    path: str


def digests_of(request: ForwardRequest) -> RequestDigests:
    """Return the digests of a request."""
    hashed = xxhash.xxh3_128(f"{request.method}\n{request.host}\n".encode())
    hashed.update(request.body)
    path, separator, query = request.target.partition(b"?")
    hashed.update(b"\n" + path)
    path_digest = hashed.hexdigest()
    if not separator:
        return RequestDigests(path_digest, path_digest)
    hashed.update(separator + query)
    return RequestDigests(hashed.hexdigest(), path_digest)
