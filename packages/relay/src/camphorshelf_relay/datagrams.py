"""The UDP socket on which nodes exchange membership and load messages."""

import socket

from camphorshelf_node.loop import READABLE

_MAX_DATAGRAM_BYTES = 8_192
_MAX_DATAGRAMS_PER_ITERATION = 64


class DatagramSocket:
    """Sends datagrams and passes received ones to a callback; all nodes use the same port.

    :param loop: the node's loop.
    :param address: the pair of IP address and port to bind.
    :param on_datagram: takes a datagram's bytes and the sender's IP address.
    """

    def __init__(self, loop, address, on_datagram):
        self._loop = loop
        self._address = address
        self._on_datagram = on_datagram
        self._socket = None
        self.counts = {"sent": 0, "failed": 0}

    def start(self):
        """Bind the socket and start receiving.

        :return: None.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._address)
        self._socket.setblocking(False)
        self._loop.watch(self._socket.fileno(), READABLE, self._on_readable)

    def send(self, ip, data):
        """Send a datagram to another node.

        :param ip: the host's IP address.
        :param data: the datagram's bytes.
        :return: None.
        """
        try:
            self._socket.sendto(data, (ip, self._address[1]))
            self.counts["sent"] += 1
        except OSError:
            # Either the send buffer is full or the host is unreachable. Nothing is resent, because
            # the next status replaces the lost one.
            self.counts["failed"] += 1

    def _on_readable(self, _mask):
        for _ in range(_MAX_DATAGRAMS_PER_ITERATION):
            try:
                data, (ip, _) = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._on_datagram(data, ip)
