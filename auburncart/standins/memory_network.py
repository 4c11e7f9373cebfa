"""VMs in one event loop on virtual time, linked in memory by encoded messages."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.group import PeerGroup
from auburncart.coordination.handshake import KeyRing
from auburncart.coordination.interfaces import PeerDialer, PeerLink
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.table import CurrentTable
from auburncart.exception import LinkError
from auburncart.protocol.peer import decode_message, encode_message
from auburncart.standins.fakes import FakeStore
from auburncart.standins.platform import PlatformModel
from auburncart.state.link import LinkMessage
from auburncart.state.member import Member

__all__ = ["MemoryNetwork", "Vm", "make_vms"]

LOCAL_LATENCY_SECONDS = 0.0005
REMOTE_LATENCY_SECONDS = 0.008
END_OF_LINK = b""


class MemoryNetwork:
    """Links between VMs in memory, with latency, partitions, paused VMs and random losses.

    ``partitions`` holds the partition of each VM by address; VMs of different partitions cannot
    reach each other. ``loss`` is the share of messages that are lost.
    """

    def __init__(self, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self.acceptors: dict[str, Callable[[PeerLink], Awaitable[None]]] = {}
        self.tasks: set[asyncio.Future[None]] = set()
        self.partitions: dict[str, int] = {}
        self.paused: set[str] = set()
        self.data_centres: dict[str, str] = {}
        self.loss = 0.0
        self.messages = 0
        self.sent_bytes = 0

    def delivers(self, sender: str, receiver: str) -> bool:
        """Return whether the next message from one VM to another arrives."""
        if sender in self.paused or receiver in self.paused:
            return False
        if self.partitions.get(sender, 0) != self.partitions.get(receiver, 0):
            return False
        return self._random.random() >= self.loss

    def latency_seconds(self, sender: str, receiver: str) -> float:
        """Return the one-way latency."""
        local = self.data_centres.get(sender) == self.data_centres.get(receiver)
        return LOCAL_LATENCY_SECONDS if local else REMOTE_LATENCY_SECONDS

    def dialer(self, own: str) -> "_Dialer":
        """Return the dialer of one VM."""
        return _Dialer(own, self)


class _Dialer(PeerDialer):
    def __init__(self, own: str, network: MemoryNetwork) -> None:
        self._own = own
        self._network = network

    async def connect(self, address: str) -> PeerLink:
        if self._network.delivers(self._own, address) and address not in self._network.acceptors:
            raise LinkError("refused", step="connect", peer=address)
        if not self._network.delivers(self._own, address):
            await asyncio.sleep(1.0)
            raise LinkError("no route", step="connect", peer=address)
        await asyncio.sleep(2 * self._network.latency_seconds(self._own, address))
        local = _Link(self._own, address, self._network)
        remote = _Link(address, self._own, self._network)
        local.peer, remote.peer = remote, local
        accept = self._network.acceptors.get(address)
        if accept is None:
            raise LinkError("refused", step="connect", peer=address)
        task = asyncio.ensure_future(accept(remote))
        self._network.tasks.add(task)
        task.add_done_callback(self._network.tasks.discard)
        return local


class _Link(PeerLink):
    def __init__(self, own: str, address: str, network: MemoryNetwork) -> None:
        self._own = own
        self._address = address
        self._network = network
        self._received: asyncio.Queue[bytes] = asyncio.Queue()
        self._closed = False
        self.peer: _Link | None = None

    @property
    def address(self) -> str:
        return self._address

    def post(self, message: LinkMessage) -> None:
        if not self._closed:
            self._send(encode_message(message))

    async def receive(self) -> LinkMessage:
        data = await self._received.get()
        if data == END_OF_LINK:
            self._closed = True
            raise LinkError("closed", step="receive", peer=self._address)
        return decode_message(data)

    def allow_long_messages(self) -> None:
        pass

    async def close(self, reason: str) -> None:
        if not self._closed:
            self._closed = True
            self._send(END_OF_LINK)

    def _send(self, data: bytes) -> None:
        self._network.messages += 1
        self._network.sent_bytes += len(data)
        if self._network.delivers(self._own, self._address):
            seconds = self._network.latency_seconds(self._own, self._address)
            asyncio.get_running_loop().call_later(seconds, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if self.peer is not None:
            self.peer._received.put_nowait(data)


class Vm:
    """One VM of a test: its links, its membership, and the table and catalogue kept in step."""

    def __init__(
        self,
        number: int,
        data_centre: str,
        platform: PlatformModel,
        network: MemoryNetwork,
        seeds: tuple[str, ...] = (),
        incarnation: int = 1,
    ) -> None:
        self.address = f"10.{number // 250}.{number % 250}.1:7000"
        self.store = FakeStore(platform)
        self.tables = CurrentTable()
        self.catalogue = Catalogue()
        network.data_centres[self.address] = data_centre
        self.group = PeerGroup(
            Member(self.address, data_centre, incarnation),
            seeds,
            self.store,
            network.dialer(self.address),
            KeyRing(("key",)),
            self.tables,
            self.catalogue,
            NullObserver(),
            number * 1000 + incarnation,
        )
        self._network = network

    def start(self) -> None:
        """Accept links and start the peer group."""
        self._network.acceptors[self.address] = self.group.accept
        self.group.start()

    async def stop(self) -> None:
        """Stop after telling the other VMs."""
        self._network.acceptors.pop(self.address, None)
        await self.group.stop()

    async def kill(self) -> None:
        """Stop without telling the other VMs."""
        self._network.paused.add(self.address)
        await self.stop()
        self._network.paused.discard(self.address)


def make_vms(
    count: int, data_centres: int, platform: PlatformModel, network: MemoryNetwork
) -> list[Vm]:
    """Return VMs assigned to data centres in turn, all of them on the platform's list."""
    vms = [Vm(number, f"dc{number % data_centres}", platform, network) for number in range(count)]
    platform.set_members(
        [
            {"address": vm.address, "data_centre": f"dc{number % data_centres}"}
            for number, vm in enumerate(vms)
        ]
    )
    return vms
