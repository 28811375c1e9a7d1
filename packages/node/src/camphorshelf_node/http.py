"""HTTP/1.1 towards callers: requests in, answers out in the order of the requests."""

from collections import deque
from http import HTTPStatus

import httptools

from camphorshelf_core.calls import Request, header
from camphorshelf_core.errors import Code, Refusal, http_status

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_BODILESS = frozenset({204, 304})
_MAX_PIPELINED = 64


class HttpConnection:
    """One caller's connection; answers one request at a time, so order is kept."""

    def __init__(self, stream, limits, loop, on_request):
        self._stream = stream
        self._limits = limits
        self._loop = loop
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = deque()
        self._exchange = None
        self._in_head = True
        self._head_bytes = 0
        self._timer = None
        self._refused = None
        self.peer = ""
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        self.on_message_begin()
        self._arm(limits.idle_timeout_ms)
        stream.open()

    @property
    def busy(self):
        """Whether a request is being answered or waits."""
        return self._exchange is not None or bool(self._waiting)

    def close(self):
        """Close at once.

        :return: None.
        """
        self._stream.close()

    def answer(self, status, headers, body, close=False):
        """Send the answer to the request that is being answered.

        :param status: the HTTP status.
        :param headers: pairs of name and value, without hop-by-hop headers.
        :param body: the whole body.
        :param close: whether to close the connection behind it.
        :return: None.
        """
        request, keep_alive = self._exchange.request, self._exchange.keep_alive
        self._exchange = None
        close = close or not keep_alive or self._refused is not None
        self._stream.write(_render(status, headers, body, request.method, close))
        if close and not self._waiting:
            self._stream.close_when_sent()
        else:
            self._next()

    def on_message_begin(self):
        """Called by the parser at the start of a request."""
        self._url = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_url(self, url):
        """Called by the parser with a part of the request's target."""
        self._url += url

    def on_header(self, name, value):
        """Called by the parser with one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Called by the parser at the end of the head."""
        self._in_head = False
        self._arm(self._limits.body_timeout_ms)
        length = header(self._headers, b"content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            raise _RefusedError(Refusal(Code.BODY_TOO_LARGE, "the body is larger than allowed"))
        expect = header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue" and not self.busy:
            self._stream.write(_CONTINUE)

    def on_body(self, body):
        """Called by the parser with a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            raise _RefusedError(Refusal(Code.BODY_TOO_LARGE, "the body is larger than allowed"))
        self._body.append(body)

    def on_message_complete(self):
        """Called by the parser at the end of a request."""
        method = self._parser.get_method().decode("ascii")
        request = Request(method, self._url, tuple(self._headers), b"".join(self._body))
        self._waiting.append(Exchange(self, request, self._parser.should_keep_alive()))
        self._in_head = True
        self._head_bytes = 0

    def _on_data(self, data):
        if self._refused is not None:
            return
        if self._in_head and self._head_bytes == 0 and not self.busy:
            self._arm(self._limits.head_timeout_ms)
        try:
            if self._in_head:
                self._head_bytes += len(data)
            self._parser.feed_data(data)
            self._check_head()
        except httptools.HttpParserUpgrade:
            self._refuse(Refusal(Code.BAD_REQUEST, "upgrades are not served"))
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, _RefusedError):
                self._refuse(cause.refusal)
            else:
                self._refuse(Refusal(Code.BAD_REQUEST, f"not a valid request: {error}"))
        except _RefusedError as refused:
            self._refuse(refused.refusal)
        if self._exchange is None:
            self._next()

    def _check_head(self):
        if self._in_head and self._head_bytes > self._limits.head_bytes:
            raise _RefusedError(Refusal(Code.HEADERS_TOO_LARGE, "the head is larger than allowed"))
        if len(self._waiting) > _MAX_PIPELINED:
            raise _RefusedError(Refusal(Code.BAD_REQUEST, "too many pipelined requests"))

    def _refuse(self, refusal):
        self._refused = refusal
        self._waiting.append(Exchange(self, Request("GET", b"", (), b""), False, refusal))

    def _next(self):
        if self._waiting:
            self._arm(None)
            self._exchange = self._waiting.popleft()
            if self._exchange.refusal is not None:
                self._exchange.refuse(self._exchange.refusal)
            else:
                self._on_request(self._exchange)
        elif self._in_head and self._head_bytes == 0:
            self._arm(self._limits.idle_timeout_ms)

    def _arm(self, milliseconds):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if milliseconds is not None:
            self._timer = self._loop.call_later(milliseconds / 1000, self._on_timeout)

    def _on_timeout(self):
        if self.busy:
            return
        if self._in_head and self._head_bytes == 0:
            self._stream.close()
        else:
            self._refuse(Refusal(Code.SENDER_TOO_SLOW, "the request took too long to arrive"))
            self._next()

    def _on_close(self):
        self._arm(None)
        exchange, self._exchange = self._exchange, None
        self._waiting.clear()
        if exchange is not None:
            exchange.hang_up()


class Exchange:
    """One request on its way through the filters and back."""

    def __init__(self, connection, request, keep_alive, refusal=None):
        self._connection = connection
        self._on_hang_up = None
        self._finished = False
        self.request = request
        self.keep_alive = keep_alive
        self.refusal = refusal
        self.started = None
        self.deadline = None
        self.service = None
        self.caller = None

    @property
    def finished(self):
        """Whether the caller has the answer or is gone."""
        return self._finished

    @property
    def peer(self):
        """The IP number that the request came from."""
        return self._connection.peer

    def when_hung_up(self, callback):
        """Say what to do when the caller goes away first.

        :param callback: takes no argument.
        :return: None.
        """
        self._on_hang_up = callback

    def hang_up(self):
        """Tell that the caller is gone.

        :return: None.
        """
        if not self._finished:
            self._finished = True
            if self._on_hang_up is not None:
                self._on_hang_up()

    def answer(self, response):
        """Give the caller a target's answer; a second answer is dropped.

        :param response: the :class:`Response`.
        :return: None.
        """
        self._send(response.status, response.headers, response.body)

    def refuse(self, refusal):
        """Give the caller a final refusal; a second answer is dropped.

        :param refusal: the :class:`Refusal`.
        :return: None.
        """
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"camphorshelf-code", b"%d" % refusal.code),
            (b"camphorshelf-ran", refusal.ran.value.encode()),
        ]
        if refusal.retry_after_ms is not None:
            seconds = -(-refusal.retry_after_ms // 1000)
            headers.append((b"retry-after", b"%d" % seconds))
            headers.append((b"retry-after-ms", b"%d" % refusal.retry_after_ms))
        body = f"{refusal.code.value} {refusal.code.name} {refusal.ran.value}: {refusal.reason}\n"
        self._send(http_status(refusal.code), headers, body.encode())

    def _send(self, status, headers, body):
        if self._finished:
            return
        self._finished = True
        self._connection.answer(status, headers, body)


class _RefusedError(Exception):
    """Carries a refusal out of a parser's callback."""

    def __init__(self, refusal):
        super().__init__(refusal.reason)
        self.refusal = refusal


def strip_hop_by_hop(headers):
    """Drop the headers that concern one connection only.

    :param headers: pairs of lower-case name and value.
    :return: the rest, as a tuple.
    """
    named = header(headers, b"connection")
    extra = {part.strip().lower() for part in named.split(b",")} if named else ()
    return tuple(pair for pair in headers if pair[0] not in HOP_BY_HOP and pair[0] not in extra)


def _render(status, headers, body, method, close):
    lines = [b"HTTP/1.1 %d %s" % (status, _REASONS.get(status, b""))]
    lines.extend(b"%s: %s" % pair for pair in headers if pair[0] != b"content-length")
    declared = header(headers, b"content-length")
    if method == "HEAD" and declared is not None:
        lines.append(b"content-length: " + declared)
    elif status not in _BODILESS:
        lines.append(b"content-length: %d" % len(body))
    if close:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    if method == "HEAD" or status in _BODILESS:
        return head
    return head + body
