"""The datagram socket on which nodes talk about membership and load."""

import socket

from camphorshelf_node.loop import READABLE

_MAX_DATAGRAM = 8_192
_DATAGRAMS_PER_TURN = 64


class DatagramSocket:
    """Sends datagrams and hands on those that arrive; all nodes use the same port."""

    def __init__(self, loop, address, on_datagram):
        self._loop = loop
        self._address = address
        self._on_datagram = on_datagram
        self._socket = None
        self.counts = {"sent": 0, "failed": 0}

    def start(self):
        """Begin to listen.

        :return: None.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._address)
        self._socket.setblocking(False)
        self._loop.watch(self._socket.fileno(), READABLE, self._on_readable)

    def send(self, ip, data):
        """Send a datagram to another node.

        :param ip: the host's IP address.
        :param data: the bytes.
        :return: None.
        """
        try:
            self._socket.sendto(data, (ip, self._address[1]))
            self.counts["sent"] += 1
        except OSError:
            # Full buffers and unreachable hosts look alike; the next status makes up for it.
            self.counts["failed"] += 1

    def _on_readable(self, _mask):
        for _ in range(_DATAGRAMS_PER_TURN):
            try:
                data, (ip, _) = self._socket.recvfrom(_MAX_DATAGRAM)
            except OSError:
                return
            self._on_datagram(data, ip)
