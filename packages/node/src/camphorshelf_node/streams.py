"""Non-blocking TCP connections and listeners on the node's loop."""

import errno
import fcntl
import socket
import struct
import termios

from .loop import READABLE, WRITABLE

_READ_BYTES = 65_536
_LISTEN_BACKLOG = 512
_LINGER_SECONDS = 1.0
_ACCEPT_PAUSE_SECONDS = 0.2
_MAX_ACCEPTS_PER_ITERATION = 32
_COUNT = struct.Struct("i")
_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Stream:
    """A TCP connection that buffers data which can't be written at once."""

    def __init__(self, loop, sock):
        self._loop = loop
        self._sock = sock
        self._unsent = bytearray()
        self._connecting = False
        self._closing = False
        self._lingering = False
        self._reading = True
        self._drain_requested = False
        self.on_data = None
        self.on_close = None
        self.on_connect = None
        self.on_drain = None
        # Whether the peer ended the connection in order, not by a reset or an error.
        self.ended_cleanly = False

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._sock is None

    @property
    def unsent(self):
        """The number of bytes in the write buffer."""
        return len(self._unsent)

    @property
    def undelivered(self):
        """The number of written bytes that the peer's host has not acknowledged.

        If the kernel doesn't tell, these are the bytes in the write buffer.
        """
        if self._sock is None:
            return 0
        try:
            reply = fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(_COUNT.size))
        except OSError:
            return self.unsent
        return self.unsent + _COUNT.unpack(reply)[0]

    @property
    def stale(self):
        """Whether the peer has closed the connection or sent data that has not been read yet."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def open(self):
        """Start reading.

        :return: None.
        """
        self._watch()

    def connect(self, address):
        """Start connecting; calls ``on_connect`` or, if it fails, ``on_close``.

        :param address: the pair of IP address and port.
        :return: None.
        """
        self._connecting = True
        error = self._sock.connect_ex(address)
        if error not in (0, errno.EINPROGRESS):
            self._loop.call_later(0, self.close)
            return
        self._loop.watch(self._sock.fileno(), WRITABLE, self._on_ready)

    def write(self, data):
        """Send bytes, now or as soon as the socket accepts them.

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
        """Stop reading, so that TCP flow control stops the peer.

        :return: None.
        """
        self._set_reading(False)

    def resume(self):
        """Resume reading.

        :return: None.
        """
        self._set_reading(True)

    def limit_backlog(self, size):
        """Let the kernel accept more data only while little of it waits to be sent.

        Without this limit the kernel's buffer grows to megabytes on a slow connection, and data
        that is written later waits behind them.

        :param size: the socket counts as writable while less than this waits, in bytes.
        :return: None.
        """
        # The kernel reports a socket as writable below half of the option's value.
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, 2 * size)

    def request_drain(self):
        """Call ``on_drain`` once all data is written and the socket is writable again.

        :return: None.
        """
        if self._sock is None or self._closing:
            return
        self._drain_requested = True
        if not self._connecting:
            self._watch()

    def close_when_sent(self):
        """Close after the last byte has been sent and the peer has had time to read it.

        :return: None.
        """
        if self._sock is None:
            return
        self._closing = True
        self._reading = True
        self._drain_requested = False
        if self._unsent:
            self._watch()
        else:
            self._linger()

    def close(self):
        """Close at once and call ``on_close``.

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
        # If the socket is closed while the peer still sends, the kernel responds with a reset, and
        # the peer may discard data that it has not read: the caller of a refused upload would see
        # a broken connection and not its refusal. So only the sending half is closed, and received
        # data is dropped until the peer closes or the linger time has passed.
        if self._lingering:
            return
        self._lingering = True
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._watch()
        self._close_after_linger(self.undelivered)

    def _close_after_linger(self, undelivered):
        # A slow peer takes longer than the linger time. If the socket were closed while data is on
        # its way, the next byte from the peer would be answered with a reset.
        def check():
            left = self.undelivered
            if left and left != undelivered:
                self._close_after_linger(left)
            else:
                self.close()

        self._loop.call_later(_LINGER_SECONDS, check)

    def _watch(self):
        mask = READABLE if self._reading else 0
        if self._unsent or self._drain_requested:
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
        elif mask & WRITABLE and self._drain_requested:
            self._drain_requested = False
            self._watch()
            self._notify_drained()
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
        if not self._drain_requested:
            self._notify_drained()

    def _notify_drained(self):
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
    :param address: the pair of IP address and port.
    :param tcp_timeout_s: seconds for which the peer's host may leave data or keep-alive probes
        unacknowledged before the connection is closed; None for the kernel's default, which is
        many minutes.
    :return: the :class:`Stream`, not yet connected.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    stream = Stream(loop, _prepare(socket.socket(family, socket.SOCK_STREAM), tcp_timeout_s))
    stream.connect(address)
    return stream


def listen(loop, address, on_accept, tcp_timeout_s=None, buffer_bytes=None):
    """Accept connections on an address.

    :param loop: the node's loop.
    :param address: the pair of IP address and port.
    :param on_accept: called with each new :class:`Stream` and the peer's address.
    :param tcp_timeout_s: as in :func:`dial`.
    :param buffer_bytes: the size of the kernel's buffers of each connection; None for the kernel's
        default, which grows to megabytes.
    :return: a function that closes the listening socket.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=_LISTEN_BACKLOG)
    listener.setblocking(False)
    _set_buffers(listener, buffer_bytes)

    def accept(_mask):
        # Several in one iteration of the loop, so that a burst of connections doesn't wait long.
        for _ in range(_MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, peer = listener.accept()
            except OSError as error:
                if error.errno in _RESOURCE_ERRORS:
                    pause_accepting()
                return
            on_accept(Stream(loop, _prepare(sock, tcp_timeout_s)), peer)

    def pause_accepting():
        # Without free file descriptors the listener stays readable, and the loop would use a whole
        # core. The waiting connections are accepted once others have been closed.
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


def _set_buffers(listener, size):
    # Accepted sockets inherit the sizes.
    if size is not None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def _set_tcp_timeout(sock, seconds):
    # A connection over a broken network or to a frozen host hangs without a reset, and everything
    # sent over it waits. By default TCP gives it up only after a quarter of an hour.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, int(seconds)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))
