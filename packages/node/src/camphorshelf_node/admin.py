"""The HTTP server of the administration API, built on circuits.web."""

import json
from ipaddress import ip_address
from typing import Annotated, NamedTuple

from circuits import handler
from circuits.web import BaseServer
from circuits.web.events import response as response_event
from pydantic import Field, TypeAdapter, ValidationError

from camphorshelf_core.decoding import load_json
from camphorshelf_core.drain import Source
from camphorshelf_core.errors import Code, ProtocolError, Refusal
from camphorshelf_core.roster import Announcement

from .adminguard import AdminGuard
from .metrics import CONTENT_TYPE
from .reply import reply_refusal


class AnnounceRequest(NamedTuple):
    """The body of a target's ``POST /announce``.

    ``instance`` identifies the target's process: a new value means that it was restarted.
    """

    service: str
    address: str
    slots: Annotated[int, Field(ge=1, le=100_000)]
    instance: str | None = None
    leaving: bool | None = None


_ANNOUNCEMENT = TypeAdapter(AnnounceRequest)


class AdminRequest(NamedTuple):
    """A request, as it is passed to the handlers of the administration API."""

    method: str
    path: str
    query: dict
    token: str | None
    body: bytes
    from_loopback: bool


class AdminServer(BaseServer):
    """Handles announcements and health checks, and passes operators' requests on."""

    channel = "admin"

    def __init__(self, address, loop, settings, node, operators, on_fault, memory):
        super().__init__(address, channel=self.channel, display_banner=False)
        self._node = node
        self._operators = operators
        self._on_fault = on_fault
        self._own_ip = ip_address(address[0])
        self._guard = AdminGuard(loop, settings, self.http, memory).register(self)
        self._routes = {
            ("POST", "/announce"): self._announce,
            ("POST", "/leave"): self._leave,
            ("POST", "/stay"): self._stay,
            ("GET", "/healthz"): self._health,
            ("GET", "/readyz"): self._ready,
            ("GET", "/entry"): self._entry,
            ("GET", "/metrics"): self._render_metrics,
        }

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Override the library's handler, which writes a banner to standard error."""

    @handler("signal", override=True)
    def _on_signal(self, *args):
        """Override the library's handler: the node handles signals."""

    @handler("request", priority=1)
    def _on_request(self, event, request, response):
        event.stop()
        finished = []

        def reply(status, document):
            if finished or not self._guard.is_open(request.sock):
                return
            finished.append(True)
            _fill_response(response, status, document)
            self.fire(response_event(response))

        try:
            self._route(_read_request(request, self._own_ip), reply)
        except Exception as error:
            # The library would send the traceback in its response and expose internals of the
            # node to any client; the traceback is written to the node's log instead.
            self._on_fault(error)
            reply_refusal(
                reply, Refusal(Code.ADMIN_FAILED, "the node failed to process the request")
            )
        return True

    def _route(self, request, reply):
        route = self._routes.get((request.method, request.path))
        if route is not None:
            route(request, reply)
        else:
            self._operators.handle(request, reply)

    def _require_loopback(self, request, reply):
        if not request.from_loopback:
            reason = "targets may only send this request to the node on their own host"
            reply_refusal(reply, Refusal(Code.NOT_FROM_LOOPBACK, reason))
        return request.from_loopback

    def _announce(self, request, reply):
        if not self._require_loopback(request, reply):
            return
        try:
            *fields, instance, leaving = _ANNOUNCEMENT.validate_python(load_json(request.body))
        except (ProtocolError, ValidationError) as error:
            reply_refusal(reply, Refusal(Code.BAD_ANNOUNCEMENT, _describe_error(error)))
            return
        self._node.announce(Announcement(*fields), instance, leaving)
        reply(200, self._describe_phase())

    def _leave(self, request, reply):
        if self._require_loopback(request, reply):
            self._node.admission_controller.set_leaving(True, Source.TARGET)
            reply(200, self._describe_phase())

    def _stay(self, request, reply):
        if self._require_loopback(request, reply):
            self._node.admission_controller.set_leaving(False, Source.TARGET)
            reply(200, self._describe_phase())

    def _describe_phase(self):
        return {
            "node": self._node.settings.name,
            "state": self._node.admission_controller.phase.value,
        }

    def _health(self, request, reply):
        reply(200, {"status": "up"})

    def _entry(self, _request, reply):
        reply(200, self._node.entry_counts)

    def _render_metrics(self, _request, reply):
        reply(200, self._node.metrics.render())

    def _ready(self, request, reply):
        reason = self._node.find_unready_reason()
        if reason is None:
            reply(200, {"ready": True})
        else:
            reply(503, {"ready": False, "reason": reason})


def _read_request(request, own_ip):
    # A connection from the listener's own address also comes from this host.
    remote = ip_address(request.remote.ip.split("%")[0])
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return AdminRequest(
        method=request.method,
        path=request.path,
        query=dict(part.partition("=")[::2] for part in request.qs.split("&") if part),
        token=token.strip() if scheme.lower() == "bearer" else None,
        body=request.body.read(),
        from_loopback=remote.is_loopback or remote == own_ip,
    )


def _fill_response(response, status, document):
    response.status = status
    response.close = True
    if isinstance(document, str):
        response.headers["Content-Type"] = CONTENT_TYPE
        response.body = document
        return
    response.headers["Content-Type"] = "application/json"
    if status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    if "retry_after_ms" in document:
        response.headers["Retry-After"] = str(-(-document["retry_after_ms"] // 1000))
    response.body = json.dumps(document)


def _describe_error(error):
    if isinstance(error, ValidationError):
        first_error = error.errors()[0]
        return f"{'.'.join(str(part) for part in first_error['loc'])}: {first_error['msg']}"
    return f"the body is not JSON: {error}"
