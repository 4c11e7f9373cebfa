"""Stand-in for replicas and connections to them, on the event loop's clock."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from auburncart.coordination.forwarding.interfaces import ReplicaConnection, ReplicaDialer
from auburncart.exception import UpstreamError
from auburncart.state.forward import Announcement, ForwardRequest, Reply
from auburncart.state.registration import Registration

__all__ = [
    "Arrival",
    "FakeReplicaDialer",
    "ReplicaModel",
    "misdirected_reply",
    "ok_reply",
    "shed_reply",
]


class Arrival(NamedTuple):
    """A request that reached a replica.

    :param at: loop time of its arrival in seconds.
    :param vm: name of the VM that sent it, if its dialer has one.
    """

    at: float
    instance: str
    request: ForwardRequest
    vm: str = ""


class ReplicaModel:
    """Behaviour of one replica: how long it takes and what it replies.

    ``in_flight`` counts the requests that it executes now, ``executed`` those it has executed,
    ``connections`` the open connections; it resets those beyond ``max_connections``. Its replies
    name ``request_limit`` and say whether it is ``leaving``; those with status 503 name
    ``retry_after``.

    :param service_seconds: time of one request.
    :param reply: returns the reply to a request, or None to reset the connection instead.
    """

    def __init__(
        self,
        service_seconds: float = 0.01,
        reply: Callable[[ForwardRequest], Reply | None] | None = None,
    ) -> None:
        self.service_seconds = service_seconds
        self.reply = reply or ok_reply
        self.reachable = True
        self.max_connections = 1000
        self.request_limit = float("inf")
        self.retry_after = 0.0
        self.leaving = False
        self.connections = 0
        self.in_flight = 0
        self.executed = 0
        self.crashed = asyncio.Event()

    def service_time(self, request: ForwardRequest) -> float:
        """Return the seconds that a request takes."""
        return self.service_seconds

    def announcement(self, reply: Reply) -> Announcement:
        """Return what the replica says about itself in a reply."""
        retry_after = self.retry_after if reply.status == 503 else 0.0
        return Announcement(self.request_limit, retry_after, self.leaving)

    def crash(self) -> None:
        """Lose all connections and accept no more."""
        self.reachable = False
        self.crashed.set()
        self.crashed = asyncio.Event()


class FakeReplicaDialer(ReplicaDialer):
    """Opens connections to simulated replicas by instance.

    ``arrivals`` lists all requests that reached a replica; ``resent_on_connection`` counts those
    whose id had been sent on the same connection before.

    :param vm: name of the VM that uses it.
    :param shared: a dialer of another VM, to the same replicas.
    """

    def __init__(self, vm: str = "", shared: "FakeReplicaDialer | None" = None) -> None:
        self.vm = vm
        self.models: dict[str, ReplicaModel] = shared.models if shared else {}
        self.arrivals: list[Arrival] = shared.arrivals if shared else []
        self.opened_connections = 0
        self.resent_on_connection = 0

    def add(self, instance: str, model: ReplicaModel | None = None) -> ReplicaModel:
        """Add a replica and return its model; one that is known keeps its model."""
        return self.models.setdefault(instance, model or ReplicaModel())

    async def connect(self, registration: Registration) -> ReplicaConnection:
        """Open a connection to a replica."""
        await asyncio.sleep(0.001)
        model = self.models.get(registration.instance)
        if model is None or not model.reachable:
            raise UpstreamError("refused", step="connect", peer=registration.address, sent=False)
        self.opened_connections += 1
        return _FakeConnection(self, registration, model)


class _FakeConnection(ReplicaConnection):
    def __init__(
        self, replicas: FakeReplicaDialer, registration: Registration, model: ReplicaModel
    ) -> None:
        self._replicas = replicas
        self._registration = registration
        self._model = model
        self._closed = asyncio.Event()
        self._in_use = False
        self._request_ids: set[str] = set()
        model.connections += 1
        self._is_reset = model.connections > model.max_connections

    @property
    def usable(self) -> bool:
        """Whether the connection is open and idle."""
        return not self._closed.is_set() and not self._in_use

    @property
    def idle_limit(self) -> float:
        """Seconds for which the replica keeps an idle connection."""
        return 5.0

    async def exchange(self, request: ForwardRequest, instance: str) -> Reply:
        """Execute a request for the replica's service time; closing the connection aborts it."""
        now = asyncio.get_running_loop().time()
        if self._is_reset:
            self.close()
            raise UpstreamError("reset", step="reply", peer=self._registration.address)
        self._replicas.arrivals.append(Arrival(now, instance, request, self._replicas.vm))
        self._replicas.resent_on_connection += request.request_id in self._request_ids
        self._request_ids.add(request.request_id)
        self._in_use = True
        self._model.in_flight += 1
        ended = [asyncio.create_task(event.wait()) for event in (self._closed, self._model.crashed)]
        try:
            seconds = self._model.service_time(request)
            interrupted, _ = await asyncio.wait(
                ended, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
            reply = None if interrupted else self._model.reply(request)
        finally:
            for task in ended:
                task.cancel()
            self._in_use = False
            self._model.in_flight -= 1
        if reply is None:
            self.close()
            raise UpstreamError("reset", step="reply", peer=self._registration.address)
        self._model.executed += not reply.not_run
        return reply._replace(announced=self._model.announcement(reply))

    def close(self) -> None:
        """Close the connection."""
        if not self._closed.is_set():
            self._model.connections -= 1
        self._closed.set()


def ok_reply(request: ForwardRequest) -> Reply:
    """Return a successful reply whose body is the request's id."""
    return Reply(200, b"OK", (), request.request_id.encode(), b"proof")


def shed_reply(request: ForwardRequest) -> Reply:
    """Return the reply of a replica that sheds load."""
    return Reply(503, b"", (), b"", not_run=True)


def misdirected_reply(request: ForwardRequest) -> Reply:
    """Return the reply of another instance that now has the replica's address."""
    return Reply(421, b"", (), b"", not_run=True, moved=True, instance="other")
