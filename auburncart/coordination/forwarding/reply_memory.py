"""Memory for the bodies of replies that are being received."""

__all__ = ["UNRESERVED_BYTES", "ReplyMemory"]

UNRESERVED_BYTES = 16_384  # of each body; most replies are shorter and need no reservation


class ReplyMemory:
    """The bytes that all unfinished replies of a VM may hold together.

    The first :data:`UNRESERVED_BYTES` of a body need no reservation, so that replicas which send
    bodies without end cannot take the memory that short replies of others need.

    :param max_bytes: total of the reservations.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Number of bytes reserved."""
        return self._reserved

    def reserve(self, size: int) -> bool:
        """Reserve some bytes; return False if there are not enough left."""
        if self._reserved + size > self._max_bytes:
            return False
        self._reserved += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes."""
        self._reserved -= size
