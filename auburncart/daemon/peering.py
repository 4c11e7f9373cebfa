"""The daemon's part in the tier: its listener for peers, and its group."""

import zlib

from auburncart.coordination import Node, Observer, Store
from auburncart.coordination.group import Group
from auburncart.coordination.handshake import KeyRing
from auburncart.settings import EntrySettings
from auburncart.state import Member
from auburncart.transport.peer import WebSocketDialer, WebSocketListener

__all__ = ["Peering", "make_group"]


def make_group(
    settings: EntrySettings,
    incarnation: int,
    store: Store,
    node: Node,
    observer: Observer,
    epoch: float,
) -> Group:
    """Return the group of a VM whose settings name an address for peers.

    :param epoch: seconds since the epoch at loop time 0.
    """
    return Group(
        Member(settings.peer_address, settings.data_centre, incarnation),
        settings.peer_seeds,
        store,
        WebSocketDialer(),
        KeyRing(settings.peer_keys),
        node.tables,
        node.catalogue,
        observer,
        zlib.crc32(f"{settings.name}/{incarnation}".encode()),
        epoch,
    )


class Peering:
    """Listens for peers and takes part in the tier.

    :param address: ``"IP:port"`` to listen on.
    """

    def __init__(self, group: Group, address: str) -> None:
        self._group = group
        self._listener = WebSocketListener(address, group.accept)

    @property
    def group(self) -> Group:
        """This VM's part in the tier."""
        return self._group

    async def start(self) -> None:
        """Listen, then look for the others."""
        await self._listener.start()
        self._group.start()

    async def stop(self) -> None:
        """Tell the others that this VM has ended, and stop listening."""
        await self._group.stop()
        await self._listener.stop()
