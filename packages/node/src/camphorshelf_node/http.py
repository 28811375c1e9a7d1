"""The HTTP/1.1 server for callers, with pipelining: responses are sent in request order."""

from collections import deque

import httptools

from camphorshelf_core.bodies import MIN_UPLOAD_BYTES
from camphorshelf_core.calls import Request, header
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.memorybudget import RETRY_AFTER_MS

from .connectionmemory import ConnectionMemory
from .exchange import Exchange, render_refusal
from .headers import (
    CONTINUE,
    LAST_CHUNK,
    render_chunk,
    render_response,
    render_streamed_head,
)

_MAX_WAITING = 16
# Requests of one connection that may be in progress at once. Further ones wait, so that a caller
# that pipelines many requests uses no more of the targets' slots than a few callers do.
_MAX_IN_PROGRESS = 8
_HEAD_CHUNK_BYTES = 1_024
_BODY_CHUNK_BYTES = 16_384
_VERSIONS = frozenset({"1.0", "1.1"})
# Methods of other protocols that the parser accepts, and CONNECT, which asks for a tunnel.
_REFUSED_METHODS = frozenset({b"CONNECT", b"SOURCE", b"PRI"})
# A colon and the end of the line; a space after the colon is no part of the shortest form.
_HEADER_OVERHEAD_BYTES = 3
# How much of a body must arrive in each body timeout. A peer that sends a byte now and then must
# not hold its connection for ever, and a slow link must not end a large body.
_MIN_BODY_PROGRESS_BYTES = 16_384
# A head usually arrives at once. While descriptors are short, a connection whose head takes longer
# may be closed for another one.
_MAX_HEAD_SECONDS = 0.25


class HttpConnection:
    """One caller's connection; responses are sent in the order of the requests.

    :param may_overlap: takes a :class:`~camphorshelf_core.calls.Request` and returns whether it
        may be in progress together with others of its connection; None when no request may.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`; None to count
        nothing.
    :param listener: the name of the listener, for what the guard logs and counts.
    """

    def __init__(
        self,
        stream,
        limits,
        loop,
        on_request,
        on_fault=None,
        on_close=None,
        on_answer=None,
        may_overlap=None,
        memory=None,
        listener="callers",
    ):
        self._stream = stream
        self._limits = limits
        self._loop = loop
        self._on_request = on_request
        self._on_fault = on_fault
        self._when_closed = on_close
        self._on_answer = on_answer
        self._may_overlap = may_overlap
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = deque()
        self._in_progress = deque()
        self._answers = {}
        self._pipelined_body_bytes = 0
        self._unread = b""
        self._memory = ConnectionMemory(memory, listener, self._on_memory_short)
        self._in_head = True
        self._head_bytes = 0
        self._continue_due = False
        self._is_finishing = False
        # Whether the connection finishes, and the last request that it answers has been read.
        self._is_input_done = False
        self._is_advancing = self._is_advance_due = False
        self._timer = None
        self._timer_due_at = 0.0
        self._timeout_at = None
        self._unsent_at_timeout_start = 0
        self._phase = None
        self._request_count = 0
        self._body_bytes_at_timeout_start = 0
        self._refusal = None
        self._is_ended = False
        self.peer = ""
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        stream.on_drain = self._on_drain
        self.on_message_begin()
        self._set_timeout(limits.idle_timeout_ms)
        stream.open()

    @property
    def busy(self):
        """Whether a request is arriving, waiting or in progress, or a response is being sent."""
        answering = self._pending or self._stream.unsent
        return bool(answering or self._is_arriving or self._unread) and not self._stream.closed

    @property
    def account(self):
        """The connection's account in the memory budget, or None."""
        return self._memory.account

    @property
    def is_replaceable(self):
        """Whether another connection may take this one's place when descriptors are short.

        It has never sent a request, or it makes no progress with one.
        """
        if self._pending or self._stream.unsent or self._is_finishing:
            return False
        if self._is_arriving and self._in_head:
            return self._memory.is_stalled(_MAX_HEAD_SECONDS)
        if self._is_arriving:
            return self._memory.is_stalled()
        return self._memory.received_bytes == 0

    @property
    def undelivered(self):
        """The number of bytes of responses that the caller's host has not acknowledged."""
        return self._stream.undelivered

    def close(self):
        """Close at once.

        :return: None.
        """
        self._stream.close()

    def finish(self):
        """Close once all requests that have been read are answered; the last response announces it.

        If a part of a request has been read, the connection is read until that request is complete.
        What arrives later is dropped: a caller that always pipelines would keep the connection busy
        for ever.

        :return: None.
        """
        self._is_finishing = True
        self._check_input_done()
        if not self.busy:
            self._stream.close_when_sent()

    def report_fault(self, error):
        """Report an exception that was raised while a call was processed.

        :param error: the exception.
        :return: None.
        """
        if self._on_fault is not None:
            self._on_fault(error)

    def answer(self, exchange, status, headers, body):
        """Send the response to a request, after those to all requests before it.

        :param exchange: the request's :class:`~camphorshelf_node.exchange.Exchange`.
        :param status: the HTTP status.
        :param headers: pairs of name and value, without hop-by-hop headers.
        :param body: the whole body.
        :return: None.
        """
        self._answers[exchange] = status, headers, body
        self._memory.add_answer(len(body))
        self._send_answers()
        self._report_memory()

    def begin(self, exchange, status, headers, length, on_consumed):
        """Begin to send a response in parts, after the responses to all requests before it.

        :param exchange: the request's :class:`~camphorshelf_node.exchange.Exchange`.
        :param status: the HTTP status.
        :param headers: pairs of name and value, without hop-by-hop headers.
        :param length: the length of the body; None if it is not known.
        :param on_consumed: called with the number of bytes of the body that the connection has
            taken.
        :return: None.
        """
        self._answers[exchange] = _StreamedAnswer(status, headers, length, on_consumed)
        self._send_answers()

    def write_body(self, exchange, part):
        """Send a part of the body of a response that has begun.

        :param exchange: the request's :class:`~camphorshelf_node.exchange.Exchange`.
        :param part: the bytes.
        :return: None.
        """
        self._answers[exchange].parts.append(part)
        self._memory.add_answer(len(part))
        self._send_answers()
        self._report_memory()

    def end_body(self, exchange):
        """End a response that has begun.

        :param exchange: the request's :class:`~camphorshelf_node.exchange.Exchange`.
        :return: None.
        """
        self._answers[exchange].is_ended = True
        self._send_answers()

    def cut_body(self, exchange):
        """End the connection where a response that has begun stops; it must not look complete.

        :param exchange: the request's :class:`~camphorshelf_node.exchange.Exchange`.
        :return: None.
        """
        self._answers[exchange].is_cut = True
        self._send_answers()

    def on_message_begin(self):
        """Called by the parser at the start of a request."""
        self._url = b""
        self._headers = []
        self._memory.clear_head()
        self._body = bytearray()
        self._body_bytes = 0
        self._trailer_bytes = 0
        self._request_count += 1

    def on_url(self, url):
        """Called by the parser with a part of the request target."""
        self._url += url

    def on_header(self, name, value):
        """Called by the parser with one header."""
        if self._in_head:
            pair = name.lower(), value
            self._headers.append(pair)
            self._memory.add_header(pair)
            return
        # The parser reports trailers like headers. If they were used as headers, a caller could
        # set a second Host or deadline after the checks. They are counted and dropped.
        self._trailer_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        if self._trailer_bytes > self._limits.head_bytes:
            raise _RefusedError(Code.HEADERS_TOO_LARGE, "the trailers are larger than allowed")

    def on_headers_complete(self):
        """Called by the parser at the end of the head."""
        size = len(self._url) + sum(
            len(n) + len(v) + _HEADER_OVERHEAD_BYTES for n, v in self._headers
        )
        if size > self._limits.head_bytes:
            raise _RefusedError(Code.HEADERS_TOO_LARGE, "the head is larger than allowed")
        version = self._parser.get_http_version()
        _check_head(version, self._parser.get_method(), self._headers)
        _check_target(self._url, header(self._headers, b"host"))
        length = header(self._headers, b"content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            raise _RefusedError(Code.BODY_TOO_LARGE, "the body is larger than allowed")
        if self._parser.should_upgrade() and _has_body(self._headers):
            # The parser stops after such a head, and the body would be read as the next request.
            reason = "a request with a body cannot change the protocol"
            raise _RefusedError(Code.BAD_REQUEST, reason)
        self._in_head = False
        self._continue_due = _wants_continue(version, self._headers)

    def on_body(self, body):
        """Called by the parser with a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            raise _RefusedError(Code.BODY_TOO_LARGE, "the body is larger than allowed")
        self._body += body

    def on_message_complete(self):
        """Called by the parser at the end of a request."""
        method = self._parser.get_method().decode("ascii")
        # A large body stays where it was collected; a copy would double its memory.
        body = self._body if self._body_bytes >= MIN_UPLOAD_BYTES else bytes(self._body)
        request = Request(method, self._url, tuple(self._headers), body)
        keep_alive = self._parser.should_keep_alive()
        exchange = Exchange(self, request, keep_alive, self._loop.now())
        exchange.may_stream = method != "HEAD" and self._parser.get_http_version() == "1.1"
        self._waiting.append(exchange)
        self._pipelined_body_bytes += self._body_bytes
        self._memory.add_request(exchange)
        self._release_arriving()
        self._in_head = True
        self._head_bytes = 0
        self._continue_due = False

    @property
    def _is_arriving(self):
        return not self._is_input_done and (self._head_bytes > 0 or not self._in_head)

    @property
    def _is_last(self):
        # Whether a response is the last one, if no other request than its own is in progress.
        return self._is_input_done and not self._waiting

    @property
    def _pending(self):
        return bool(self._in_progress or self._waiting)

    @property
    def _is_streaming(self):
        first = self._answers.get(self._in_progress[0]) if self._in_progress else None
        return isinstance(first, _StreamedAnswer) and first.is_begun

    @property
    def _is_full(self):
        return (
            len(self._waiting) >= _MAX_WAITING
            or self._pipelined_body_bytes > self._limits.body_bytes
        )

    @property
    def _has_body_moved(self):
        moved_bytes = self._body_bytes - self._body_bytes_at_timeout_start
        return moved_bytes >= _MIN_BODY_PROGRESS_BYTES

    def _on_data(self, data):
        if self._refusal is not None or self._is_input_done:
            return
        self._memory.add_received(len(data))
        if self._unread:
            self._unread += data
        elif self._is_full:
            self._unread = data
        else:
            waiting_count = len(self._waiting)
            self._read(data)
            if self._is_finishing and len(self._waiting) > waiting_count:
                self._is_input_done, self._unread = True, b""
        self._report_memory()
        self._advance()

    def _read(self, data):
        # The parser gets small chunks, so that a caller that pipelines many requests is slowed
        # down by TCP flow control and not refused, and the node holds only a few of them.
        start = 0
        while start < len(data) and self._refusal is None:
            if self._is_full:
                self._unread = data[start:]
                self._stream.pause()
                return
            size = _HEAD_CHUNK_BYTES if self._in_head else _BODY_CHUNK_BYTES
            self._feed(data[start : start + size])
            start += size

    def _feed(self, chunk):
        if self._in_head:
            self._head_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
            if self._in_head and self._head_bytes > self._limits.head_bytes:
                raise _RefusedError(Code.HEADERS_TOO_LARGE, "the head is larger than allowed")
        except httptools.HttpParserUpgrade as upgrade:
            # A server may ignore a protocol upgrade. The parser stops after such a request.
            rest = chunk[upgrade.args[0] :]
            if rest:
                self._feed(rest)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, _RefusedError):
                self._refuse(cause.refusal)
            else:
                self._refuse(Refusal(Code.BAD_REQUEST, f"not a valid request: {error}"))
        except _RefusedError as refused:
            self._refuse(refused.refusal)

    def _refuse(self, refusal):
        self._refusal = refusal
        self._unread = b""
        self._release_arriving()
        self._in_head = True
        self._head_bytes = 0

    def _release_arriving(self):
        self._headers = []
        self._memory.clear_head()
        self._body = bytearray()
        self._body_bytes = 0

    def _report_memory(self):
        if self._stream.closed:
            return
        # What has not been started can be refused, and has not run then.
        is_started = bool(self._in_progress) and not self._is_arriving and not self._waiting
        self._memory.report(self._stream.unsent, len(self._body), len(self._unread), is_started)

    def _on_memory_short(self):
        can_refuse = (self._is_arriving or self._waiting) and self._refusal is None
        if can_refuse and not self._stream.unsent:
            self._drop_waiting()
            reason = "the node has no memory for the request"
            self._refuse(Refusal(Code.MEMORY_LIMIT, reason, retry_after_ms=RETRY_AFTER_MS))
            self._report_memory()
            # The connection may be in the middle of a read.
            self._loop.call_later(0, self._advance)
        else:
            self._stream.close()

    def _write(self, data):
        self._memory.add_written(len(data))
        self._stream.write(data)

    def _send_answers(self):
        while self._in_progress and self._in_progress[0] in self._answers:
            answer = self._answers[self._in_progress[0]]
            if isinstance(answer, _StreamedAnswer):
                self._send_parts(answer)
                if not self._in_progress or self._answers.get(self._in_progress[0]) is not answer:
                    # The caller has disconnected, or the response has ended meanwhile.
                    return
                if answer.is_cut:
                    self._cut_connection()
                    return
                if not answer.is_ended:
                    return
            if self._send_first():
                self._end_connection()
                return
        self._advance()

    def _send_parts(self, answer):
        if not answer.is_begun:
            answer.is_begun = True
            answer.closes = not self._in_progress[0].keep_alive or (
                self._is_last and len(self._in_progress) == 1
            )
            self._write(
                render_streamed_head(answer.status, answer.headers, answer.length, answer.closes)
            )
        if not answer.parts:
            return
        data = b"".join(answer.parts)
        answer.parts.clear()
        self._memory.add_answer(-len(data))
        self._write(data if answer.length is not None else render_chunk(data))
        answer.unconsumed += len(data)
        self._report_consumed(answer)

    def _report_consumed(self, answer):
        # Whatever is in the write buffer has not been taken: a slow caller slows down its target.
        if answer.unconsumed and not self._stream.unsent:
            size, answer.unconsumed = answer.unconsumed, 0
            answer.on_consumed(size)

    def _on_drain(self):
        answer = self._answers.get(self._in_progress[0]) if self._in_progress else None
        if isinstance(answer, _StreamedAnswer):
            self._report_consumed(answer)
        self._advance()

    def _cut_connection(self):
        # Responses before this one may still be in the write buffer, so it is sent to the end.
        in_progress, self._in_progress = self._in_progress, deque()
        self._answers.clear()
        self._memory.clear()
        self._end_connection()
        for exchange in in_progress:
            exchange.record_disconnect()

    def _send_first(self):
        exchange = self._in_progress.popleft()
        answer = self._answers.pop(exchange)
        if isinstance(answer, _StreamedAnswer):
            if answer.length is None:
                self._write(LAST_CHUNK)
            return self._finish_answer(exchange, answer.closes)
        status, headers, body = answer
        self._memory.add_answer(-len(body))
        is_last = not exchange.keep_alive or (self._is_last and not self._in_progress)
        self._write(render_response(status, headers, body, exchange.request.method, is_last))
        return self._finish_answer(exchange, is_last)

    def _finish_answer(self, exchange, is_last):
        self._release_request(exchange)
        if self._on_answer is not None:
            self._on_answer(exchange, exchange.code)
        return is_last

    def _drop_waiting(self):
        while self._waiting:
            self._release_request(self._waiting.popleft())

    def _release_request(self, exchange):
        self._pipelined_body_bytes -= len(exchange.request.body)
        self._memory.release_request(exchange)

    def _advance(self):
        # A request may be answered within the call that starts it, which advances the connection
        # again. A long pipeline of such requests would exceed the depth of the call stack.
        self._is_advance_due = True
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            while self._is_advance_due:
                self._is_advance_due = False
                self._advance_once()
        finally:
            self._is_advancing = False
        self._report_memory()

    def _advance_once(self):
        if (
            self._stream.closed
            or self._is_ended
            or (self._in_progress and not self._can_start_next())
        ):
            return
        if self._stream.unsent:
            # Further responses would fill the buffer while the caller reads slowly.
            self._set_timeout(self._limits.body_timeout_ms, "drain")
            return
        if self._unread and not self._is_full:
            data, self._unread = self._unread, b""
            if not self._is_finishing:
                self._stream.resume()
            self._read(data)
            self._report_memory()
            self._check_input_done()
        if self._can_start_next():
            self._start_next()
        elif not self._in_progress:
            self._await_request()

    def _check_input_done(self):
        # What is read after the last request is dropped; reading goes on to notice a disconnect.
        if self._is_finishing and not self._unread:
            self._is_input_done = not self._is_arriving
            self._stream.resume()

    def _can_start_next(self):
        if not self._waiting or not self._in_progress:
            return bool(self._waiting)
        # A request that must not run twice is in progress alone. After a response that closes the
        # connection, or one that never arrives, the caller would send it again.
        last = self._in_progress[-1]
        return (
            len(self._in_progress) < _MAX_IN_PROGRESS
            and self._may_overlap is not None
            and last.keep_alive
            and self._may_overlap(last.request)
            and self._may_overlap(self._waiting[0].request)
        )

    def _start_next(self):
        self._set_timeout(None)
        exchange = self._waiting.popleft()
        self._in_progress.append(exchange)
        try:
            self._on_request(exchange)
        except Exception as error:
            exchange.fail(error)
        if self._can_start_next():
            self._advance()

    def _await_request(self):
        if self._refusal is not None:
            self._send_refusal()
        elif not self._in_head:
            self._await_body()
        elif self._is_input_done:
            self._end_connection()
        else:
            self._await_head()

    def _await_head(self):
        if self._head_bytes == 0:
            self._set_timeout(self._limits.idle_timeout_ms, "idle")
        else:
            self._set_timeout(self._limits.head_timeout_ms, "head")

    def _await_body(self):
        self._set_timeout(self._limits.body_timeout_ms, "body")
        if self._continue_due:
            self._continue_due = False
            self._write(CONTINUE)

    def _send_refusal(self):
        status, headers, body = render_refusal(self._refusal)
        self._write(render_response(status, headers, body, "GET", close=True))
        self._end_connection()

    def _end_connection(self):
        self._is_ended = True
        self._drop_waiting()
        self._release_arriving()
        self._unread = b""
        self._refusal = self._refusal or Refusal(Code.CANCELLED, "the connection has ended")
        self._set_timeout(self._limits.body_timeout_ms)
        self._stream.close_when_sent()

    def _set_timeout(self, milliseconds, phase=None):
        # More bytes of the same head or body don't extend the timeout: a slow sender could hold the
        # connection for ever.
        phase = phase and (phase, self._request_count)
        if phase is not None and phase == self._phase:
            return
        self._phase = phase
        self._unsent_at_timeout_start = self._stream.unsent
        self._body_bytes_at_timeout_start = self._body_bytes
        if milliseconds is None or self._stream.closed:
            self._timeout_at = None
            return
        # A timer that fires too early is rescheduled then. Two new timers for each request would
        # be two thirds of the cost of all timers.
        self._timeout_at = self._loop.now() + milliseconds / 1000
        if self._timer is None or self._timer_due_at > self._timeout_at:
            self._set_timer()

    def _set_timer(self):
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_at = self._timeout_at
        self._timer = self._loop.call_later(self._timeout_at - self._loop.now(), self._on_timer)

    def _on_timer(self):
        self._timer = None
        if self._timeout_at is None:
            return
        if self._timeout_at > self._loop.now():
            self._set_timer()
        else:
            self._timeout_at = self._phase = None
            self._on_timeout()

    def _on_timeout(self):
        if self._is_streaming:
            # The deadline of the request limits how long its caller may take.
            return
        if self._stream.unsent:
            if self._stream.unsent >= self._unsent_at_timeout_start:
                self._stream.close()
            else:
                self._set_timeout(self._limits.body_timeout_ms)
        elif self._pending:
            return
        elif self._refusal is not None or (self._in_head and self._head_bytes == 0):
            self._stream.close()
        elif not self._in_head and self._has_body_moved:
            self._set_timeout(self._limits.body_timeout_ms, "body")
        else:
            reason = "the request took too long to arrive"
            self._refuse(Refusal(Code.SENDER_TOO_SLOW, reason))
            self._advance()

    def _on_close(self):
        self._memory.close()
        self._release_arriving()
        self._timeout_at = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        in_progress, self._in_progress = self._in_progress, deque()
        self._answers.clear()
        self._waiting.clear()
        self._unread = b""
        if self._when_closed is not None:
            self._when_closed(self)
        for exchange in in_progress:
            exchange.record_disconnect()


class _StreamedAnswer:
    """A response that is sent in parts; what waits for its turn is limited by its sender."""

    def __init__(self, status, headers, length, on_consumed):
        self.status = status
        self.headers = headers
        self.length = length
        self.on_consumed = on_consumed
        self.parts = []
        # How much was written to the connection and has not been reported as consumed.
        self.unconsumed = 0
        self.is_begun = False
        self.is_ended = False
        self.is_cut = False
        # Whether the head says that the connection closes after the response.
        self.closes = False


class _RefusedError(Exception):
    """Passes a refusal out of a parser callback."""

    def __init__(self, code, reason):
        super().__init__(reason)
        self.refusal = Refusal(code, reason)


def _check_head(version, method, headers):
    if version not in _VERSIONS or method in _REFUSED_METHODS:
        raise _RefusedError(Code.BAD_REQUEST, "only HTTP/1.0 and HTTP/1.1 requests are served")
    hosts = sum(name == b"host" for name, _ in headers)
    if hosts > 1 or (hosts == 0 and version == "1.1"):
        raise _RefusedError(Code.BAD_REQUEST, "exactly one Host header is required")
    coding = header(headers, b"transfer-encoding")
    # The parser accepts further codings before "chunked", and chunks in HTTP/1.0. A target could
    # find another body length in such a message than this node.
    if coding is not None and (version == "1.0" or coding.strip().lower() != b"chunked"):
        raise _RefusedError(Code.BAD_REQUEST, "the only transfer coding served is chunked")
    expect = header(headers, b"expect")
    if expect is not None and expect.lower() != b"100-continue":
        raise _RefusedError(Code.EXPECTATION_FAILED, "the only expectation met is 100-continue")


def _check_target(url, host):
    # If the request line named another host than the Host header, the node would route by one and
    # the target would serve the other.
    scheme, separator, rest = url.partition(b"://")
    if url.startswith(b"/") or not separator or b"/" in scheme:
        return
    authority = rest.partition(b"/")[0].partition(b"?")[0]
    if authority.lower() != (host or b"").strip().lower():
        raise _RefusedError(Code.BAD_REQUEST, "the request line names another host than Host")


def _wants_continue(version, headers):
    if version == "1.0" or header(headers, b"expect") is None:
        return False
    return _has_body(headers)


def _has_body(headers):
    length = header(headers, b"content-length")
    return header(headers, b"transfer-encoding") is not None or (length or b"0").strip(b"0") != b""
