"""What hosts tell each other: statuses in datagrams, and links for requests."""

import os
import socket

import cbor2

from camphorshelf_core.hosts import (
    GONE_SECONDS,
    REPEAT_SECONDS,
    HostDirectory,
    HostStatus,
)
from camphorshelf_node.links import PeerLink
from camphorshelf_node.loop import READABLE

# Changes closer together than this go out as one: 40 statuses a second at most to each host.
_LEAST_GAP_SECONDS = 0.025
# Statuses a second that one node sends at most on average, over all hosts: 400 of some 150 bytes
# with their headers are 60 kB/s, a tenth of the slowest link these hosts have (5 Mbit/s).
_STATUSES_PER_SECOND = 400
# Hosts that fell silent are still told now and then: a partition may heal, and a node that was
# restarted while the store is away learns the others only from what they send.
_SILENT_REPEAT_SECONDS = 0.5
# A link without any sign of life for so long while an answer is due is replaced.
LINK_SILENCE_SECONDS = 0.6
_INCARNATION_BYTES = 6
_MAX_DATAGRAM = 4_096
_DATAGRAMS_PER_TURN = 64
_FORGET_SECONDS = 5.0
# A change of the choice, not of a digit: work takes a quarter longer or shorter than was said.
_SLOWNESS_STEP = 1.25
_LOAD_STEP = 2


class Peers:
    """Tells the other hosts of this one, and keeps what they tell."""

    def __init__(self, loop, settings, describe, log):
        self._loop = loop
        self._settings = settings
        self._describe = describe
        self._log = log
        self._directory = HostDirectory()
        self._incarnation = os.urandom(_INCARNATION_BYTES).hex()
        self._sequence = 0
        self._links = {}
        self._told = None
        self._told_at = 0.0
        self._pending = None
        self._silent_told = {}
        self._lively = set()
        self._own_address = settings.addresses.links.text
        self._datagram_port = settings.addresses.datagrams[1]
        self._socket = None
        self.counts = {"sent": 0, "received": 0}
        # Told the view of each host that said something new.
        self.on_status = lambda view: None

    @property
    def directory(self):
        """The :class:`~camphorshelf_core.hosts.HostDirectory`."""
        return self._directory

    def start(self):
        """Begin to listen and to tell.

        :return: None.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._settings.addresses.datagrams)
        self._socket.setblocking(False)
        self._loop.watch(self._socket.fileno(), READABLE, self._on_readable)
        self._repeat()
        self._loop.call_every(_FORGET_SECONDS, self._forget)

    def learn(self, addresses):
        """Take in addresses of hosts, and greet those that are new.

        :param addresses: links' addresses as ``ip:port``.
        :return: None.
        """
        for address in addresses:
            if address != self._own_address and self._directory.learn(address, self._loop.now()):
                self._log.notable("host_found", address=address)
                self._send_to(address, self._encode())

    def tell(self):
        """Tell the others soon, if something changed that matters to them.

        :return: None.
        """
        if self._pending is None and self._has_changed(self._describe()):
            wait = self._told_at + self._gap() - self._loop.now()
            self._pending = self._loop.call_later(max(0.0, wait), self._tell_now)

    def link(self, address):
        """Find the link to a host, or open one.

        :param address: the host's address for links.
        :return: a :class:`~camphorshelf_node.links.PeerLink`.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            ip, _, port = address.rpartition(":")
            link = PeerLink(self._loop, (ip, int(port)), LINK_SILENCE_SECONDS)
            self._links[address] = link
        return link

    def _gap(self):
        hosts = len(self._directory.addresses)
        return max(_LEAST_GAP_SECONDS, hosts / _STATUSES_PER_SECOND)

    def _has_changed(self, status):
        told = self._told
        if told is None:
            return True
        if _standing(status) != _standing(told):
            return True
        low, high = sorted((status.slowness, told.slowness))
        if high >= low * _SLOWNESS_STEP:
            return True
        load, told_load = status.running + status.queued, told.running + told.queued
        return abs(load - told_load) >= _LOAD_STEP and max(load, told_load) * 2 >= status.limit

    def _tell_now(self):
        self._pending = None
        self._send_all()

    def _repeat(self):
        now = self._loop.now()
        if now - self._told_at >= REPEAT_SECONDS * 0.9:
            self._send_all()
        self._loop.call_later(max(REPEAT_SECONDS, self._gap()), self._repeat)

    def _send_all(self):
        now = self._loop.now()
        data = self._encode()
        self._told_at = now
        for address in self._directory.addresses:
            if self._directory.heard(address, now, GONE_SECONDS) or self._is_due(address, now):
                self._send_to(address, data)

    def _is_due(self, address, now):
        if now - self._silent_told.get(address, 0.0) < _SILENT_REPEAT_SECONDS:
            return False
        self._silent_told[address] = now
        return True

    def _encode(self):
        status = self._describe()
        self._sequence += 1
        status = status._replace(incarnation=self._incarnation, sequence=self._sequence)
        self._told = status
        return cbor2.dumps(tuple(status))

    def _send_to(self, address, data):
        ip = address.rpartition(":")[0]
        try:
            self._socket.sendto(data, (ip, self._datagram_port))
            self.counts["sent"] += 1
        except OSError:
            # Full buffers and unreachable hosts look alike; the next status makes up for it.
            return

    def _on_readable(self, _mask):
        for _ in range(_DATAGRAMS_PER_TURN):
            try:
                data = self._socket.recv(_MAX_DATAGRAM)
            except OSError:
                return
            status = read_status(data)
            if status is None:
                self._log.notable("datagram_refused", bytes=len(data))
            elif status.address != self._own_address:
                self._take(status)

    def _take(self, status):
        now = self._loop.now()
        self.counts["received"] += 1
        is_new = self._directory.view(status.address) is None
        if not self._directory.take(status, now):
            return
        if is_new:
            # It cannot know yet that this host is here.
            self._send_to(status.address, self._encode())
        self._note_alive(status)
        self.on_status(self._directory.view(status.address))

    def _note_alive(self, status):
        if status.address not in self._lively:
            self._lively.add(status.address)
            self._log.notable("host_heard", name=status.host, address=status.address)

    def _forget(self):
        now = self._loop.now()
        for address in list(self._lively):
            if not self._directory.heard(address, now, GONE_SECONDS):
                self._lively.discard(address)
                self._log.notable("host_silent", address=address)
        for address in self._directory.forget_silent(now):
            self._silent_told.pop(address, None)
            link = self._links.pop(address, None)
            if link is not None:
                link.close()


def _is_crash(value):
    return (
        isinstance(value, list | tuple)
        and len(value) == 2
        and isinstance(value[0], str)
        and isinstance(value[1], int)
    )


def _standing(status):
    return (
        status.accepting,
        status.instance,
        status.config_version,
        status.limit,
        status.crashes,
    )


def read_status(data):
    """Read a status.

    :param data: a datagram's bytes.
    :return: the :class:`~camphorshelf_core.hosts.HostStatus`, or None when it is none.
    """
    try:
        fields = cbor2.loads(data)
        status = HostStatus(*fields)
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return None
    texts = status.host, status.incarnation, status.domain, status.address, status.service
    if not all(isinstance(text, str) for text in (*texts, status.instance)):
        return None
    numbers = (*status[8:-1], status.sequence)
    if not all(isinstance(number, int | float) for number in numbers):
        return None
    if not all(_is_crash(one) for one in status.crashes):
        return None
    ip, _, port = status.address.rpartition(":")
    return status if ip and port.isdigit() else None
