"""Connections to the target beside the node; each carries one request at a time.

A connection that has done anything unexpected is closed, never kept: what it delivers later would
be taken for the answer to another request.
"""

from typing import NamedTuple

import httptools

from camphorshelf_core.calls import Response
from camphorshelf_node.headers import BODILESS, render_request, strip_hop_by_hop
from camphorshelf_node.streams import dial

_MAX_HEAD_BYTES = 65_536
_MAX_BODY_BYTES = 128 * 1024 * 1024
# Kept connections are given up before the target may close them: a request that crosses the
# close is lost, and one that must not run twice can't be sent again.
_IDLE_SHARE = 0.7
_DEFAULT_IDLE_SECONDS = 4.0
# Work that must not run twice goes only over a connection that was in use a moment ago: targets
# may drop idle ones without notice, and what is sent next is lost with its outcome unknown.
_FRESH_SECONDS = 1.0
_SWEEP_SECONDS = 1.0
_LENGTH, _CHUNKED, _CLOSE = "length", "chunked", "close"


class Origin(NamedTuple):
    """How an answer was found on its connection.

    :param framing: what ended its body: ``length``, ``chunked`` or ``close``.
    :param reused: whether the connection had carried another request before.
    :param skipped: answers to other requests that came before it.
    """

    framing: str
    reused: bool
    skipped: int


class Answered(NamedTuple):
    """A target's whole answer.

    :param response: status, headers and body.
    :param word: what the target says of itself and of the request on it.
    :param origin: the :class:`Origin`, for the log.
    """

    response: Response
    word: object
    origin: Origin


class Lost(NamedTuple):
    """A request without a whole answer.

    :param reason: one sentence.
    :param sent: whether it may have run.
    :param crashed: whether the connection broke off while the target had the request.
    """

    reason: str
    sent: bool
    crashed: bool = False


class TargetLink:
    """All connections to one address."""

    def __init__(self, loop, address, dialect):
        self._loop = loop
        self._address = address
        self._dialect = dialect
        self._idle = []
        self.idle_s = _DEFAULT_IDLE_SECONDS
        # Told of each connection that is opened.
        self.on_dial = _do_nothing
        # Told of bytes that belong to no request: the id of the request on the connection (empty
        # for none), and where they came: ``ahead`` of its answer, ``behind`` it or ``idle``.
        self.on_stray = _ignore_stray
        loop.call_every(_SWEEP_SECONDS, self._sweep)

    def send(self, request, request_id, idempotent, on_done):
        """Send a request.

        :param request: the :class:`~camphorshelf_core.calls.Request`, complete.
        :param request_id: what the answer must name; empty when it need not.
        :param idempotent: whether it may go over a connection that was idle for a while.
        :param on_done: takes an :class:`Answered` or a :class:`Lost`, once.
        :return: a function that breaks the request off; ``on_done`` is not called then.
        """
        connection = self._take(idempotent) or self._dial()
        if connection is None:
            lost = Lost("no connection could be opened", sent=False)
            self._loop.call_later(0, lambda: on_done(lost))
            return _do_nothing
        connection.run(request, request_id, on_done)
        return connection.abort

    def close_idle(self):
        """Close the connections that carry nothing.

        :return: None.
        """
        while self._idle:
            self._idle[-1].close()

    def _take(self, idempotent):
        now = self._loop.now()
        longest = self.idle_s * _IDLE_SHARE
        if not idempotent:
            longest = min(longest, _FRESH_SECONDS)
        while self._idle:
            connection = self._idle[-1]
            if connection.stale:
                connection.close()
            elif now - connection.idle_since > longest:
                # The one used last stands last: the others were idle for longer.
                return None
            else:
                return self._idle.pop()
        return None

    def _dial(self):
        try:
            stream = dial(self._loop, self._address)
        except OSError:
            return None
        self.on_dial()
        return _Connection(self, stream, self._dialect)

    def _give_back(self, connection):
        connection.idle_since = self._loop.now()
        self._idle.append(connection)

    def _forget(self, connection):
        if connection in self._idle:
            self._idle.remove(connection)

    def _sweep(self):
        oldest = self._loop.now() - self.idle_s * _IDLE_SHARE
        while self._idle and self._idle[0].idle_since < oldest:
            self._idle[0].close()


class _Connection:
    def __init__(self, link, stream, dialect):
        self._link = link
        self._stream = stream
        self._dialect = dialect
        self._on_done = None
        self._request = None
        self._request_id = ""
        self._connected = False
        self._sent = False
        self._keep = True
        self._parser = None
        self._result = None
        self._runs = 0
        self._skipped = 0
        self._has_surplus = False
        self._framing = ""
        self.idle_since = 0.0
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        stream.on_connect = self._on_connect

    @property
    def stale(self):
        """Whether the target has closed the connection or said something unasked."""
        return self._stream.closed or self._stream.stale

    def run(self, request, request_id, on_done):
        self._request = request
        self._request_id = request_id
        self._on_done = on_done
        self._sent = False
        self._runs += 1
        self._skipped = 0
        self._has_surplus = False
        self._parser = httptools.HttpResponseParser(self)
        self._start_answer()
        if self._connected:
            self._write()

    def abort(self):
        self._on_done = None
        self._stream.close()

    def close(self):
        self._stream.close()

    def _tell_strays(self):
        if self._result is None:
            return
        if self._skipped:
            self._link.on_stray(self._request_id, "ahead")
        if self._has_surplus:
            self._link.on_stray(self._request_id, "behind")

    def on_message_begin(self):
        if self._result is not None:
            self._has_surplus = True
        if self._finished:
            # A second answer behind the one that was asked for.
            self._keep = False
        self._start_answer()

    def on_header(self, name, value):
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._in_head = False
        status = self._parser.get_status_code()
        self._framing = _find_framing(self._headers, status, self._request.method)
        self._framed = self._framing != _CLOSE
        if self._request.method == "HEAD" and status >= 200:
            self.on_message_complete()

    def on_body(self, body):
        self._size += len(body)
        if self._size > _MAX_BODY_BYTES:
            raise ValueError("the answer is larger than allowed")
        self._body.append(body)

    def on_message_complete(self):
        if self._finished or self._parser.get_status_code() < 200:
            return
        self._take_answer(self._framed)

    def _start_answer(self):
        self._headers = []
        self._body = []
        self._size = 0
        self._in_head = True
        self._head_bytes = 0
        self._framed = True
        self._finished = False

    def _take_answer(self, framed):
        status = self._parser.get_status_code()
        word = self._dialect.read_target(status, self._headers)
        if self._request_id and not self._is_own(status, word):
            # The late second answer to an earlier request; the own one may still follow it.
            self._keep = False
            self._skipped += self._result is None
            return
        self._finished = True
        keep = framed and self._parser.should_keep_alive()
        # A target may answer before it has read the whole body. Another request on the same
        # connection would be read as the rest of it.
        self._keep = self._keep and keep and not self._stream.unsent
        if word.idle_s is not None:
            self._link.idle_s = max(0.5, word.idle_s)
        response = Response(status, strip_hop_by_hop(self._headers), b"".join(self._body))
        if word.encoded:
            self._finish(Lost("the answer's body is not what the target made", sent=True))
        else:
            origin = Origin(self._framing, self._runs > 1, self._skipped)
            self._finish(Answered(response, word, origin))

    def _is_own(self, status, word):
        if word.request_id:
            return word.request_id == self._request_id
        # Targets name the request they answer; only a bare refusal may leave it out.
        return status >= 300

    def _finish(self, result):
        # Delivered behind the parser's callback, which would take a fault in the code of the
        # request for one in the answer's bytes.
        self._result = result

    def _deliver(self):
        result, self._result = self._result, None
        if result is None:
            return
        on_done, self._on_done = self._on_done, None
        # Kept in the loop's next turn: all that came with the answer must have been read first,
        # for what follows it would be taken for the answer to the next request.
        self._link._loop.call_later(0, self._rest)
        if on_done is not None:
            on_done(result)

    def _rest(self):
        if self._stream.closed:
            return
        if self._keep and self._finished and not self._stream.stale:
            self._link._give_back(self)
        else:
            self._stream.close()

    def _on_connect(self):
        self._connected = True
        if self._on_done is not None:
            self._write()

    def _write(self):
        self._sent = True
        self._stream.write(render_request(self._request))

    def _on_data(self, data):
        if self._on_done is None:
            self._keep = False
            self._link.on_stray("", "idle")
            self._stream.close()
            return
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            if self._result is None:
                self._spoil(f"not a valid answer: {error}")
                return
            # The answer was whole; what came behind it was not.
            self._keep = False
            self._has_surplus = True
        self._tell_strays()
        self._deliver()
        if self._on_done is not None and self._in_head and self._head_bytes > _MAX_HEAD_BYTES:
            self._spoil("the answer's head is larger than allowed")

    def _spoil(self, reason):
        self._keep = False
        on_done, self._on_done = self._on_done, None
        self._stream.close()
        if on_done is not None:
            on_done(Lost(reason, sent=True))

    def _on_close(self):
        self._link._forget(self)
        if self._on_done is None:
            return
        if not self._in_head and not self._framed and self._stream.ended_cleanly:
            # Its end is the end of the connection; a reset would not be one.
            self._keep = False
            self._take_answer(False)
            if self._result is not None:
                self._deliver()
                return
        on_done, self._on_done = self._on_done, None
        if self._sent:
            on_done(Lost("the connection was lost", sent=True, crashed=self._in_head))
        else:
            on_done(Lost("no connection", sent=False))


def _find_framing(headers, status, method):
    if method == "HEAD" or status < 200 or status in BODILESS:
        return _LENGTH
    for name, value in headers:
        if name == b"content-length":
            return _LENGTH
        if name == b"transfer-encoding" and value.strip().lower() == b"chunked":
            return _CHUNKED
    return _CLOSE


def _do_nothing():
    """Stands for breaking off what was never sent."""


def _ignore_stray(request_id, place):
    """Stands for nobody who wants to know of stray bytes."""
