"""Checks the head of a response by the grammar of RFC 9112 and RFC 9110.

A target in trouble may send bytes that a lenient parser takes for a response. If their status or a
field name were passed on, the caller would get a message that no target made.
"""

import re

_STATUSES = range(100, 600)
_VERSIONS = frozenset({"1.0", "1.1"})
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# Control characters other than a tab may not occur in a reason phrase or a field value.
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def find_head_error(status, headers, version="1.1", reason=b""):
    """Find what is wrong with the head of a response.

    :param status: the status code.
    :param headers: pairs of name and value, as bytes.
    :param version: the HTTP version, such as ``1.1``.
    :param reason: the reason phrase, as bytes.
    :return: the error as a part of a sentence; None for a valid head.
    """
    if version not in _VERSIONS:
        return f"HTTP/{version} instead of HTTP/1.1"
    if status not in _STATUSES:
        return f"{status!r} is not a status"
    if _CONTROL.search(reason):
        return "a control character in the reason phrase"
    for name, value in headers:
        if _TOKEN.fullmatch(name) is None:
            return f"{name[:40]!r} is not a field name"
        if _CONTROL.search(value):
            return f"a control character in the value of {name[:40].decode()}"
    return None


def is_valid_head(status, headers):
    """Tell whether a status and headers that another process sent may be a response's.

    :param status: the status code.
    :param headers: pairs of name and value.
    :return: True or False; False for values of wrong types as well.
    """
    try:
        return type(status) is int and find_head_error(status, headers) is None
    except (TypeError, ValueError):
        return False
