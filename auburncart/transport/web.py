"""The HTTP front end for callers, built on CherryPy."""

import asyncio
import itertools
import math
import threading
from collections.abc import Callable

import cherrypy
from expression import Error, Result

from auburncart.coordination.order import OrderService
from auburncart.coordination.rank_filter import RankFilter
from auburncart.coordination.search import SearchService
from auburncart.coordination.shutdown import FrontEnd, RequestTracker
from auburncart.exception import BodySizeError, InputError
from auburncart.protocol import caller as protocol
from auburncart.state.failure import Ran, Refusal, RefusalCode, Step
from auburncart.state.order import OrderAnswer, OrderRequest
from auburncart.state.search import SearchAnswer, SearchRequest
from auburncart.transport.cherrypy_app import make_application
from auburncart.transport.loop import LoopBridge
from auburncart.transport.metrics import MetricsObserver
from auburncart.transport.read_timeout import BODY_READ_KEY, ReadTimeoutServer

__all__ = ["CallerApplication", "CallerPorts", "CallerServer"]

MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_SECONDS = 10
READ_TIMEOUT_SECONDS = 5.0
SHUTDOWN_TIMEOUT_SECONDS = 5
LISTEN_BACKLOG = 512
MAX_WAITING_CONNECTIONS = 256  # with a request that waits for a thread; one more gets 503
WAITING_TIMEOUT_SECONDS = 0.05
MAX_READ_BODY_BYTES = 1024 * 1024  # the server itself refuses larger ones
JSON = "application/json"


class CallerApplication:
    """Handlers of the callers' paths; each blocks its thread until the event loop has answered.

    :param name: name of this VM, the prefix of the request ids that it generates.
    :param rank_filter: decides which ranks this port accepts.
    :param request_tracker: tracks the requests in flight and the readiness of the VM.
    """

    def __init__(
        self,
        name: str,
        bridge: LoopBridge,
        rank_filter: RankFilter,
        searches: SearchService,
        orders: OrderService,
        metrics: MetricsObserver,
        request_tracker: RequestTracker,
    ) -> None:
        self._request_tracker = request_tracker
        self._name = name
        self._rank_filter = rank_filter
        self._bridge = bridge
        self._searches = searches
        self._orders = orders
        self._metrics = metrics
        self._numbers = itertools.count(1)

    @cherrypy.expose
    def search(self) -> bytes:
        """Answer ``POST /v1/search``."""
        request_id = self._request_id()
        try:
            request = protocol.decode_search(_read_body(), request_id, self._bridge.time())
        except InputError as error:
            return _refuse(_bad_request(error), request_id)
        result = self._bridge.call(self._search(request))
        return _respond(result, protocol.encode_search_answer, request.request_id)

    @cherrypy.expose
    def order(self) -> bytes:
        """Answer ``POST /v1/order``."""
        request_id = self._request_id()
        try:
            request = protocol.decode_order(_read_body(), request_id, self._bridge.time())
        except InputError as error:
            return _refuse(_bad_request(error), request_id)
        result = self._bridge.call(self._order(request))
        return _respond(result, protocol.encode_order_answer, request.request_id)

    @cherrypy.expose
    def ready(self) -> bytes:
        """Answer ``GET /v1/ready``: 200 if this VM takes new requests, otherwise 503."""
        ready = self._request_tracker.ready
        cherrypy.response.status = 200 if ready else 503
        cherrypy.response.headers["Content-Type"] = JSON
        return b'{"ready":true}' if ready else b'{"ready":false}'

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Answer ``GET /v1/metrics``."""
        body, headers = self._metrics.render(cherrypy.request.headers.get("Accept", ""))
        cherrypy.response.headers.update(headers)
        return body

    async def _search(self, request: SearchRequest) -> Result[SearchAnswer, Refusal]:
        with self._request_tracker.track():
            refusal = self._rank_filter.refusal(request.customer, request.kind)
            return Error(refusal) if refusal else await self._searches.search(request)

    async def _order(self, request: OrderRequest) -> Result[OrderAnswer, Refusal]:
        with self._request_tracker.track():
            refusal = self._rank_filter.refusal(request.customer, request.kind)
            if refusal is None:
                return await self._orders.order(request)
            ran = Ran.UNKNOWN if request.repeat else Ran.NO
            return Error(refusal._replace(ran=ran))

    def _request_id(self) -> str:
        return f"{self._name}-r{next(self._numbers)}"


class CallerServer:
    """One listening port with its own threads.

    :param address: ``"IP:port"`` to listen on.
    :param threads: number of threads, which bounds the requests in flight.
    :param clock: the event loop's monotonic clock, in seconds.
    :param read_timeout_seconds: timeout for reading one request.
    """

    def __init__(
        self,
        address: str,
        application: CallerApplication,
        threads: int,
        clock: Callable[[], float],
        read_timeout_seconds: float = READ_TIMEOUT_SECONDS,
    ) -> None:
        host, port = address.rsplit(":", 1)
        app = make_application(application, {"error_page.default": _error_page})
        self._server = ReadTimeoutServer(
            (host, int(port)),
            app,
            numthreads=threads,
            max=threads,
            timeout=IDLE_TIMEOUT_SECONDS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
            request_queue_size=LISTEN_BACKLOG,
            accepted_queue_size=MAX_WAITING_CONNECTIONS,
            accepted_queue_timeout=WAITING_TIMEOUT_SECONDS,
            read_timeout_seconds=read_timeout_seconds,
            clock=clock,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = MAX_READ_BODY_BYTES
        self._thread = threading.Thread(
            target=self._server.serve, name=f"callers-{address}", daemon=True
        )

    @property
    def address(self) -> str:
        """``"IP:port"`` that the server listens on."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Start listening and serving on the server's threads."""
        self._server.prepare()
        self._thread.start()

    def close_after_reply(self) -> None:
        """Close each connection after its next reply."""
        self._server.keep_alive_conn_limit = 0

    def stop(self) -> None:
        """Stop listening and wait for the requests in flight."""
        self._server.stop()
        self._thread.join()


class CallerPorts(FrontEnd):
    """All listening ports of one VM.

    :param servers: one server for each port.
    """

    def __init__(self, servers: tuple[CallerServer, ...]) -> None:
        self._servers = servers

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses that the servers listen on, in the order of the servers."""
        return tuple(server.address for server in self._servers)

    def close_after_reply(self) -> None:
        """Close each connection after its next reply."""
        for server in self._servers:
            server.close_after_reply()

    async def stop(self) -> None:
        """Stop listening, wait for the requests in flight and close all connections."""
        await asyncio.gather(*(asyncio.to_thread(server.stop) for server in self._servers))


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    cherrypy.response.headers["Content-Type"] = JSON
    code = RefusalCode.BAD_REQUEST if status.startswith("4") else RefusalCode.FAILED
    ran = Ran.NO if status.startswith("4") else Ran.UNKNOWN
    return protocol.encode_refusal(Refusal(code, message or status, ran, 0.0, Step.PARSE), "")


def _read_body() -> bytes:
    request = cherrypy.request
    if request.method != "POST":
        raise InputError(f"method {request.method}, expected POST", step="parse")
    length = int(request.headers.get("Content-Length", 0))
    if length > protocol.MAX_BODY_BYTES:
        cherrypy.response.headers["Connection"] = "close"
        limit = protocol.MAX_BODY_BYTES
        raise BodySizeError(f"body of {length} bytes, expected at most {limit}", step="parse")
    body = request.rfile.read()
    request.wsgi_environ[BODY_READ_KEY]()
    return body


def _bad_request(error: InputError) -> Refusal:
    code = RefusalCode.TOO_LARGE if isinstance(error, BodySizeError) else RefusalCode.BAD_REQUEST
    return Refusal(code, error.reason, step=Step.PARSE)


def _respond(result: Result, encode, request_id: str) -> bytes:  # type: ignore[no-untyped-def]
    if result.is_error():
        return _refuse(result.error, request_id)
    cherrypy.response.headers["Content-Type"] = JSON
    return encode(result.ok)


def _refuse(refusal: Refusal, request_id: str) -> bytes:
    cherrypy.response.status = protocol.STATUS_BY_CODE[refusal.code]
    cherrypy.response.headers["Content-Type"] = JSON
    if refusal.retry_after:
        cherrypy.response.headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    return protocol.encode_refusal(refusal, request_id)
