"""Non-blocking TCP connections on the node's loop."""

import errno
import socket

from .loop import READABLE, WRITABLE

_READ_SIZE = 65_536
_BACKLOG = 512
_MAX_UNSENT = 16 * 1024 * 1024


class Stream:
    """A TCP connection that writes at once where it can and keeps the rest."""

    def __init__(self, loop, sock):
        self._loop = loop
        self._sock = sock
        self._unsent = bytearray()
        self._connecting = False
        self._closing = False
        self.on_data = None
        self.on_close = None
        self.on_connect = None

    @property
    def closed(self):
        """Whether the connection is gone."""
        return self._sock is None

    def open(self):
        """Start to read.

        :return: None.
        """
        self._watch()

    def connect(self, address):
        """Start to connect; ``on_connect`` or ``on_close`` tells how it went.

        :param address: the pair of IP and port.
        :return: None.
        """
        self._connecting = True
        error = self._sock.connect_ex(address)
        if error not in (0, errno.EINPROGRESS):
            self._loop.call_later(0, self.close)
            return
        self._loop.watch(self._sock.fileno(), WRITABLE, self._on_ready)

    def write(self, data):
        """Send bytes, now or as soon as the peer takes them.

        :param data: the bytes.
        :return: None.
        """
        if self._sock is None:
            return
        if not self._unsent and not self._connecting:
            data = data[self._send(data) :]
            if not data or self._sock is None:
                return
        self._unsent += data
        if len(self._unsent) > _MAX_UNSENT:
            self.close()
        elif not self._connecting:
            self._watch()

    def close_when_sent(self):
        """Close after the last byte has gone out.

        :return: None.
        """
        if self._unsent:
            self._closing = True
        else:
            self.close()

    def close(self):
        """Close at once and tell ``on_close``.

        :return: None.
        """
        if self._sock is None:
            return
        self._loop.unwatch(self._sock.fileno())
        self._sock.close()
        self._sock = None
        if self.on_close is not None:
            self.on_close()

    def _watch(self):
        mask = READABLE | WRITABLE if self._unsent else READABLE
        self._loop.watch(self._sock.fileno(), mask, self._on_ready)

    def _send(self, data):
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.close()
            return len(data)

    def _on_ready(self, mask):
        if self._connecting:
            self._finish_connect()
            return
        if mask & WRITABLE and self._unsent:
            self._flush()
        if self._sock is not None and mask & ~WRITABLE:
            self._read()

    def _finish_connect(self):
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close()
            return
        self._connecting = False
        self._watch()
        if self.on_connect is not None:
            self.on_connect()

    def _flush(self):
        sent = self._send(self._unsent)
        del self._unsent[:sent]
        if self._sock is None or self._unsent:
            return
        if self._closing:
            self.close()
        else:
            self._watch()

    def _read(self):
        try:
            data = self._sock.recv(_READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.on_data(data)
        else:
            self.close()


def dial(loop, address):
    """Open a connection to an address.

    :param loop: the node's loop.
    :param address: the pair of IP and port.
    :return: the :class:`Stream`, not yet connected.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    stream = Stream(loop, _prepare(socket.socket(family, socket.SOCK_STREAM)))
    stream.connect(address)
    return stream


def listen(loop, address, on_accept):
    """Take connections on an address.

    :param loop: the node's loop.
    :param address: the pair of IP and port.
    :param on_accept: takes each new :class:`Stream` and the address it comes from.
    :return: a function that closes the listening socket.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=_BACKLOG)
    listener.setblocking(False)

    def accept(_mask):
        try:
            sock, peer = listener.accept()
        except OSError:
            return
        on_accept(Stream(loop, _prepare(sock)), peer)

    def close():
        if listener.fileno() >= 0:
            loop.unwatch(listener.fileno())
            listener.close()

    loop.watch(listener.fileno(), READABLE, accept)
    return close


def _prepare(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
