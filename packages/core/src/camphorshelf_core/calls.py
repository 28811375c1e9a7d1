"""Requests, responses and the identifiers of attempts."""

from typing import NamedTuple

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})

Headers = tuple[tuple[bytes, bytes], ...]


class Request(NamedTuple):
    """A caller's HTTP request with its complete body."""

    method: str
    path: bytes
    headers: Headers
    body: bytes


class Response(NamedTuple):
    """A target's HTTP response with its complete body."""

    status: int
    headers: Headers
    body: bytes


class AttemptId(NamedTuple):
    """Identifies one attempt to run a call; it is never reused.

    ``incarnation`` is a new random value at each start of a node; ``number`` only increases.
    """

    incarnation: str
    number: int


def is_idempotent(method):
    """Return whether a method may run a second time without harm.

    :param method: the HTTP method in upper case.
    :return: True for the methods that RFC 9110 defines as idempotent.
    """
    return method in IDEMPOTENT_METHODS


def header(headers, name):
    """Return the first value of a header.

    :param headers: pairs of name in lower case and value, as bytes.
    :param name: the name in lower case, as bytes.
    :return: the value, or None.
    """
    for key, value in headers:
        if key == name:
            return value
    return None
