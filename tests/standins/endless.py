"""Bytes of a target in trouble that go on until its client closes the connection."""

import itertools

PIECE_BYTES = 65_536
_SUCCESS = b"HTTP/1.1 200 OK\r\n"
_LONG_LINE = b"y" * PIECE_BYTES
_HEADER_LINES = b"X-Header: y\r\n" * (PIECE_BYTES // 13)
_CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, _LONG_LINE)
_OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1000\r\n\r\n" + b"y" * 1000


def make_endless(kind, headers):
    """Make the bytes of a response that never ends.

    :param kind: what doesn't end, see the code.
    :param headers: the headers of a proper response, rendered, without its framing.
    :return: an iterator of pieces of up to about 64 KiB.
    """
    head = _SUCCESS + headers
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    starts = {
        "lines of a head": (head, _HEADER_LINES),
        "a header": (head + b"X-Header: ", _LONG_LINE),
        "a reason": (b"HTTP/1.1 200 ", _LONG_LINE),
        "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
        "other responses": (b"", _OTHER * 60),
        "a body until the close": (head + b"\r\n", _LONG_LINE),
        "a body of a large length": (head + b"Content-Length: 999999999999\r\n\r\n", _LONG_LINE),
        "chunks": (chunked, _CHUNK),
        "a chunk's extension": (chunked + b"5;ext=", _LONG_LINE),
        "trailers": (chunked + b"5\r\nhello\r\n0\r\n", _HEADER_LINES),
        "a trailer": (chunked + b"5\r\nhello\r\n0\r\nX-Trailer: ", _LONG_LINE),
    }
    start, piece = starts[kind]
    return itertools.chain([start] if start else [], itertools.repeat(piece))
