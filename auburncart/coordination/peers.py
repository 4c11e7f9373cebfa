"""Links to other entry VMs: facts flooded over them, questions, heartbeats."""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

from eliot import log_message

from auburncart.coordination.handshake import KeyRing, greet
from auburncart.coordination.interfaces import F, PeerBus, PeerDialer, PeerLink
from auburncart.coordination.links import Linked, Links
from auburncart.coordination.observer import Observer
from auburncart.exception import AuburncartError, LinkError, ProtocolError
from auburncart.state.fact import NoAnswer
from auburncart.state.link import Answer, Goodbye, Heartbeat, LinkMessage, Publication, Question
from auburncart.state.member import Member

__all__ = ["LinkListener", "Peers"]

HEARTBEAT_SECONDS = 1.0
SILENCE_SECONDS = 3.0
DIAL_SECONDS = 1.5
MOST_HOPS = 24
MOST_SEEN = 16_384
MOST_GREETING = 32
MOST_SERVED_QUESTIONS = 64


class LinkListener(ABC):
    """Is told what happens on the links; implementations must not wait."""

    def link_opened(self, member: Member) -> None:  # noqa: B027
        """Take in that a member has proved a key on a new link."""

    def link_closed(self, member: Member, goodbye: bool) -> None:  # noqa: B027
        """Take in that the last link to a member has ended.

        :param goodbye: whether either side closed it on purpose.
        """

    @abstractmethod
    def heard(self, member: Member, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat."""


class Peers(PeerBus):
    """Holds the links of one VM, each served by one task.

    :param own: returns this VM as it is now.
    :param heartbeat: returns the heartbeat to send now.
    :param dialer: opens links.
    :param keys: keys that peers prove.
    """

    def __init__(
        self,
        own: Callable[[], Member],
        heartbeat: Callable[[], Heartbeat],
        dialer: PeerDialer,
        keys: KeyRing,
        observer: Observer,
    ) -> None:
        self._own = own
        self._heartbeat = heartbeat
        self._dialer = dialer
        self._keys = keys
        self._observer = observer
        self._links = Links()
        self._listeners: list[LinkListener] = []
        self._subscribers: dict[type, list[Callable[[Any, Member], None]]] = {}
        self._servers: dict[type, Callable[[Any, Member], Awaitable[tuple[Any, ...]]]] = {}
        self._numbers = itertools.count(1)
        self._seen: dict[tuple[str, int, int], None] = {}
        self._asked: dict[int, asyncio.Future[tuple[Any, ...]]] = {}
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._takers: dict[type, Callable[[Any, Linked], None]] = {
            Heartbeat: self._take_heartbeat,
            Publication: self._take_publication,
            Question: self._take_question,
            Answer: self._take_answer,
            Goodbye: lambda _message, _linked: None,
        }
        self._greeting = 0
        self._served = 0

    @property
    def links(self) -> Links:
        """The links held at the moment."""
        return self._links

    def attach(self, listener: LinkListener) -> None:
        """Tell a listener what happens on the links."""
        self._listeners.append(listener)

    def publish(self, fact: tuple[Any, ...]) -> None:
        """Spread a fact to all VMs by flooding it over the links."""
        self._publish(fact, near=False)

    def publish_near(self, fact: tuple[Any, ...]) -> None:
        """Spread a fact to the VMs of this data centre only."""
        self._publish(fact, near=True)

    def tell(self, address: str, fact: tuple[Any, ...]) -> None:
        """Send a fact to one linked VM only."""
        linked = self._links.get(address)
        if linked is not None:
            linked.link.post(Publication(self._own(), 0, 0, True, fact))

    def subscribe(self, kind: type[F], handler: Callable[[F, Member], None]) -> None:
        """Call ``handler(fact, origin)`` for each arriving fact of a kind."""
        self._subscribers.setdefault(kind, []).append(handler)

    def serve(
        self, kind: type[F], handler: Callable[[F, Member], Awaitable[tuple[Any, ...]]]
    ) -> None:
        """Answer questions of a kind by ``await handler(question, origin)``."""
        self._servers[kind] = handler

    async def ask(
        self, member: Member, question: tuple[Any, ...], timeout: float
    ) -> tuple[Any, ...]:
        """Put a question to one VM, over a new link if there is none."""
        try:
            async with asyncio.timeout(timeout):
                return await self._ask(member.address, question)
        except TimeoutError as error:
            raise LinkError("no answer in time", step="ask", peer=member.address) from error

    def beat(self) -> None:
        """Send a heartbeat on every link now."""
        heartbeat = self._heartbeat()
        for linked in self._links:
            linked.link.post(heartbeat)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.beat()
            self._observer.set_gauge("peer_links", len(self._links))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def accept(self, link: PeerLink) -> None:
        """Serve a link that another VM opened, until it ends."""
        if self._greeting >= MOST_GREETING:
            await link.close("too many links are greeting")
            return
        self._greeting += 1
        try:
            member = await self._greet(link, dialled=False)
        finally:
            self._greeting -= 1
        if member is not None:
            await self._serve(Linked(link, member, dialled=False))

    async def dial(self, address: str) -> bool:
        """Open a link to a VM unless there is one.

        :return: whether there is a link now.
        """
        if address not in self._links and address != self._own().address:
            await asyncio.wait({self._dial_task(address)}, timeout=None)
        return address in self._links

    async def hang_up(self, address: str, reason: str) -> None:
        """Close the links to a VM that this VM opened."""
        for linked in self._links:
            if linked.member.address == address and linked.dialled:
                self._links.remove(linked)
                linked.link.post(Goodbye(reason))
                await linked.link.close(reason)

    async def close(self, reason: str) -> None:
        """Say goodbye on all links and end them."""
        for linked in self._links:
            linked.link.post(Goodbye(reason))
        tasks = [*self._tasks, *self._dialling.values()]
        await asyncio.gather(*(linked.link.close(reason) for linked in self._links))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _publish(self, fact: tuple[Any, ...], *, near: bool) -> None:
        publication = Publication(self._own(), next(self._numbers), MOST_HOPS, near, fact)
        self._is_new(publication)
        self._flood(publication, "")

    def _dial_task(self, address: str) -> asyncio.Task[None]:
        task = self._dialling.get(address)
        if task is None:
            task = asyncio.create_task(self._dial(address), name=f"dial {address}")
            self._dialling[address] = task
            task.add_done_callback(lambda _: self._dialling.pop(address, None))
        return task

    async def _dial(self, address: str) -> None:
        try:
            async with asyncio.timeout(DIAL_SECONDS):
                link = await self._dialer.connect(address)
        except (LinkError, TimeoutError):
            self._observer.count("peer_dial_failed")
            return
        member = await self._greet(link, dialled=True)
        if member is None:
            return
        linked = Linked(link, member, dialled=True)
        self._open(linked)
        self._keep(self._serve(linked), f"peer {member.address}")

    async def _greet(self, link: PeerLink, *, dialled: bool) -> Member | None:
        try:
            member = await greet(link, self._own(), self._keys, dialled=dialled)
        except (ProtocolError, LinkError) as error:
            self._refuse(error)
            await link.close(error.reason)
            return None
        except asyncio.CancelledError:
            await link.close("stopped")
            raise
        link.allow_long_messages()
        return member

    def _open(self, linked: Linked) -> None:
        self._links.add(linked)
        for listener in self._listeners:
            listener.link_opened(linked.member)
        linked.link.post(self._heartbeat())

    async def _serve(self, linked: Linked) -> None:
        if not linked.dialled:
            self._open(linked)
        goodbye = False
        reason = "stopped"
        try:
            while not goodbye:
                async with asyncio.timeout(SILENCE_SECONDS):
                    message = await linked.link.receive()
                goodbye = isinstance(message, Goodbye)
                self._take(message, linked)
            reason = "goodbye"
        except TimeoutError:
            reason = f"silent for {SILENCE_SECONDS:g} s"
        except (ProtocolError, LinkError) as error:
            reason = error.reason
            if isinstance(error, ProtocolError):
                self._refuse(error)
        finally:
            held = self._links.remove(linked)
            if held and linked.member.address not in self._links:
                for listener in self._listeners:
                    listener.link_closed(linked.member, goodbye)
            await linked.link.close(reason)

    def _take(self, message: LinkMessage, linked: Linked) -> None:
        handler = self._takers.get(type(message))
        if handler is None:
            reason = f"{type(message).__name__} after the greeting"
            raise ProtocolError(reason, step="receive", peer=linked.member.address)
        handler(message, linked)

    def _take_heartbeat(self, heartbeat: Heartbeat, linked: Linked) -> None:
        for listener in self._listeners:
            listener.heard(linked.member, heartbeat)

    def _take_publication(self, publication: Publication, linked: Linked) -> None:
        if publication.number and not self._is_new(publication):
            return
        for handler in self._subscribers.get(type(publication.fact), []):
            handler(publication.fact, publication.origin)
        if publication.hops > 0:
            self._flood(publication._replace(hops=publication.hops - 1), linked.member.address)

    def _take_question(self, question: Question, linked: Linked) -> None:
        if self._served >= MOST_SERVED_QUESTIONS:
            linked.link.post(Answer(question.number, NoAnswer("too many questions")))
            return
        self._keep(self._answer(question, linked), "answer")

    def _take_answer(self, answer: Answer, linked: Linked) -> None:
        waiter = self._asked.get(answer.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(answer.answer)

    async def _answer(self, question: Question, linked: Linked) -> None:
        handler = self._servers.get(type(question.question))
        self._served += 1
        try:
            if handler is None:
                answer: tuple[Any, ...] = NoAnswer("not served here")
            else:
                answer = await handler(question.question, linked.member)
        except AuburncartError as error:
            answer = NoAnswer(str(error))
        finally:
            self._served -= 1
        linked.link.post(Answer(question.number, answer))

    async def _ask(self, address: str, question: tuple[Any, ...]) -> tuple[Any, ...]:
        if not await self.dial(address):
            raise LinkError("not reached", step="ask", peer=address)
        linked = self._links.get(address)
        number = next(self._numbers)
        waiter: asyncio.Future[tuple[Any, ...]] = asyncio.get_running_loop().create_future()
        self._asked[number] = waiter
        try:
            if linked is not None:
                linked.link.post(Question(number, question))
            answer = await waiter
        finally:
            del self._asked[number]
        if isinstance(answer, NoAnswer):
            raise LinkError(answer.reason, step="ask", peer=address)
        return answer

    def _flood(self, publication: Publication, but: str) -> None:
        done = {but, publication.origin.address}
        for linked in self._links:
            far = linked.member.data_centre != publication.origin.data_centre
            if linked.member.address not in done and not (far and publication.near):
                done.add(linked.member.address)
                linked.link.post(publication)

    def _is_new(self, publication: Publication) -> bool:
        origin = publication.origin
        mark = (origin.address, origin.incarnation, publication.number)
        if mark in self._seen:
            return False
        self._seen[mark] = None
        if len(self._seen) > MOST_SEEN:
            del self._seen[next(iter(self._seen))]
        return True

    def _keep(self, coroutine: Any, name: str) -> None:
        task: asyncio.Task[None] = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refuse(self, error: AuburncartError) -> None:
        self._observer.count("peer_refused")
        log_message(
            message_type="peer_refused", step=error.step, peer=error.peer, reason=error.reason
        )
