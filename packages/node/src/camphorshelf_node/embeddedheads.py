"""Finds response heads inside a body, including one that is truncated by the body's end."""

import re
from itertools import islice
from typing import NamedTuple

_VERSION = b"HTTP/1."
_LINE_START = re.compile(rb"HTTP/1\.[01] (\d{3})")
_LINE_END = re.compile(rb"[\r\n]")
_MAX_PARTIAL_START_BYTES = len(b"HTTP/1.1 20")
_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEAD_END = b"\r\n\r\n"
_MAX_HEAD_BYTES = 65_536
# A body may contain any number of response heads; only the first ones are returned.
_MAX_HEADS = 64


class EmbeddedHead(NamedTuple):
    """A response head: a status line and the header lines after it.

    :param status: the HTTP status.
    :param headers: pairs of lower-case name and value; in a truncated head the last pair may be
        incomplete.
    :param is_whole: whether the empty line that ends the head is present.
    """

    status: int
    headers: tuple
    is_whole: bool


def find_heads(body):
    """Find the response heads inside a body.

    :param body: the body as bytes.
    :return: a generator of :class:`EmbeddedHead`.
    """
    if _VERSION not in body:
        return
    for line in islice(_find_status_lines(body), _MAX_HEADS):
        headers, is_whole = _read_headers(body[line.end : line.end + _MAX_HEAD_BYTES])
        if headers is not None:
            yield EmbeddedHead(line.status, headers, is_whole)


class HeadScanner:
    """Finds the response heads inside a body that arrives in parts, as :func:`find_heads` does.

    It holds no more than a status line, one head and the part that was added last.
    """

    def __init__(self):
        self._held = b""
        self._count = 0

    def feed(self, part):
        """Scan the next part of the body.

        :param part: the bytes.
        :return: a list of the :class:`EmbeddedHead` that are known to be heads now.
        """
        return self._scan(part, is_end=False)

    def end(self):
        """Scan the rest at the end of the body.

        :return: a list of :class:`EmbeddedHead`, of which the last may be truncated.
        """
        return self._scan(b"", is_end=True)

    def find_heads_across(self, rest):
        """Find the heads that begin in the body and go on in the bytes that follow it.

        :param rest: the bytes behind the body.
        :return: a list of :class:`EmbeddedHead`.
        """
        if _LINE_START.match(rest):
            # The other answer begins behind the body.
            return []
        joined = self._held + rest[:_MAX_HEAD_BYTES]
        lines = [line for line in _find_status_lines(joined) if line.start < len(self._held)]
        heads = [(line.status, *_read_headers(joined[line.end :])) for line in lines]
        return [EmbeddedHead(*head) for head in heads if head[1] is not None]

    def _scan(self, part, is_end):
        body = self._held + part
        heads = []
        position = 0
        for line in _find_status_lines(body):
            if self._count >= _MAX_HEADS:
                break
            data = body[line.end : line.end + _MAX_HEAD_BYTES]
            is_cut = _HEAD_END not in data and len(data) < _MAX_HEAD_BYTES
            if is_cut and not is_end and _may_be_headers(data):
                self._held = body[line.start :]
                return heads
            self._count += 1
            position = line.end
            headers, is_whole = _read_headers(data)
            if headers is not None:
                heads.append(EmbeddedHead(line.status, headers, is_whole))
        if not is_end:
            self._held = body[_find_line_start(body, position) :]
        return heads


class _StatusLine(NamedTuple):
    """A status line: its position, that of the byte behind it, and its status."""

    start: int
    end: int
    status: int


def _find_status_lines(body):
    # Each byte is searched once for a line end, however many status lines begin without one.
    position = 0
    while match := _LINE_START.search(body, position):
        line_end = _LINE_END.search(body, match.end())
        if line_end is None:
            return
        position = line_end.end()
        if body.startswith(b"\r\n", line_end.start()):
            position += 1
            yield _StatusLine(match.start(), position, int(match[1]))


def _may_be_headers(data):
    # The name on the last line may be incomplete, so only its characters count.
    *lines, last = data.split(b"\r\n")
    names = [line.partition(b":")[0] for line in lines]
    last_name, colon, _ = last.partition(b":")
    last_name = last_name.removesuffix(b"\r")
    if all(_NAME.fullmatch(name) for name in names):
        return bool(_NAME.fullmatch(last_name)) or not (last_name or colon)
    return False


def _find_line_start(body, position):
    # From where a status line may continue in the next part.
    end = len(body) - body.endswith(b"\r")
    line_ends = (body.rfind(b"\r", position, end), body.rfind(b"\n", position, end))
    match = _LINE_START.search(body, max(position, *[one + 1 for one in line_ends]))
    if match is not None and len(body) - match.start() <= _MAX_HEAD_BYTES:
        return match.start()
    return max(position, len(body) - _MAX_PARTIAL_START_BYTES)


def _read_headers(data):
    end = data.find(_HEAD_END)
    lines = (data if end < 0 else data[:end]).split(b"\r\n")
    pairs = tuple([(name.lower(), value.strip()) for name, _, value in map(_split, lines)])
    if all(_NAME.fullmatch(name) for name, _ in pairs):
        return pairs, end >= 0
    return None, False


def _split(line):
    return line.partition(b":")
