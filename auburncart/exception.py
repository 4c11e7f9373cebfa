"""Exceptions raised by auburncart, all derived from one base class."""

__all__ = [
    "AuburncartError",
    "BodySizeError",
    "HistoryLostError",
    "InputError",
    "LinkError",
    "LinkTimeoutError",
    "ProtocolError",
    "SettingsError",
    "StoreConflictError",
    "StoreUnavailableError",
    "TableConflictError",
    "UpstreamError",
    "UpstreamMismatchError",
    "UpstreamRefusedError",
    "UpstreamShedError",
    "UpstreamTimeoutError",
]


class AuburncartError(Exception):
    """Base class of the exceptions of this package.

    :param reason: what went wrong, for an operator.
    :param step: name of the processing step, such as ``"connect"``.
    :param peer: address of the other side, ``""`` if there is none.

    >>> str(AuburncartError("timed out", step="connect", peer="127.0.0.1:9000"))
    'connect 127.0.0.1:9000: timed out'
    """

    def __init__(self, reason: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(reason, step, peer)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.peer) if part)
        return f"{where}: {self.reason}" if where else self.reason


class InputError(AuburncartError):
    """A caller's request, a table or a file is invalid."""


class BodySizeError(InputError):
    """A caller's request is larger than an entry VM accepts."""


class SettingsError(InputError):
    """A settings file has faults; ``faults`` lists all of them."""

    def __init__(
        self, reason: str, *, faults: tuple[str, ...] = (), step: str = "settings"
    ) -> None:
        super().__init__(reason, step=step)
        self.faults = faults


class ProtocolError(AuburncartError):
    """A message from a peer, an upstream or the platform violates the protocol."""


class UpstreamError(AuburncartError):
    """A request to an upstream failed.

    :param sent: whether any byte of the request may have reached the upstream.
    """

    def __init__(self, reason: str, *, step: str = "", peer: str = "", sent: bool = True) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.sent = sent


class UpstreamTimeoutError(UpstreamError):
    """An upstream did not reply in time, though the connection was up."""


class UpstreamShedError(UpstreamError):
    """An upstream replied that it is overloaded."""


class UpstreamRefusedError(UpstreamError):
    """An upstream replied with neither an answer nor a sign of overload."""


class UpstreamMismatchError(UpstreamError):
    """An upstream's reply violates the protocol or belongs to another request."""


class LinkError(AuburncartError):
    """A link to another entry VM failed or was refused.

    Its step is ``connect`` if nothing was sent, ``accept`` if the other side has not confirmed what
    it received, else ``reply``.
    """


class LinkTimeoutError(LinkError):
    """The other side did not reply in time, though the connection was up."""


class StoreUnavailableError(AuburncartError):
    """The platform's store did not reply; a write may have taken effect nevertheless.

    :param sent: whether the call may have reached the store.
    """

    def __init__(self, reason: str, *, step: str = "", peer: str = "", sent: bool = True) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.sent = sent


class HistoryLostError(AuburncartError):
    """The store no longer has the changes since a revision; the kind must be listed again."""


class StoreConflictError(AuburncartError):
    """A conditional write did not take effect because the version was not the expected one."""


class TableConflictError(AuburncartError):
    """The table changed since the version a proposal is based on; nothing was written.

    :param changes: one line for each change that the proposal does not include.
    """

    def __init__(self, reason: str, *, changes: tuple[str, ...] = ()) -> None:
        super().__init__(reason, step="apply")
        self.changes = changes
