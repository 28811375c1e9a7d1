"""The administration listener, served by circuits.web."""

import json
from ipaddress import ip_address
from typing import Annotated, NamedTuple

from circuits import handler
from circuits.web import BaseServer
from circuits.web.errors import httperror
from pydantic import Field, TypeAdapter, ValidationError

from camphorshelf_core.drain import Source
from camphorshelf_core.roster import Announcement

from .metrics import CONTENT_TYPE


class AnnounceRequest(NamedTuple):
    """An announcement as a target posts it.

    ``instance`` names the target's process; a changed one tells that it was restarted.
    """

    service: str
    address: str
    slots: Annotated[int, Field(ge=1, le=100_000)]
    instance: str | None = None
    leaving: bool | None = None


_ANNOUNCEMENT = TypeAdapter(AnnounceRequest)


class AdminServer(BaseServer):
    """Takes announcements of the target beside the node and answers health checks."""

    channel = "admin"

    def __init__(self, address, node):
        super().__init__(address, channel=self.channel, display_banner=False)
        self._node = node
        self._routes = {
            ("POST", "/announce"): self._announce,
            ("POST", "/leave"): self._leave,
            ("POST", "/stay"): self._stay,
            ("GET", "/healthz"): self._health,
            ("GET", "/readyz"): self._ready,
            ("GET", "/metrics"): self._tell_metrics,
        }

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Keep the library's banner off standard error."""

    @handler("signal", override=True)
    def _on_signal(self, *args):
        """Leave signals to the node."""

    @handler("request", priority=1)
    def _on_request(self, event, request, response):
        event.stop()
        route = self._routes.get((request.method, request.path))
        if route is None:
            return httperror(request, response, 404)
        response.headers["Content-Type"] = "application/json"
        status, document = route(request)
        response.status = status
        if isinstance(document, str):
            response.headers["Content-Type"] = CONTENT_TYPE
            return document
        return json.dumps(document)

    def _announce(self, request):
        try:
            *fields, instance, leaving = _ANNOUNCEMENT.validate_python(
                json.loads(request.body.read())
            )
        except (ValueError, ValidationError) as error:
            return 400, {"error": str(error)}
        self._node.announce(Announcement(*fields), instance, leaving)
        return 200, self._state()

    def _leave(self, request):
        if not _is_loopback(request):
            return 403, {"error": "only the target beside this node may ask to leave"}
        self._node.gatekeeper.set_leaving(True, Source.TARGET)
        return 200, self._state()

    def _stay(self, request):
        if not _is_loopback(request):
            return 403, {"error": "only the target beside this node may ask to stay"}
        self._node.gatekeeper.set_leaving(False, Source.TARGET)
        return 200, self._state()

    def _state(self):
        return {"node": self._node.settings.name, "state": self._node.gatekeeper.phase.value}

    def _health(self, request):
        return 200, {"status": "up"}

    def _tell_metrics(self, request):
        return 200, self._node.metrics.render()

    def _ready(self, request):
        ready = self._node.ready
        return (200 if ready else 503), {"ready": ready}


def _is_loopback(request):
    return ip_address(request.remote.ip).is_loopback
