"""Stand-in of a caller: sends HTTP over a plain socket and reads whole answers."""

import socket
from typing import NamedTuple

import httptools

_TIMEOUT = 20.0


class Answer(NamedTuple):
    """What a caller got."""

    status: int
    headers: dict
    body: bytes


class Caller:
    """One caller's connection."""

    def __init__(self, address):
        host, port = address.split(":")
        self._socket = socket.create_connection((host, int(port)), timeout=_TIMEOUT)
        self._data = b""

    def send(self, data):
        """Send raw bytes."""
        self._socket.sendall(data)

    def request(self, method, service, path, headers=(), body=b""):
        """Send a request and read its answer."""
        self.send(render(method, service, path, headers, body))
        return self.read(method)

    def read(self, method="GET"):
        """Read one answer; raises EOFError when the connection ends first."""
        reader = _Reader(method)
        while not reader.done:
            if not self._data:
                self._data = self._socket.recv(65_536)
                if not self._data:
                    raise EOFError("the connection ended before the answer")
            self._data = reader.feed(self._data)
        return reader.answer()

    def at_end(self):
        """Tell whether the other side has closed the connection."""
        return not self._data and self._socket.recv(1) == b""

    def close(self):
        """Close the connection."""
        self._socket.close()


class AnswerReader:
    """Reads answers out of bytes that are already there."""

    def __init__(self, data):
        self.left = data

    def read(self, method="GET"):
        """Read one answer; raises EOFError when the bytes end first."""
        reader = _Reader(method)
        while self.left and not reader.done:
            self.left = reader.feed(self.left)
        if not reader.done:
            raise EOFError("the bytes end before the answer")
        return reader.answer()


class _Reader:
    """Reads one answer byte-exactly, so that the next one stays unread."""

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
        wanted = self._length() - sum(map(len, self._body))
        self._parser.feed_data(data[:wanted])
        return data[wanted:]

    def _length(self):
        return int(self._headers.get("content-length", 0))

    def on_header(self, name, value):
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body):
        self._body.append(body)

    def on_message_complete(self):
        self.done = True

    def answer(self):
        return Answer(self._parser.get_status_code(), self._headers, b"".join(self._body))


def render(method, service, path, headers=(), body=b""):
    """Render a request as bytes."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {service}.example"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def call(address, method, service, path, headers=(), body=b""):
    """Make one call over a connection of its own."""
    caller = Caller(address)
    try:
        return caller.request(method, service, path, headers, body)
    finally:
        caller.close()
