"""A test caller that sends HTTP requests over a plain socket and reads whole responses."""

import socket
from typing import NamedTuple

import httptools

_TIMEOUT_SECONDS = 20.0


class Response(NamedTuple):
    """One HTTP response."""

    status: int
    headers: dict
    body: bytes


class Caller:
    """One connection of a caller.

    :param address: where to connect, as ``IP:PORT``.
    """

    def __init__(self, address):
        host, port = address.split(":")
        self._socket = socket.create_connection((host, int(port)), timeout=_TIMEOUT_SECONDS)
        self._unread = b""

    def send(self, data):
        """Send raw bytes."""
        self._socket.sendall(data)

    def request(self, method, service, path, headers=(), body=b""):
        """Send a request and return its :class:`Response`."""
        self.send(render(method, service, path, headers, body))
        return self.read(method)

    def read(self, method="GET"):
        """Return the next :class:`Response`.

        :raises EOFError: when the connection is closed before the response is complete.
        """
        parser = _ResponseParser(method)
        while not parser.done:
            if not self._unread:
                self._unread = self._socket.recv(65_536)
                if not self._unread:
                    raise EOFError("the connection was closed before the response was complete")
            self._unread = parser.feed(self._unread)
        return parser.response()

    def at_end(self):
        """Wait for data or the end of the connection; return whether the peer has closed it."""
        return not self._unread and self._socket.recv(1) == b""

    def close(self):
        """Close the connection."""
        self._socket.close()


class ResponseReader:
    """Reads responses from bytes that were already received."""

    def __init__(self, data):
        self.remaining = data

    def read(self, method="GET"):
        """Return the next :class:`Response`.

        :raises EOFError: when the bytes end before the response is complete.
        """
        parser = _ResponseParser(method)
        while self.remaining and not parser.done:
            self.remaining = parser.feed(self.remaining)
        if not parser.done:
            raise EOFError("the bytes end before the response is complete")
        return parser.response()


class _ResponseParser:
    """Parses one response and returns the bytes behind it, which belong to the next one."""

    def __init__(self, method):
        self._method = method
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._body = []
        self._head = b""
        self.done = False

    def feed(self, data):
        if self._head is not None:
            self._head += data
            end = self._head.find(b"\r\n\r\n")
            if end < 0:
                return b""
            head, data, self._head = self._head[: end + 4], self._head[end + 4 :], None
            self._parser.feed_data(head)
            if self._method == "HEAD" or self._length() == 0:
                self.done = True
            if self._parser.get_status_code() == 100:
                self.done = True
            return data
        missing = self._length() - sum(map(len, self._body))
        self._parser.feed_data(data[:missing])
        return data[missing:]

    def _length(self):
        return int(self._headers.get("content-length", 0))

    def on_header(self, name, value):
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body):
        self._body.append(body)

    def on_message_complete(self):
        self.done = True

    def response(self):
        return Response(self._parser.get_status_code(), self._headers, b"".join(self._body))


def render(method, service, path, headers=(), body=b""):
    """Render a request as bytes."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {service}.example"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def call(address, method, service, path, headers=(), body=b""):
    """Send one request over a new connection and return its :class:`Response`."""
    caller = Caller(address)
    try:
        return caller.request(method, service, path, headers, body)
    finally:
        caller.close()
