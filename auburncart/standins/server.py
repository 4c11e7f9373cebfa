"""HTTP servers over the stand-ins."""

import os
import threading
from collections.abc import Callable
from typing import Any

import cherrypy
import msgspec
from cheroot import wsgi

from auburncart.standins.platform import (
    PlatformModel,
    PlatformOutageError,
    StoredBytes,
    TagMismatchError,
    WriteFault,
)
from auburncart.standins.upstream import UpstreamCrashError, UpstreamModel
from auburncart.state.search import SubQuery
from auburncart.state.upstream import Batch, BatchReply, UpstreamCondition, UpstreamOrder
from auburncart.transport.cherry import make_application
from auburncart.transport.loop import LoopBridge

__all__ = ["PlatformApplication", "StandinServer", "UpstreamApplication"]

CRASH_EXIT_CODE = 70
SHUTDOWN_SECONDS = 1
BACKLOG = 512


class StandinServer:
    """Serves a stand-in's application on a port.

    :param address: ``"IP:port"``.
    :param application: object with CherryPy handlers, mounted at ``/v1``.
    :param threads: number of threads.
    """

    def __init__(self, address: str, application: object, threads: int) -> None:
        host, port = address.rsplit(":", 1)
        app = make_application(application, {})
        self._server = wsgi.Server(
            (host, int(port)),
            app,
            numthreads=threads,
            max=threads,
            shutdown_timeout=SHUTDOWN_SECONDS,
            request_queue_size=BACKLOG,
        )
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def address(self) -> str:
        """``"IP:port"`` that the server listens on."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Listen and serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop."""
        self._server.stop()
        self._thread.join()


def _read() -> Any:
    return msgspec.json.decode(cherrypy.request.rfile.read())


def _reply(value: Any) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)


class PlatformApplication:
    """Handlers of the platform's paths.

    :param model: the platform.
    :param bridge: the loop that it runs on.
    """

    def __init__(self, model: PlatformModel, bridge: LoopBridge) -> None:
        self._model = model
        self._bridge = bridge

    @cherrypy.expose
    def objects(self, kind: str, name: str, wait: str = "0") -> bytes:
        """Read, watch or write an object."""
        path = f"/v1/objects/{kind}/{name}"
        try:
            if cherrypy.request.method == "PUT":
                return self._write(path)
            return self._get(path, float(wait))
        except PlatformOutageError as error:
            raise cherrypy.HTTPError(503, "outage") from error

    @cherrypy.expose
    def vms(self) -> bytes:
        """Return the list of VMs."""
        try:
            return _reply(self._bridge.call(self._model.members()))
        except PlatformOutageError as error:
            raise cherrypy.HTTPError(503, "outage") from error

    @cherrypy.expose
    def control(self) -> bytes:
        """Do what a scenario asks: ``{"command": NAME, "value": VALUE}``."""
        fields = _read()
        self._bridge.call(self._control(fields["command"], fields.get("value")))
        return _reply({"calls": self._model.calls})

    async def _control(self, command: str, value: Any) -> None:
        commands: dict[str, Callable[[], None]] = {
            "outage": lambda: self._model.set_outage(bool(value)),
            "delay": lambda: self._model.set_delay(float(value)),
            "fail_write": lambda: self._model.fail_next_write(WriteFault(value)),
            "members": lambda: self._model.set_members(value),
            "calls": lambda: None,
        }
        commands[command]()

    def _get(self, path: str, wait: float) -> bytes:
        known = cherrypy.request.headers.get("If-None-Match", "")
        call = self._model.watch(path, known, wait) if wait else self._model.read(path)
        stored: StoredBytes | None = self._bridge.call(call)
        if stored is None:
            cherrypy.response.status = 304 if wait else 404
            return b""
        cherrypy.response.headers["ETag"] = stored.etag
        cherrypy.response.headers["Content-Type"] = "application/json"
        return stored.body

    def _write(self, path: str) -> bytes:
        body = cherrypy.request.rfile.read()
        etag = cherrypy.request.headers.get("If-Match", "")
        try:
            cherrypy.response.headers["ETag"] = self._bridge.call(
                self._model.write(path, body, etag)
            )
        except TagMismatchError as error:
            raise cherrypy.HTTPError(412, "the tag differs") from error
        return b""


class UpstreamApplication:
    """Handlers of an upstream's paths.

    :param model: the upstream.
    :param bridge: the loop that it runs on.
    :param exits: whether a crash ends the process.
    """

    def __init__(self, model: UpstreamModel, bridge: LoopBridge, *, exits: bool = False) -> None:
        self._model = model
        self._bridge = bridge
        self._exits = exits

    @cherrypy.expose
    def query(self) -> bytes:
        """Answer one sub-query."""
        fields = _read()
        return self._search(fields, [fields["query"]])

    @cherrypy.expose
    def batch(self) -> bytes:
        """Answer several sub-queries."""
        fields = _read()
        return self._search(fields, fields["queries"])

    @cherrypy.expose
    def order(self) -> bytes:
        """Carry out an order."""
        fields = _read()
        deadline = self._bridge.time() + fields["deadline_ms"] / 1000.0
        order = UpstreamOrder(
            fields["request_id"],
            fields["key"],
            fields["shard"],
            fields["kind"],
            fields["order"],
            deadline,
        )
        reply = self._call(self._model.order(order))
        return _reply(
            {
                "request_id": order.request_id,
                "key": order.key,
                "accepted": reply.accepted,
                "outcome": reply.outcome,
                "condition": reply.condition.value,
            }
        )

    @cherrypy.expose
    def cancel(self) -> bytes:
        """Stop work on a request."""
        self._bridge.call(self._cancel(_read()["request_id"]))
        return b"{}"

    @cherrypy.expose
    def control(self) -> bytes:
        """Do what a scenario asks: ``{"command": NAME, "value": VALUE}``."""
        fields = _read()
        self._bridge.call(self._control(fields["command"], fields.get("value")))
        return _reply({"effects": [order.key for order in self._model.effects]})

    async def _control(self, command: str, value: Any) -> None:
        commands: dict[str, Callable[[], None]] = {
            "condition": lambda: self._model.set_condition(UpstreamCondition(value)),
            "slow": lambda: self._model.set_slow(float(value)),
            "crash_on": lambda: self._model.set_crash_text(str(value)),
            "snapshots": lambda: self._model.set_snapshots(*value),
            "effects": lambda: None,
        }
        commands[command]()

    async def _cancel(self, request_id: str) -> None:
        self._model.cancel(request_id)

    def _search(self, fields: dict[str, Any], queries: list[dict[str, str]]) -> bytes:
        deadline = self._bridge.time() + fields["deadline_ms"] / 1000.0
        snapshot = fields["snapshot"]
        subs = tuple(
            SubQuery(query["id"], query["shard"], snapshot, query["kind"], query["text"], deadline)
            for query in queries
        )
        batch = Batch(fields["request_id"], snapshot, deadline, subs)
        return _reply(_reply_fields(batch, self._call(self._model.search(batch))))

    def _call(self, coroutine: Any) -> Any:
        try:
            return self._bridge.call(coroutine)
        except UpstreamCrashError as error:
            if self._exits:
                os._exit(CRASH_EXIT_CODE)
            raise cherrypy.HTTPError(500, "crashed") from error


def _reply_fields(batch: Batch, reply: BatchReply) -> dict[str, Any]:
    answers: list[dict[str, Any]] = []
    for sub in batch.sub_queries:
        answer = reply.answers.get(sub.sub_query_id)
        if answer is not None:
            answers.append({"id": sub.sub_query_id, "shard": sub.shard, "hits": answer.hits})
        else:
            failure = reply.failures[sub.sub_query_id]
            answers.append(
                {
                    "id": sub.sub_query_id,
                    "shard": sub.shard,
                    "error": failure.code.value,
                    "reason": failure.reason,
                }
            )
    return {
        "request_id": batch.request_id,
        "snapshot": batch.snapshot,
        "condition": reply.condition.value,
        "answers": answers,
    }
