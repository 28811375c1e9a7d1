"""Non-blocking TCP connections on the node's loop."""

import errno
import socket

from .loop import READABLE, WRITABLE

_READ_BYTES = 65_536
_LISTEN_BACKLOG = 512
_LINGER_SECONDS = 1.0
_ACCEPT_PAUSE_SECONDS = 0.2
_MAX_ACCEPTS_PER_TURN = 32
_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Stream:
    """A TCP connection that writes at once where it can and keeps the rest."""

    def __init__(self, loop, sock):
        self._loop = loop
        self._sock = sock
        self._unsent = bytearray()
        self._connecting = False
        self._closing = False
        self._lingering = False
        self._reading = True
        self.on_data = None
        self.on_close = None
        self.on_connect = None
        self.on_drain = None
        # Whether the peer ended its sending in order, not by a reset or an error.
        self.ended_cleanly = False

    @property
    def closed(self):
        """Whether the connection is gone."""
        return self._sock is None

    @property
    def unsent(self):
        """How many bytes the peer has not taken yet."""
        return len(self._unsent)

    @property
    def stale(self):
        """Whether the peer has closed the connection or sent bytes that were not read yet."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

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
        if not self._connecting:
            self._watch()

    def pause(self):
        """Stop reading, so that the peer's sending comes to a halt.

        :return: None.
        """
        self._set_reading(False)

    def resume(self):
        """Read again.

        :return: None.
        """
        self._set_reading(True)

    def close_when_sent(self):
        """Close after the last byte has gone out and the peer has had time to read it.

        :return: None.
        """
        if self._sock is None:
            return
        self._closing = True
        self._reading = True
        if self._unsent:
            self._watch()
        else:
            self._linger()

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

    def _set_reading(self, reading):
        if self._reading is not reading and not self._lingering:
            self._reading = reading
            if self._sock is not None and not self._connecting:
                self._watch()

    def _linger(self):
        # Closing while the peer still sends makes the kernel answer with a reset, which can
        # overtake the bytes just sent: the caller of a refused upload would see a broken
        # connection and not its refusal. So only the sending half is closed, and what still
        # comes is dropped until the peer closes or the time is up.
        if self._lingering:
            return
        self._lingering = True
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._watch()
        self._loop.call_later(_LINGER_SECONDS, self.close)

    def _watch(self):
        mask = READABLE if self._reading else 0
        if self._unsent:
            mask |= WRITABLE
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
            self._linger()
            return
        self._watch()
        if self.on_drain is not None:
            self.on_drain()

    def _read(self):
        try:
            data = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.ended_cleanly = True
            self.close()
        elif not self._closing:
            self.on_data(data)


def dial(loop, address, tcp_timeout_s=None):
    """Open a connection to an address.

    :param loop: the node's loop.
    :param address: the pair of IP and port.
    :param silence_s: how long the peer's host may leave bytes or keep-alive probes unacknowledged
        before the connection counts as gone; None for the kernel's many minutes.
    :return: the :class:`Stream`, not yet connected.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    stream = Stream(loop, _prepare(socket.socket(family, socket.SOCK_STREAM), tcp_timeout_s))
    stream.connect(address)
    return stream


def listen(loop, address, on_accept, tcp_timeout_s=None):
    """Take connections on an address.

    :param loop: the node's loop.
    :param address: the pair of IP and port.
    :param on_accept: takes each new :class:`Stream` and the address it comes from.
    :param silence_s: as in :func:`dial`.
    :return: a function that closes the listening socket.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=_LISTEN_BACKLOG)
    listener.setblocking(False)

    def accept(_mask):
        # Several in one turn, so that a burst of new connections does not wait one turn each.
        for _ in range(_MAX_ACCEPTS_PER_TURN):
            try:
                sock, peer = listener.accept()
            except OSError as error:
                if error.errno in _RESOURCE_ERRORS:
                    pause_accepting()
                return
            on_accept(Stream(loop, _prepare(sock, tcp_timeout_s)), peer)

    def pause_accepting():
        # Without a descriptor to spare the listener stays readable, and the loop would spin on
        # it at a full core; the waiting connections are taken when some have been closed.
        loop.unwatch(listener.fileno())
        loop.call_later(_ACCEPT_PAUSE_SECONDS, start)

    def start():
        if listener.fileno() >= 0:
            loop.watch(listener.fileno(), READABLE, accept)

    def close():
        if listener.fileno() >= 0:
            loop.unwatch(listener.fileno())
            listener.close()

    start()
    return close


def _prepare(sock, tcp_timeout_s=None):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if tcp_timeout_s is not None:
        _set_tcp_timeout(sock, tcp_timeout_s)
    return sock


def _set_tcp_timeout(sock, seconds):
    # A connection across a cut or to a frozen host hangs without a reset, and everything sent
    # over it waits: TCP alone would take a quarter of an hour to say so.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, int(seconds)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))
