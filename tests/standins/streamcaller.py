"""A caller that reads responses piece by piece and tells whether their bodies are whole."""

import socket
from typing import NamedTuple

_TIMEOUT_SECONDS = 20.0
_READ_BYTES = 65_536


class Body(NamedTuple):
    """What was read of a body.

    :param data: the bytes.
    :param is_whole: whether its length or its last chunk says that it is whole.
    """

    data: bytes
    is_whole: bool


class StreamCaller:
    """One connection of a caller.

    :param address: where to connect, as ``IP:PORT``.
    :param receive_bytes: the size of the socket's receive buffer; None for the default.
    """

    def __init__(self, address, receive_bytes=None):
        host, port = address.split(":")
        self._socket = socket.socket()
        self._socket.settimeout(_TIMEOUT_SECONDS)
        if receive_bytes is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._socket.connect((host, int(port)))
        self._unread = b""
        self._is_head_only = False
        self.status = None
        self.headers = {}

    def send(self, method, path, headers=(), version="1.1"):
        """Send a request."""
        lines = [f"{method} {path} HTTP/{version}", "Host: shop.example"]
        lines += [f"{name}: {value}" for name, value in headers]
        self._socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        self._is_head_only = method == "HEAD"

    def read_head(self):
        """Read the head of the next response."""
        while b"\r\n\r\n" not in self._unread:
            self._fill()
        head, _, self._unread = self._unread.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        self.status = int(first.split()[1])
        pairs = (line.partition(":") for line in lines)
        self.headers = {name.strip().lower(): value.strip() for name, _, value in pairs}

    def read_some(self, size=_READ_BYTES):
        """Read and return the bytes that are there, at least one and at most ``size``."""
        if not self._unread:
            self._fill(size)
        data, self._unread = self._unread[:size], self._unread[size:]
        return data

    def wait_for_data(self):
        """Wait until bytes of the body are there, without reading past them."""
        if not self._unread:
            self._fill()

    def read_body(self):
        """Read the rest of the response and return it as a :class:`Body`."""
        if self._is_head_only:
            return Body(b"", True)
        if self.headers.get("transfer-encoding") == "chunked":
            return self._read_chunks()
        if "content-length" not in self.headers:
            return Body(self._read_to_end(), False)
        parts, left = [], int(self.headers["content-length"])
        while left:
            try:
                data = self.read_some()
            except EOFError:
                return Body(b"".join(parts), False)
            part, self._unread = data[:left], data[left:]
            parts.append(part)
            left -= len(part)
        return Body(b"".join(parts), True)

    def is_at_end(self):
        """Wait for data or the end of the connection; return whether the peer has closed it."""
        try:
            return not self.read_some()
        except EOFError:
            return True

    def close(self):
        """Close the connection."""
        self._socket.close()

    def _read_chunks(self):
        parts = []
        try:
            while size := int(self._read_line(), 16):
                parts.append(self._read_exactly(size))
                assert self._read_exactly(2) == b"\r\n"
            assert self._read_line() == b""
        except EOFError:
            return Body(b"".join(parts), False)
        return Body(b"".join(parts), True)

    def _read_line(self):
        while b"\r\n" not in self._unread:
            self._fill()
        line, _, self._unread = self._unread.partition(b"\r\n")
        return line

    def _read_exactly(self, size):
        while len(self._unread) < size:
            self._fill()
        data, self._unread = self._unread[:size], self._unread[size:]
        return data

    def _read_to_end(self):
        parts = []
        while True:
            try:
                parts.append(self.read_some())
            except EOFError:
                return b"".join(parts)

    def _fill(self, size=_READ_BYTES):
        try:
            data = self._socket.recv(size)
        except ConnectionResetError:
            data = b""
        if not data:
            raise EOFError("the connection was closed")
        self._unread += data
