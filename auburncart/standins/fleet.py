"""Many VMs in one loop on virtual time; links in memory carry the real encoding."""

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

__all__ = ["MemoryNetwork", "Vm", "make_fleet"]

NEAR_SECONDS = 0.0005
FAR_SECONDS = 0.008
ENDED = b""


class MemoryNetwork:
    """Links in memory, with cuts, pauses and losses."""

    def __init__(self, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self.accepts: dict[str, Callable[[PeerLink], Awaitable[None]]] = {}
        self.tasks: set[asyncio.Future[None]] = set()
        self.sides: dict[str, int] = {}
        self.paused: set[str] = set()
        self.centres: dict[str, str] = {}
        self.loss = 0.0
        self.messages = 0
        self.sent_bytes = 0

    def passes(self, sender: str, receiver: str) -> bool:
        """Return whether a message from one VM to another arrives."""
        if sender in self.paused or receiver in self.paused:
            return False
        if self.sides.get(sender, 0) != self.sides.get(receiver, 0):
            return False
        return self._random.random() >= self.loss

    def seconds(self, sender: str, receiver: str) -> float:
        """Return the time one way."""
        near = self.centres.get(sender) == self.centres.get(receiver)
        return NEAR_SECONDS if near else FAR_SECONDS

    def view(self, own: str) -> "_Dialer":
        """Return the dialer of one VM."""
        return _Dialer(own, self)


class _Dialer(PeerDialer):
    def __init__(self, own: str, network: MemoryNetwork) -> None:
        self._own = own
        self._network = network

    async def connect(self, address: str) -> PeerLink:
        if self._network.passes(self._own, address) and address not in self._network.accepts:
            raise LinkError("refused", step="connect", peer=address)
        if not self._network.passes(self._own, address):
            await asyncio.sleep(1.0)
            raise LinkError("no route", step="connect", peer=address)
        await asyncio.sleep(2 * self._network.seconds(self._own, address))
        near = _Link(self._own, address, self._network)
        far = _Link(address, self._own, self._network)
        near.peer, far.peer = far, near
        accept = self._network.accepts.get(address)
        if accept is None:
            raise LinkError("refused", step="connect", peer=address)
        task = asyncio.ensure_future(accept(far))
        self._network.tasks.add(task)
        task.add_done_callback(self._network.tasks.discard)
        return near


class _Link(PeerLink):
    def __init__(self, own: str, address: str, network: MemoryNetwork) -> None:
        self._own = own
        self._address = address
        self._network = network
        self._arrived: asyncio.Queue[bytes] = asyncio.Queue()
        self._closed = False
        self.peer: _Link | None = None

    @property
    def address(self) -> str:
        return self._address

    def post(self, message: LinkMessage) -> None:
        if not self._closed:
            self._send(encode_message(message))

    async def receive(self) -> LinkMessage:
        data = await self._arrived.get()
        if data == ENDED:
            self._closed = True
            raise LinkError("closed", step="receive", peer=self._address)
        return decode_message(data)

    def allow_long_messages(self) -> None:
        pass

    async def close(self, reason: str) -> None:
        if not self._closed:
            self._closed = True
            self._send(ENDED)

    def _send(self, data: bytes) -> None:
        self._network.messages += 1
        self._network.sent_bytes += len(data)
        if self._network.passes(self._own, self._address):
            seconds = self._network.seconds(self._own, self._address)
            asyncio.get_running_loop().call_later(seconds, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if self.peer is not None:
            self.peer._arrived.put_nowait(data)


class Vm:
    """One VM of a test."""

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
        network.centres[self.address] = data_centre
        self.group = PeerGroup(
            Member(self.address, data_centre, incarnation),
            seeds,
            self.store,
            network.view(self.address),
            KeyRing(("key",)),
            self.tables,
            self.catalogue,
            NullObserver(),
            number * 1000 + incarnation,
        )
        self._network = network

    def start(self) -> None:
        """Accept links and begin."""
        self._network.accepts[self.address] = self.group.accept
        self.group.start()

    async def stop(self) -> None:
        """End, and say so."""
        self._network.accepts.pop(self.address, None)
        await self.group.stop()

    async def kill(self) -> None:
        """End without a word to anyone."""
        self._network.paused.add(self.address)
        await self.stop()
        self._network.paused.discard(self.address)


def make_fleet(
    count: int, data_centres: int, platform: PlatformModel, network: MemoryNetwork
) -> list[Vm]:
    """Return VMs spread over data centres, all of them on the platform's list."""
    vms = [Vm(number, f"dc{number % data_centres}", platform, network) for number in range(count)]
    platform.set_members(
        [
            {"address": vm.address, "data_centre": f"dc{number % data_centres}"}
            for number, vm in enumerate(vms)
        ]
    )
    return vms
