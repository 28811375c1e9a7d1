"""Finds response heads inside a body, including one that is truncated by the body's end."""

import re
from itertools import islice
from typing import NamedTuple

_VERSION = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})[^\r\n]*\r\n")
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
    for match in islice(_STATUS_LINE.finditer(body), _MAX_HEADS):
        headers, is_whole = _read_headers(body[match.end() : match.end() + _MAX_HEAD_BYTES])
        if headers is not None:
            yield EmbeddedHead(int(match[1]), headers, is_whole)


def _read_headers(data):
    end = data.find(_HEAD_END)
    lines = (data if end < 0 else data[:end]).split(b"\r\n")
    pairs = tuple([(name.lower(), value.strip()) for name, _, value in map(_split, lines)])
    if all(_NAME.fullmatch(name) for name, _ in pairs):
        return pairs, end >= 0
    return None, False


def _split(line):
    return line.partition(b":")
