"""Reads the response to one request from the bytes that its connection receives."""

import re
from enum import Enum
from typing import NamedTuple

import httptools

from camphorshelf_core.calls import Response, header
from camphorshelf_core.responsesyntax import find_head_error

from .headers import BODILESS, strip_hop_by_hop

_MAX_HEAD_BYTES = 65_536
# How many responses to other requests are skipped before the expected response.
_MAX_SKIPPED = 32
# How many bytes of framing a byte of a chunked body may have; chunks of one byte have five.
_MAX_FRAMING_RATIO = 16
_INTERIM_STATUSES = range(100, 200)
_HEAD_END = b"\r\n\r\n"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")


class Framing(Enum):
    """What ends the body of a response."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class ResponseHead(NamedTuple):
    """The checked head of a response whose body is still arriving.

    :param status: the HTTP status.
    :param headers: pairs of lower-case name and value, without hop-by-hop headers.
    :param length: the length of the body in bytes; None if the body is chunked.
    """

    status: int
    headers: tuple
    length: int | None


class ResponseError(Exception):
    """The bytes of a connection are not a valid response to its request."""


class ResponseReader:
    """Reads the response to one request.

    The response is final at its last byte. Data after it belongs to no request: it doesn't change
    the response and is only recorded.

    :param method: the request's method.
    :param max_body_bytes: the largest body that is accepted.
    :param is_expected: takes the status and the headers of a response and returns whether it
        answers the request; other responses are skipped.
    """

    def __init__(self, method, max_body_bytes, is_expected=lambda status, headers: True):
        self._method = method
        self._max_body_bytes = max_body_bytes
        self._is_expected = is_expected
        self._parser = httptools.HttpResponseParser(self)
        self._response = None
        self._error = None
        self._keep_alive = False
        self._has_trailing_data = False
        self._trailing_data = b""
        self._head_tail = b""
        self._skipped_count = 0
        self._skipped_body_bytes = 0
        self._head_bytes = 0
        self._fed_bytes = 0
        self._start()

    @property
    def response(self):
        """The :class:`~camphorshelf_core.calls.Response`, or None until it is complete."""
        return self._response

    @property
    def framing(self):
        """What ends the body of the response, a :class:`Framing`."""
        return self._framing

    @property
    def buffered_bytes(self):
        """The size of the part of the body that has arrived and was not taken."""
        return self._body_bytes - self._taken_bytes

    @property
    def declared_bytes(self):
        """The length of the body according to its head; None if the head doesn't tell."""
        if self._in_head or self._framing is not Framing.LENGTH:
            return None
        return int(header(self._headers, b"content-length") or 0)

    @property
    def first_header_name(self):
        """The name of the first header of the response, empty when it has none."""
        return self._headers[0][0] if self._headers else b""

    @property
    def is_in_head(self):
        """Whether no complete head of a response has arrived yet."""
        return self._in_head and not self._skipped_count

    @property
    def has_trailing_data(self):
        """Whether data followed the response."""
        return self._has_trailing_data

    @property
    def trailing_data(self):
        """The bytes that followed a response with a length in the same read."""
        return self._trailing_data

    @property
    def skipped(self):
        """The number of responses to other requests that came before the expected response."""
        return self._skipped_count

    @property
    def is_connection_reusable(self):
        """Whether the connection may carry another request."""
        return self._keep_alive and not self._has_trailing_data and not self._skipped_count

    def find_head(self):
        """Find the head of the response to the request while its body is arriving.

        :return: the :class:`ResponseHead`; None if none has arrived, if it doesn't pass the checks
            of a whole response, or if nothing but the end of the connection ends the body.
        """
        if self._in_head or self._response is not None or self._error is not None:
            return None
        status = self._parser.get_status_code()
        if status in _INTERIM_STATUSES or self._framing is Framing.CLOSE:
            return None
        if not self._is_expected(status, self._headers) or self._find_head_error() is not None:
            return None
        length = None
        if self._framing is Framing.LENGTH:
            length = int(header(self._headers, b"content-length") or 0)
        return ResponseHead(status, strip_hop_by_hop(self._headers), length)

    def take_body(self):
        """Remove the part of the body that has arrived; the response then holds only the rest.

        :return: the bytes.
        """
        part = b"".join(self._body)
        self._body = []
        self._taken_bytes = self._body_bytes
        return part

    def feed(self, data):
        """Read bytes from the connection.

        :param data: the bytes.
        :return: None.
        :raises ResponseError: when the bytes are not valid and no response was complete before.
        """
        while data and self._response is None:
            size = self._find_section(data)
            self._feed_section(data[:size])
            data = data[size:]
        if data:
            self._has_trailing_data = True
            self._trailing_data = data[:_MAX_HEAD_BYTES]

    def _find_section(self, data):
        """Find how much of the data belongs to the head that arrives, or to a body with a length.

        The parser doesn't tell where in the data a response has ended.
        """
        if self._in_head:
            joined = self._head_tail + data
            end = joined.find(_HEAD_END)
            self._head_tail = joined[1 - len(_HEAD_END) :] if end < 0 else b""
            return len(data) if end < 0 else end + len(_HEAD_END) - (len(joined) - len(data))
        missing = (self.declared_bytes or 0) - self._body_bytes
        return missing if missing > 0 else len(data)

    def _feed_section(self, data):
        self._fed_bytes += len(data)
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._record_invalid(error)
        if self._response is None:
            self._raise_error()

    def discard(self):
        """Release the memory of the response.

        The reader and its connection refer to each other, so they may outlive the request by far.

        :return: None.
        """
        self._response = None
        self._body = []

    def end(self):
        """Handle an orderly close of the connection by the server.

        :return: None.
        """
        if self._response is None and not self._in_head and self._framing is Framing.CLOSE:
            self._finish()

    def on_message_begin(self):
        """Called by the parser at the start of a response."""
        if self._response is not None:
            self._has_trailing_data = True
        else:
            self._start()

    def on_status(self, reason):
        """Called by the parser with a part of the reason phrase of the status line."""
        if self._response is None:
            self._reason += reason

    def on_header(self, name, value):
        """Called by the parser with one header or trailer."""
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Called by the parser at the end of a head."""
        if self._response is not None:
            return
        self._in_head = False
        self._head_bytes = 0
        status = self._parser.get_status_code()
        error = find_head_error(
            status, self._headers, self._parser.get_http_version(), self._reason
        )
        if error is not None:
            self._error = f"not a valid response: {error}"
            return
        self._framing = find_framing(status, self._headers, self._method)
        if self._method == "HEAD" and status not in _INTERIM_STATUSES:
            self._finish()

    def on_body(self, body):
        """Called by the parser with a part of a body."""
        if self._response is not None:
            self._has_trailing_data = True
            return
        self._body_bytes += len(body)
        if self._skipped_body_bytes + self._body_bytes > self._max_body_bytes:
            self._error = f"the body is larger than {self._max_body_bytes} bytes"
        else:
            self._body.append(body)

    def on_message_complete(self):
        """Called by the parser at the end of a response."""
        if self._response is not None or self._in_head:
            return
        if self._parser.get_status_code() in _INTERIM_STATUSES:
            self._start()
        else:
            self._finish()

    def _start(self):
        self._reason = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._taken_bytes = 0
        self._in_head = True
        self._framing = None

    def _finish(self):
        if self._error is not None:
            return
        status = self._parser.get_status_code()
        if not self._is_expected(status, self._headers):
            self._skipped_count += 1
            self._skipped_body_bytes += self._body_bytes
            self._start()
            return
        self._error = self._find_head_error()
        if self._error is not None:
            return
        self._keep_alive = self._framing is not Framing.CLOSE and self._parser.should_keep_alive()
        headers = strip_hop_by_hop(self._headers)
        self._response = Response(status, headers, b"".join(self._body))

    def _find_head_error(self):
        if _contains_status_line(self._reason, self._headers):
            # The head was truncated, and the parser read the head of the next response as its rest.
            return "the head runs on into another one"
        if not _is_coding_supported(self._headers):
            return "another transfer coding than chunked"
        return None

    def _record_invalid(self, error):
        if self._response is None:
            self._error = f"not a valid response: {error}"
        else:
            self._has_trailing_data = True

    def _raise_error(self):
        if self._error is not None:
            raise ResponseError(self._error)
        if self._in_head and self._head_bytes > _MAX_HEAD_BYTES:
            raise ResponseError(f"the head is larger than {_MAX_HEAD_BYTES} bytes")
        if self._skipped_count > _MAX_SKIPPED:
            raise ResponseError(f"more than {_MAX_SKIPPED} responses to other requests")
        # Interim responses, framing and trailers may go on without end as well.
        body_bytes = self._skipped_body_bytes + self._body_bytes
        max_heads_bytes = _MAX_HEAD_BYTES * (1 + self._skipped_count)
        if self._fed_bytes - body_bytes > max_heads_bytes + _MAX_FRAMING_RATIO * body_bytes:
            raise ResponseError(f"{self._fed_bytes} bytes hold a body of {body_bytes} bytes only")


def find_framing(status, headers, method):
    """Find what ends the body of a response.

    :param status: the HTTP status.
    :param headers: pairs of lower-case name and value.
    :param method: the request's method.
    :return: the :class:`Framing`.
    """
    if method == "HEAD" or status in _INTERIM_STATUSES or status in BODILESS:
        return Framing.LENGTH
    for name, value in headers:
        if name == b"content-length":
            return Framing.LENGTH
        if name == b"transfer-encoding" and value.strip().lower() == b"chunked":
            return Framing.CHUNKED
    return Framing.CLOSE


def _is_coding_supported(headers):
    # The parser decodes no transfer coding other than chunked.
    codings = [value.strip().lower() for name, value in headers if name == b"transfer-encoding"]
    return codings in ([], [b"chunked"])


def _contains_status_line(reason, headers):
    return any(_STATUS_LINE.search(text) for text in (reason, *[value for _, value in headers]))
