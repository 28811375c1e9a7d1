"""HTTP/1.1 headers: filters those that are forwarded, and renders messages as bytes."""

from http import HTTPStatus

from camphorshelf_core.calls import header

DEADLINE_HEADER = b"deadline-ms"
_RESERVED_PREFIX = b"camphorshelf-"
_HOP_BY_HOP = frozenset(
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
# A caller must not remove these by naming them in Connection: it would strip the deadline, the
# idempotency key or the Host header that names the service.
_END_TO_END = frozenset({b"host", b"content-length", b"idempotency-key", DEADLINE_HEADER})
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_REPLACED_REQUEST_HEADERS = frozenset({b"content-length", b"expect"})
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
BODILESS = frozenset({204, 304})
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def strip_hop_by_hop(headers):
    """Remove hop-by-hop headers.

    :param headers: pairs of lower-case name and value.
    :return: the remaining headers, as a tuple.
    """
    dropped = _HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            named = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | (named - _END_TO_END)
    return tuple([pair for pair in headers if pair[0] not in dropped])


def strip_reserved(headers):
    """Remove the headers that are reserved for nodes from a target's response.

    :param headers: pairs of lower-case name and value.
    :return: the remaining headers, as a list.
    """
    # A target may forward a refusal that it got as a caller itself. With the node's headers, its
    # response would claim that this call was not run, although it ran.
    return [pair for pair in headers if not pair[0].startswith(_RESERVED_PREFIX)]


def with_deadline(headers, milliseconds):
    """Return headers with the deadline header set.

    :param headers: pairs of lower-case name and value.
    :param milliseconds: the time until the deadline.
    :return: the new headers, as a tuple.
    """
    kept = [pair for pair in headers if pair[0] != DEADLINE_HEADER]
    kept.append((DEADLINE_HEADER, b"%d" % max(1, int(milliseconds))))
    return tuple(kept)


def render_request(request):
    """Render a request to a target as bytes.

    :param request: the :class:`~camphorshelf_core.calls.Request`.
    :return: head and body.
    """
    return render_request_head(request, len(request.body)) + request.body


def render_request_head(request, length):
    """Render the head of a request to a target as bytes.

    :param request: the :class:`~camphorshelf_core.calls.Request`.
    :param length: the length of its body.
    :return: the head.
    """
    lines = [b"%s %s HTTP/1.1" % (request.method.encode(), request.path)]
    lines += [
        b"%s: %s" % pair for pair in request.headers if pair[0] not in _REPLACED_REQUEST_HEADERS
    ]
    if length or request.method in _BODY_METHODS:
        lines.append(b"content-length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def render_streamed_head(status, headers, length, close):
    """Render the head of a response whose body is sent in parts.

    :param status: the HTTP status of a response with a body.
    :param headers: pairs of name and value, without hop-by-hop headers.
    :param length: the length of the body; None to send it in chunks, see :func:`render_chunk`.
    :param close: whether the connection is closed after the response.
    :return: the head as bytes.
    """
    lines = [b"HTTP/1.1 %d %s" % (status, _REASON_PHRASES.get(status, b""))]
    lines += [b"%s: %s" % pair for pair in headers if pair[0] != b"content-length"]
    if length is None:
        lines.append(b"transfer-encoding: chunked")
    else:
        lines.append(b"content-length: %d" % length)
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def render_chunk(data):
    """Render a part of a body as a chunk of the chunked transfer coding.

    :param data: the bytes; none would end the body.
    :return: the chunk as bytes.
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


def render_response(status, headers, body, method, close):
    """Render a response to a caller as bytes.

    :param status: the HTTP status.
    :param headers: pairs of name and value, without hop-by-hop headers.
    :param body: the whole body.
    :param method: the request's method; a response to HEAD has no body.
    :param close: whether the connection is closed after the response.
    :return: head and body as bytes.
    """
    lines = [b"HTTP/1.1 %d %s" % (status, _REASON_PHRASES.get(status, b""))]
    lines += [b"%s: %s" % pair for pair in headers if pair[0] != b"content-length"]
    bodiless = method == "HEAD" or status in BODILESS
    if not bodiless:
        lines.append(b"content-length: %d" % len(body))
    elif status != 204:
        # The length of the body that a GET would return. If the target did not send it, it is
        # left out: 0 would be wrong.
        declared = header(headers, b"content-length")
        if declared is not None:
            lines.append(b"content-length: " + declared)
    if close:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if bodiless else head + body
