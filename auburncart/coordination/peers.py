"""Links to other entry VMs: heartbeats, flooded publications, and questions with answers."""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

from eliot import log_message

from auburncart.coordination.handshake import KeyRing, run_handshake
from auburncart.coordination.interfaces import F, PeerBus, PeerDialer, PeerLink
from auburncart.coordination.links import AuthenticatedLink, LinkTable
from auburncart.coordination.observer import Observer
from auburncart.exception import AuburncartError, LinkError, ProtocolError
from auburncart.state.link import Answer, Goodbye, Heartbeat, LinkMessage, Publication, Question
from auburncart.state.member import Member
from auburncart.state.payload import NoAnswer

__all__ = ["LinkListener", "Peers"]

HEARTBEAT_INTERVAL_SECONDS = 1.0
SILENCE_TIMEOUT_SECONDS = 3.0
DIAL_TIMEOUT_SECONDS = 1.5
PUBLICATION_TTL = 24
MAX_SEEN_PUBLICATIONS = 16_384
MAX_HANDSHAKES = 32
MAX_QUESTIONS_IN_PROGRESS = 64


class LinkListener(ABC):
    """Receives events of the links; implementations must not block."""

    def link_opened(self, member: Member) -> None:  # noqa: B027
        """Handle a new link to a member, whose handshake has succeeded."""

    def link_closed(self, member: Member, goodbye: bool) -> None:  # noqa: B027
        """Handle the end of the last link to a member.

        :param goodbye: whether either side closed it on purpose.
        """

    @abstractmethod
    def heartbeat_received(self, member: Member, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of a member."""


class Peers(PeerBus):
    """Holds the links of one VM; a task for each link serves it.

    :param own: returns this VM with its present condition.
    :param heartbeat: returns the heartbeat to send.
    :param dialer: opens links.
    :param keys: keys that peers prove in the handshake.
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
        self._links = LinkTable()
        self._listeners: list[LinkListener] = []
        self._payload_handlers: dict[type, list[Callable[[Any, Member], None]]] = {}
        self._question_handlers: dict[
            type, Callable[[Any, Member], Awaitable[tuple[Any, ...]]]
        ] = {}
        self._numbers = itertools.count(1)
        self._seen_publications: dict[tuple[str, int, int], None] = {}
        self._pending_answers: dict[int, asyncio.Future[tuple[Any, ...]]] = {}
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._message_handlers: dict[type, Callable[[Any, AuthenticatedLink], None]] = {
            Heartbeat: self._handle_heartbeat,
            Publication: self._handle_publication,
            Question: self._handle_question,
            Answer: self._handle_answer,
            Goodbye: lambda _message, _linked: None,
        }
        self._handshakes = 0
        self._questions_in_progress = 0

    @property
    def links(self) -> LinkTable:
        """The open links."""
        return self._links

    def add_listener(self, listener: LinkListener) -> None:
        """Notify a listener of the events of all links."""
        self._listeners.append(listener)

    def publish(self, payload: tuple[Any, ...]) -> None:
        """Publish a payload to all VMs by flooding it over the links."""
        self._publish(payload, local=False)

    def publish_local(self, payload: tuple[Any, ...]) -> None:
        """Publish a payload to the VMs of this data centre only."""
        self._publish(payload, local=True)

    def send(self, address: str, payload: tuple[Any, ...]) -> None:
        """Send a payload to one VM, if there is a link to it."""
        linked = self._links.get(address)
        if linked is not None:
            linked.link.post(Publication(self._own(), 0, 0, True, payload))

    def subscribe(self, kind: type[F], handler: Callable[[F, Member], None]) -> None:
        """Call ``handler(payload, origin)`` for each arriving payload of a kind."""
        self._payload_handlers.setdefault(kind, []).append(handler)

    def serve(
        self, kind: type[F], handler: Callable[[F, Member], Awaitable[tuple[Any, ...]]]
    ) -> None:
        """Answer questions of a kind by ``await handler(question, origin)``."""
        self._question_handlers[kind] = handler

    async def ask(
        self, member: Member, question: tuple[Any, ...], timeout: float
    ) -> tuple[Any, ...]:
        """Put a question to one VM and return its answer; opens a link if there is none."""
        try:
            async with asyncio.timeout(timeout):
                return await self._ask(member.address, question)
        except TimeoutError as error:
            raise LinkError("no answer in time", step="ask", peer=member.address) from error

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link."""
        heartbeat = self._heartbeat()
        for linked in self._links:
            linked.link.post(heartbeat)

    async def run(self) -> None:
        """Send heartbeats at regular intervals until cancelled."""
        while True:
            self.send_heartbeats()
            self._observer.set_gauge("peer_links", len(self._links))
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def accept(self, link: PeerLink) -> None:
        """Serve a link that another VM opened, until it ends."""
        if self._handshakes >= MAX_HANDSHAKES:
            await link.close("too many handshakes in progress")
            return
        self._handshakes += 1
        try:
            member = await self._handshake(link, dialled=False)
        finally:
            self._handshakes -= 1
        if member is not None:
            await self._serve_link(AuthenticatedLink(link, member, dialled=False))

    async def dial(self, address: str) -> bool:
        """Open a link to a VM unless there is one already.

        :return: whether there is a link now.
        """
        if address not in self._links and address != self._own().address:
            await asyncio.wait({self._dial_task(address)}, timeout=None)
        return address in self._links

    async def disconnect(self, address: str, reason: str) -> None:
        """Close the links that this VM opened to another."""
        for linked in self._links:
            if linked.member.address == address and linked.dialled:
                self._links.remove(linked)
                linked.link.post(Goodbye(reason))
                await linked.link.close(reason)

    async def close(self, reason: str) -> None:
        """Send a goodbye on all links, close them and end their tasks."""
        for linked in self._links:
            linked.link.post(Goodbye(reason))
        tasks = [*self._tasks, *self._dials.values()]
        await asyncio.gather(*(linked.link.close(reason) for linked in self._links))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _publish(self, payload: tuple[Any, ...], *, local: bool) -> None:
        publication = Publication(self._own(), next(self._numbers), PUBLICATION_TTL, local, payload)
        self._is_new(publication)
        self._flood(publication, "")

    def _dial_task(self, address: str) -> asyncio.Task[None]:
        task = self._dials.get(address)
        if task is None:
            task = asyncio.create_task(self._dial(address), name=f"dial {address}")
            self._dials[address] = task
            task.add_done_callback(lambda _: self._dials.pop(address, None))
        return task

    async def _dial(self, address: str) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                link = await self._dialer.connect(address)
        except (LinkError, TimeoutError):
            self._observer.count("peer_dial_failed")
            return
        member = await self._handshake(link, dialled=True)
        if member is None:
            return
        linked = AuthenticatedLink(link, member, dialled=True)
        self._register(linked)
        self._spawn(self._serve_link(linked), f"peer {member.address}")

    async def _handshake(self, link: PeerLink, *, dialled: bool) -> Member | None:
        try:
            member = await run_handshake(link, self._own(), self._keys, dialled=dialled)
        except (ProtocolError, LinkError) as error:
            self._log_refusal(error)
            await link.close(error.reason)
            return None
        except asyncio.CancelledError:
            await link.close("stopped")
            raise
        link.allow_long_messages()
        return member

    def _register(self, linked: AuthenticatedLink) -> None:
        self._links.add(linked)
        for listener in self._listeners:
            listener.link_opened(linked.member)
        linked.link.post(self._heartbeat())

    async def _serve_link(self, linked: AuthenticatedLink) -> None:
        if not linked.dialled:
            self._register(linked)
        goodbye = False
        reason = "stopped"
        try:
            while not goodbye:
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    message = await linked.link.receive()
                goodbye = isinstance(message, Goodbye)
                self._handle(message, linked)
            reason = "goodbye"
        except TimeoutError:
            reason = f"nothing received for {SILENCE_TIMEOUT_SECONDS:g} s"
        except (ProtocolError, LinkError) as error:
            reason = error.reason
            if isinstance(error, ProtocolError):
                self._log_refusal(error)
        finally:
            registered = self._links.remove(linked)
            if registered and linked.member.address not in self._links:
                for listener in self._listeners:
                    listener.link_closed(linked.member, goodbye)
            await linked.link.close(reason)

    def _handle(self, message: LinkMessage, linked: AuthenticatedLink) -> None:
        handler = self._message_handlers.get(type(message))
        if handler is None:
            reason = f"{type(message).__name__} received after the handshake"
            raise ProtocolError(reason, step="receive", peer=linked.member.address)
        handler(message, linked)

    def _handle_heartbeat(self, heartbeat: Heartbeat, linked: AuthenticatedLink) -> None:
        for listener in self._listeners:
            listener.heartbeat_received(linked.member, heartbeat)

    def _handle_publication(self, publication: Publication, linked: AuthenticatedLink) -> None:
        if publication.number and not self._is_new(publication):
            return
        for handler in self._payload_handlers.get(type(publication.payload), []):
            handler(publication.payload, publication.origin)
        if publication.ttl > 0:
            self._flood(publication._replace(ttl=publication.ttl - 1), linked.member.address)

    def _handle_question(self, question: Question, linked: AuthenticatedLink) -> None:
        if self._questions_in_progress >= MAX_QUESTIONS_IN_PROGRESS:
            linked.link.post(Answer(question.number, NoAnswer("too many questions")))
            return
        self._spawn(self._answer_question(question, linked), "answer")

    def _handle_answer(self, answer: Answer, linked: AuthenticatedLink) -> None:
        waiter = self._pending_answers.get(answer.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(answer.answer)

    async def _answer_question(self, question: Question, linked: AuthenticatedLink) -> None:
        handler = self._question_handlers.get(type(question.question))
        self._questions_in_progress += 1
        try:
            if handler is None:
                answer: tuple[Any, ...] = NoAnswer("questions of this type are not served")
            else:
                answer = await handler(question.question, linked.member)
        except AuburncartError as error:
            answer = NoAnswer(str(error))
        finally:
            self._questions_in_progress -= 1
        linked.link.post(Answer(question.number, answer))

    async def _ask(self, address: str, question: tuple[Any, ...]) -> tuple[Any, ...]:
        if not await self.dial(address):
            raise LinkError("no link to the VM", step="ask", peer=address)
        linked = self._links.get(address)
        number = next(self._numbers)
        waiter: asyncio.Future[tuple[Any, ...]] = asyncio.get_running_loop().create_future()
        self._pending_answers[number] = waiter
        try:
            if linked is not None:
                linked.link.post(Question(number, question))
            answer = await waiter
        finally:
            del self._pending_answers[number]
        if isinstance(answer, NoAnswer):
            raise LinkError(answer.reason, step="ask", peer=address)
        return answer

    def _flood(self, publication: Publication, sender: str) -> None:
        reached = {sender, publication.origin.address}
        for linked in self._links:
            remote = linked.member.data_centre != publication.origin.data_centre
            if linked.member.address not in reached and not (remote and publication.local_only):
                reached.add(linked.member.address)
                linked.link.post(publication)

    def _is_new(self, publication: Publication) -> bool:
        origin = publication.origin
        identity = (origin.address, origin.incarnation, publication.number)
        if identity in self._seen_publications:
            return False
        self._seen_publications[identity] = None
        if len(self._seen_publications) > MAX_SEEN_PUBLICATIONS:
            del self._seen_publications[next(iter(self._seen_publications))]
        return True

    def _spawn(self, coroutine: Any, name: str) -> None:
        task: asyncio.Task[None] = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log_refusal(self, error: AuburncartError) -> None:
        self._observer.count("peer_refused")
        log_message(
            message_type="peer_refused", step=error.step, peer=error.peer, reason=error.reason
        )
