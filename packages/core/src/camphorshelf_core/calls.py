"""The call, its answer and the identifiers they carry."""

from typing import NamedTuple

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})

Headers = tuple[tuple[bytes, bytes], ...]


class Request(NamedTuple):
    """A caller's HTTP request with its body read in full."""

    method: str
    path: bytes
    headers: Headers
    body: bytes


class Response(NamedTuple):
    """A target's HTTP answer with its body read in full."""

    status: int
    headers: Headers
    body: bytes


class AttemptId(NamedTuple):
    """Names one attempt to run a call; never reused.

    ``incarnation`` is drawn anew at each start of a node, ``number`` only grows.
    """

    incarnation: str
    number: int


def is_idempotent(method):
    """Tell whether a second run of a method does no harm.

    :param method: the HTTP method in capitals.
    :return: True for the methods that RFC 9110 calls idempotent.
    """
    return method in IDEMPOTENT_METHODS


def header(headers, name):
    """Find the first value of a header.

    :param headers: pairs of lower-case name and value.
    :param name: the name in lower case, as bytes.
    :return: the value, or None.
    """
    for key, value in headers:
        if key == name:
            return value
    return None
