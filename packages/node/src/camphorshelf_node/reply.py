"""The JSON responses of the administration API to refused requests."""

import json

from camphorshelf_core.errors import http_status


def describe_refusal(refusal):
    """Convert a refusal to a response body.

    :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
    :return: a dict that can be encoded as JSON.
    """
    document = {
        "code": int(refusal.code),
        "name": refusal.code.name,
        "error": refusal.reason,
    }
    if refusal.retry_after_ms is not None:
        document["retry_after_ms"] = refusal.retry_after_ms
    return document


def reply_refusal(reply, refusal, **more):
    """Respond with a refusal.

    :param reply: the request's reply function.
    :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
    :param more: further fields of the response body.
    :return: None.
    """
    reply(http_status(refusal.code), {**describe_refusal(refusal), **more})


def render_error(code, reason):
    """Render an error as a complete HTTP response that ends its connection.

    :param code: the :class:`~camphorshelf_core.errors.Code`.
    :param reason: the reason as one sentence.
    :return: head and body as bytes.
    """
    document = {"code": int(code), "name": code.name, "error": reason}
    body = json.dumps(document).encode()
    lines = (
        f"HTTP/1.1 {http_status(code)} Refused",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
