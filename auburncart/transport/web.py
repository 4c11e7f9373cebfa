"""The HTTP front end for callers, by CherryPy."""

import itertools
import math
import threading

import cherrypy
from cheroot import wsgi
from expression import Result

from auburncart.coordination import OrderService, SearchService
from auburncart.exception import InputError
from auburncart.protocol import caller as protocol
from auburncart.state import Ran, Refusal, RefusalCode, Step
from auburncart.transport.cherry import make_application
from auburncart.transport.loop import LoopBridge
from auburncart.transport.metrics import MetricsObserver

__all__ = ["CallerApplication", "CallerServer"]

MAX_HEADER_BYTES = 16 * 1024
IDLE_SECONDS = 10
SHUTDOWN_SECONDS = 5
JSON = "application/json"


class CallerApplication:
    """Handlers of the caller's paths; each blocks its thread until the loop has answered.

    :param name: name of this VM, the front part of the request ids that it makes.
    """

    def __init__(
        self,
        name: str,
        bridge: LoopBridge,
        searches: SearchService,
        orders: OrderService,
        metrics: MetricsObserver,
    ) -> None:
        self._name = name
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
            request = protocol.decode_search(_body(), request_id, self._bridge.time())
        except InputError as error:
            return _refuse(_bad_request(error), request_id)
        result = self._bridge.call(self._searches.search(request))
        return _respond(result, protocol.encode_search_answer, request.request_id)

    @cherrypy.expose
    def order(self) -> bytes:
        """Answer ``POST /v1/order``."""
        request_id = self._request_id()
        try:
            request = protocol.decode_order(_body(), request_id, self._bridge.time())
        except InputError as error:
            return _refuse(_bad_request(error), request_id)
        result = self._bridge.call(self._orders.order(request))
        return _respond(result, protocol.encode_order_answer, request.request_id)

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Answer ``GET /v1/metrics``."""
        body, headers = self._metrics.render(cherrypy.request.headers.get("Accept", ""))
        cherrypy.response.headers.update(headers)
        return body

    def _request_id(self) -> str:
        return f"{self._name}-r{next(self._numbers)}"


class CallerServer:
    """One listening port with threads of its own.

    :param address: ``"IP:port"`` to listen on.
    :param threads: number of threads, which bounds the requests at work.
    """

    def __init__(self, address: str, application: CallerApplication, threads: int) -> None:
        host, port = address.rsplit(":", 1)
        app = make_application(application, {"error_page.default": _error_page})
        self._server = wsgi.Server(
            (host, int(port)),
            app,
            numthreads=threads,
            max=threads,
            timeout=IDLE_SECONDS,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = protocol.MAX_BODY_BYTES
        self._thread = threading.Thread(
            target=self._server.serve, name=f"callers-{address}", daemon=True
        )

    @property
    def address(self) -> str:
        """``"IP:port"`` that the server listens on."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Listen and serve on threads of the server's own."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and wait for the requests at work."""
        self._server.stop()
        self._thread.join()


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    cherrypy.response.headers["Content-Type"] = JSON
    code = RefusalCode.BAD_REQUEST if status.startswith("4") else RefusalCode.FAILED
    ran = Ran.NO if status.startswith("4") else Ran.UNKNOWN
    return protocol.encode_refusal(Refusal(code, message or status, ran, 0.0, Step.PARSE), "")


def _body() -> bytes:
    if cherrypy.request.method != "POST":
        raise InputError(f"method {cherrypy.request.method}, expected POST", step="parse")
    return cherrypy.request.rfile.read()


def _bad_request(error: InputError) -> Refusal:
    return Refusal(RefusalCode.BAD_REQUEST, error.reason, step=Step.PARSE)


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
