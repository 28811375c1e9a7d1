"""Sends and receives the membership protocol's datagrams and reports changes to listeners."""

import random
import socket
import time

from camphorshelf_core.errors import ProtocolError
from camphorshelf_core.membership import Membership
from camphorshelf_core.messages import decode
from camphorshelf_core.roster import Member, MemberState
from camphorshelf_core.settings import split_address

from .loop import READABLE

_TICK_SECONDS = 0.1
_MAX_DATAGRAM_BYTES = 65_535
_MAX_DATAGRAMS_PER_READ = 32


class Gossip:
    """The membership protocol over UDP, on the same address as the node's peer listener.

    ``received_bytes`` and ``sent_bytes`` count the membership's traffic, ``bad_datagrams`` the
    datagrams that could not be decoded.
    """

    def __init__(self, loop, settings, incarnation):
        self._loop = loop
        self._address = settings.listen.peers
        self._subscribers = {}
        self._handlers = {}
        self._member_listeners = []
        self._socket = None
        self.received_bytes = 0
        self.sent_bytes = 0
        self.bad_datagrams = 0
        own = Member(
            node=settings.name,
            generation=int(time.time() * 1000),
            revision=0,
            state=MemberState.ALIVE,
            incarnation=incarnation,
            address=settings.listen.peers,
            failure_domain=settings.failure_domain,
            target=None,
        )
        self._membership = Membership(
            own,
            settings.roster,
            random.Random(incarnation),
            loop.now(),
            self._on_member,
            self._on_entry,
        )

    @property
    def membership(self):
        """The :class:`~camphorshelf_core.membership.Membership`: the known members and entries."""
        return self._membership

    def start(self):
        """Open the socket and start to ping other members.

        :return: None.
        """
        address = split_address(self._address)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._loop.watch(self._socket.fileno(), READABLE, self._on_readable)
        self._loop.call_every(_TICK_SECONDS, self._tick)

    def publish(self, topic, key, version, value):
        """Publish an entry to all nodes; for each key the entry with the highest version wins.

        :param topic: the entry's topic.
        :param key: the entry's key in its topic.
        :param version: an integer.
        :param value: any value that CBOR can encode in less than 800 bytes.
        :return: None.
        """
        self._send(self._membership.publish(topic, key, version, value, self._loop.now()))

    def subscribe(self, topic, callback):
        """Call a function for each known entry of a topic, and for each newer one.

        :param topic: the topic's name.
        :param callback: called with key, version and value.
        :return: None.
        """
        self._subscribers.setdefault(topic, []).append(callback)
        for entry in self._membership.replica.entries(topic):
            callback(entry.key, entry.version, entry.value)

    def on_message(self, kind, callback):
        """Register a handler for a kind of message that isn't part of the membership protocol.

        :param kind: the message's class.
        :param callback: called with the message and the sender's ``IP:PORT``.
        :return: None.
        """
        self._handlers[kind] = callback

    def send(self, data, address):
        """Send a datagram that isn't part of the membership protocol.

        :param data: the datagram's bytes.
        :param address: the receiver's ``IP:PORT``.
        :return: None.
        """
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, split_address(address))
        except OSError:
            # Senders of datagrams tolerate losses, as in _send.
            return

    def on_member(self, callback):
        """Call a function for each change of a member.

        :param callback: called with the old record (or None) and the new one.
        :return: None.
        """
        self._member_listeners.append(callback)

    def change_own(self, **fields):
        """Change this node's own record.

        :param fields: the changed fields of the record.
        :return: None.
        """
        self._send(self._membership.change_own(self._loop.now(), **fields))

    def leave(self):
        """Announce to other members that this node stops.

        :return: None.
        """
        self._send(self._membership.leave(self._loop.now()))

    def load_snapshot(self, snapshot):
        """Merge another node's members and entries.

        :param snapshot: the :class:`~camphorshelf_core.messages.SnapshotMessage`.
        :return: None.
        """
        self._send(self._membership.load_snapshot(snapshot, self._loop.now()))

    def ping_address(self, address):
        """Ping an address that doesn't belong to a known member.

        :param address: the ``IP:PORT``.
        :return: None.
        """
        self._send(self._membership.ping_address(address, self._loop.now()))

    def _tick(self):
        self._send(self._membership.tick(self._loop.now()))

    def _on_readable(self, _mask):
        for _ in range(_MAX_DATAGRAMS_PER_READ):
            try:
                data, address = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.received_bytes += len(data)
            self._on_datagram(data, f"{address[0]}:{address[1]}")

    def _on_datagram(self, data, address):
        try:
            message = decode(data)
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(message, address)
                return
            datagrams = self._membership.receive(message, address, self._loop.now())
        except ProtocolError:
            self.bad_datagrams += 1
            return
        self._send(datagrams)

    def _send(self, datagrams):
        if self._socket is None:
            return
        for datagram in datagrams:
            self.sent_bytes += len(datagram.data)
            try:
                self._socket.sendto(datagram.data, split_address(datagram.address))
            except OSError:
                # The protocol tolerates datagrams that are lost because of a full buffer or a
                # missing route. An exception would stop the event loop.
                continue

    def _on_member(self, old, new):
        for listener in self._member_listeners:
            listener(old, new)

    def _on_entry(self, entry):
        for callback in self._subscribers.get(entry.topic, ()):
            callback(entry.key, entry.version, entry.value)
