"""Validates requests to the administration listener before circuits.web parses them.

The library parses Content-Length with a bare ``int()``, limits neither the size of heads and bodies
nor the time to receive them, keeps a partial request after its client has disconnected, and answers
pipelined requests in any order. So a strict parser reads the data first, and only one complete
request of limited size per connection is passed on.
"""

import httptools
from circuits import BaseComponent, handler
from circuits.net.events import close, read, write

from camphorshelf_core.errors import Code
from camphorshelf_core.memorybudget import Phase

from .reply import render_error

_MAX_HEAD_BYTES = 16_384


class AdminGuard(BaseComponent):
    """Filters the events of the administration server's HTTP component.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_core.settings.AdministrationSettings`.
    :param http: the server's HTTP component.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`.
    """

    channel = "admin"

    def __init__(self, loop, settings, http, memory):
        super().__init__(channel=self.channel)
        self._loop = loop
        self._memory = memory
        self._settings = settings
        self._http = http
        self._connections = {}

    def is_open(self, sock):
        """Return whether a connection is still open.

        :param sock: the connection's socket.
        :return: True if a response can be sent on it.
        """
        return sock in self._connections

    @handler("connect", priority=10)
    def _on_connect(self, sock, *_args):
        if len(self._connections) >= self._settings.connections:
            self._refuse(
                sock,
                Code.ADMIN_BUSY,
                f"too many connections; at most {self._settings.connections} may be open",
            )
            return
        timeout = self._settings.request_timeout_ms / 1000
        timer = self._loop.call_later(timeout, lambda: self._on_timeout(sock))
        account = self._memory.open("admin", lambda: self.fire(close(sock)))
        self._connections[sock] = _GuardedConnection(self._settings.request_bytes, timer, account)

    @handler("disconnect", priority=10)
    def _on_disconnect(self, sock):
        connection = self._connections.pop(sock, None)
        if connection is not None:
            connection.timer.cancel()
            self._memory.close(connection.account)
        # The library removes a connection's parser only after a complete request. Without this,
        # a client that disconnects in the middle would leak its parser and its data.
        self._http._buffers.pop(sock, None)
        self._http._clients.pop(sock, None)

    @handler("read", priority=10)
    def _on_read(self, event, sock, data):
        if getattr(event, "checked", False):
            return
        event.stop()
        connection = self._connections.get(sock)
        if connection is None or connection.is_refused:
            return
        if connection.is_complete:
            self.fire(close(sock))
            return
        error = connection.feed(data)
        size = len(connection.data)
        self._memory.hold(connection.account, size, Phase.ARRIVING, size)
        if error is not None:
            connection.is_refused = True
            self._refuse(sock, *error)
        elif connection.is_complete:
            checked_read = read(sock, bytes(connection.data))
            checked_read.checked = True
            self.fire(checked_read)

    def _on_timeout(self, sock):
        if sock in self._connections:
            self.fire(close(sock))

    def _refuse(self, sock, code, reason):
        self.fire(write(sock, render_error(code, reason)))
        self.fire(close(sock))


class _GuardedConnection:
    """A connection, and the only request that may be sent on it."""

    def __init__(self, max_bytes, timer, account):
        self.account = account
        self._max_bytes = max_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._in_head = True
        self._names = []
        self.timer = timer
        self.data = bytearray()
        self.is_complete = False
        self.is_refused = False

    def feed(self, data):
        """Parse received data; return a code and a reason if it is refused, otherwise None."""
        self.data += data
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return Code.MALFORMED_REQUEST, "the request is not valid HTTP"
        head_bytes = len(self.data) if self._in_head else self.data.find(b"\r\n\r\n")
        if head_bytes > _MAX_HEAD_BYTES or len(self.data) > _MAX_HEAD_BYTES + self._max_bytes:
            return Code.REQUEST_TOO_LARGE, "the request's head or body is larger than allowed"
        if not self._in_head:
            return self._check_head()
        return None

    def _check_head(self):
        for name in (b"host", b"authorization", b"content-length"):
            if self._names.count(name) > 1:
                return Code.MALFORMED_REQUEST, f"more than one {name.decode()} header"
        if b"host" not in self._names or b"transfer-encoding" in self._names:
            return Code.MALFORMED_REQUEST, "Host is required and Transfer-Encoding is not supported"
        return None

    def on_header(self, name, _value):
        """Handle the parser's event for a header."""
        self._names.append(name.lower())

    def on_headers_complete(self):
        """Handle the parser's event for the end of the head."""
        self._in_head = False

    def on_message_complete(self):
        """Handle the parser's event for the end of the request."""
        self.is_complete = True
