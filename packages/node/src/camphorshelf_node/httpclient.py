"""HTTP/1.1 towards targets and the platform over kept connections."""

from collections import deque

import httptools

from camphorshelf_core.calls import Response

from .http import strip_hop_by_hop
from .streams import dial

_BODILESS = frozenset({204, 304})
_OWN_HEADERS = frozenset({b"content-length", b"expect"})


class HttpClient:
    """Kept connections to one address; each carries one request at a time."""

    def __init__(self, loop, address, max_connections, max_answer_bytes):
        self._loop = loop
        self._address = address
        self._max_connections = max_connections
        self._max_answer_bytes = max_answer_bytes
        self._idle = deque()
        self._open = 0
        self._waiting = deque()
        self._closed = False

    def send(self, request, on_done):
        """Send a request.

        :param request: the :class:`Request`.
        :param on_done: takes the :class:`Response` or a :class:`Failed`.
        :return: a function that abandons the request.
        """
        exchange = _ClientExchange(request, on_done)
        self._assign(exchange)
        return exchange.abandon

    def close(self):
        """Close every idle connection, and the others after their answers.

        :return: None.
        """
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    def _assign(self, exchange):
        if self._idle:
            self._idle.pop().run(exchange)
        elif self._open < self._max_connections:
            self._open += 1
            _ClientConnection(self, dial(self._loop, self._address)).run(exchange)
        else:
            self._waiting.append(exchange)

    def _give_back(self, connection):
        while self._waiting:
            exchange = self._waiting.popleft()
            if not exchange.abandoned:
                connection.run(exchange)
                return
        if self._closed:
            connection.close()
        else:
            self._idle.append(connection)

    def _forget(self, connection):
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            self._assign(self._waiting.popleft())


class Failed:
    """A request without a whole answer; ``sent`` tells whether it may have run."""

    def __init__(self, reason, sent):
        self.reason = reason
        self.sent = sent


class _ClientExchange:
    def __init__(self, request, on_done):
        self.request = request
        self.on_done = on_done
        self.abandoned = False
        self.connection = None

    def abandon(self):
        self.abandoned = True
        if self.connection is not None:
            self.connection.close()

    def finish(self, result):
        self.connection = None
        if not self.abandoned:
            self.abandoned = True
            self.on_done(result)


class _ClientConnection:
    def __init__(self, client, stream):
        self._client = client
        self._stream = stream
        self._exchange = None
        self._connected = False
        self._parser = None
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        stream.on_connect = self._on_connect

    def run(self, exchange):
        self._exchange = exchange
        exchange.connection = self
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._body = []
        self._size = 0
        self._framed = False
        if self._connected:
            self._stream.write(_render_request(exchange.request))

    def close(self):
        self._stream.close()

    def on_header(self, name, value):
        name = name.lower()
        if name == b"content-length" or (name == b"transfer-encoding" and b"chunked" in value):
            self._framed = True
        self._headers.append((name, value))

    def on_headers_complete(self):
        if self._exchange.request.method == "HEAD" and self._parser.get_status_code() >= 200:
            self.on_message_complete()

    def on_body(self, body):
        self._size += len(body)
        if self._size > self._client._max_answer_bytes:
            raise ValueError("the answer is larger than allowed")
        self._body.append(body)

    def on_message_complete(self):
        status = self._parser.get_status_code()
        if status < 200:
            self._headers = []
            return
        if self._exchange is None:
            return
        exchange, self._exchange = self._exchange, None
        headers = strip_hop_by_hop(self._headers)
        response = Response(status, headers, b"".join(self._body))
        if self._framed or status in _BODILESS or exchange.request.method == "HEAD":
            self._finish(exchange, response, self._parser.should_keep_alive())
        else:
            # An answer that only ends with its connection looks the same when it is cut
            # short; a caller would take half of it for the whole.
            failed = Failed("the answer has neither length nor chunks", sent=True)
            self._finish(exchange, failed, keep=False)

    def _finish(self, exchange, result, keep):
        if keep:
            self._client._loop.call_later(0, lambda: self._reuse())
        else:
            self._stream.close()
        exchange.finish(result)

    def _reuse(self):
        if not self._stream.closed:
            self._client._give_back(self)

    def _on_connect(self):
        self._connected = True
        if self._exchange is not None:
            self._stream.write(_render_request(self._exchange.request))

    def _on_data(self, data):
        if self._exchange is None:
            self._stream.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._fail(f"not a valid answer: {error}")

    def _fail(self, reason):
        exchange, self._exchange = self._exchange, None
        sent = self._connected
        self._stream.close()
        if exchange is not None:
            exchange.finish(Failed(reason, sent))

    def _on_close(self):
        self._client._forget(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            reason = "the connection was lost" if self._connected else "no connection"
            exchange.finish(Failed(reason, sent=self._connected))


def _render_request(request):
    lines = [b"%s %s HTTP/1.1" % (request.method.encode(), request.path)]
    lines.extend(b"%s: %s" % pair for pair in request.headers if pair[0] not in _OWN_HEADERS)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body
