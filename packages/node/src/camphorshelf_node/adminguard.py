"""Checks what arrives at the administration listener before circuits.web sees it.

The library reads Content-Length with a bare ``int()``, has no bound on heads, bodies or time,
keeps what it has of a request when its sender goes away, and answers pipelined requests in any
order. So a strict parser reads along, and only one whole, bounded request of each connection is
handed on.
"""

import httptools
from circuits import BaseComponent, handler
from circuits.net.events import close, read, write

from camphorshelf_core.errors import Code

from .reply import render_error

_MAX_HEAD_BYTES = 16_384


class AdminGuard(BaseComponent):
    """Stands before the HTTP component of the administration server."""

    channel = "admin"

    def __init__(self, loop, settings, http):
        super().__init__(channel=self.channel)
        self._loop = loop
        self._settings = settings
        self._http = http
        self._senders = {}

    def is_open(self, sock):
        """Tell whether a connection is still there to be answered.

        :param sock: its socket.
        :return: True or False.
        """
        return sock in self._senders

    @handler("connect", priority=10)
    def _on_connect(self, sock, *_args):
        if len(self._senders) >= self._settings.connections:
            self._refuse(sock, Code.ADMIN_BUSY, "too many connections")
            return
        wait = self._settings.request_timeout_ms / 1000
        timer = self._loop.call_later(wait, lambda: self._on_timeout(sock))
        self._senders[sock] = _Sender(self._settings.request_bytes, timer)

    @handler("disconnect", priority=10)
    def _on_disconnect(self, sock):
        sender = self._senders.pop(sock, None)
        if sender is not None:
            sender.timer.cancel()
        # The library forgets a connection's parser only with a whole request; without this a
        # sender that stops half way leaves its parser and bytes behind for ever.
        self._http._buffers.pop(sock, None)
        self._http._clients.pop(sock, None)

    @handler("read", priority=10)
    def _on_read(self, event, sock, data):
        if getattr(event, "checked", False):
            return
        event.stop()
        sender = self._senders.get(sock)
        if sender is None or sender.refused:
            return
        if sender.whole:
            self.fire(close(sock))
            return
        fault = sender.feed(data)
        if fault is not None:
            sender.refused = True
            self._refuse(sock, *fault)
        elif sender.whole:
            passed = read(sock, bytes(sender.data))
            passed.checked = True
            self.fire(passed)

    def _on_timeout(self, sock):
        if sock in self._senders:
            self.fire(close(sock))

    def _refuse(self, sock, code, reason):
        self.fire(write(sock, render_error(code, reason)))
        self.fire(close(sock))


class _Sender:
    """One connection and the one request it may send."""

    def __init__(self, max_bytes, timer):
        self._max_bytes = max_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._in_head = True
        self._names = []
        self.timer = timer
        self.data = bytearray()
        self.whole = False
        self.refused = False

    def feed(self, data):
        """Read bytes; give a code and a reason when they are not acceptable."""
        self.data += data
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return Code.MALFORMED_REQUEST, "not a valid request"
        head_bytes = len(self.data) if self._in_head else self.data.find(b"\r\n\r\n")
        if head_bytes > _MAX_HEAD_BYTES or len(self.data) > _MAX_HEAD_BYTES + self._max_bytes:
            return Code.REQUEST_TOO_LARGE, "the request is larger than allowed"
        if not self._in_head:
            return self._check_head()
        return None

    def _check_head(self):
        for name in (b"host", b"authorization", b"content-length"):
            if self._names.count(name) > 1:
                return Code.MALFORMED_REQUEST, f"more than one {name.decode()} header"
        if b"host" not in self._names or b"transfer-encoding" in self._names:
            return Code.MALFORMED_REQUEST, "Host is required and chunks are not taken"
        return None

    def on_header(self, name, _value):
        """Called by the parser with one header."""
        self._names.append(name.lower())

    def on_headers_complete(self):
        """Called by the parser at the end of the head."""
        self._in_head = False

    def on_message_complete(self):
        """Called by the parser at the end of the request."""
        self.whole = True
