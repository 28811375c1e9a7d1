"""Turns messages into datagrams, adds the changes that ride on them, and keeps the byte budget."""

from typing import NamedTuple

from .budget import TokenBucket
from .messages import DeltaMessage, encode
from .spread import SpreadQueue

# A datagram above the usual path MTU is cut into fragments, and losing one loses them all.
MAX_DATAGRAM = 1_200
_HEAD_BYTES = 120
# Bare pings and acks keep this much of the budget, so that a burst of changes cannot make
# living members look dead.
_RESERVED_BYTES = 2_000


class Datagram(NamedTuple):
    """Bytes to be sent to a member's ``IP:PORT``."""

    address: str
    data: bytes


class Outbox:
    """The datagrams that are ready to be sent, within a budget of bytes a second."""

    def __init__(self, own_node, settings, replica, now):
        self._own_node = own_node
        self._replica = replica
        self._queue = SpreadQueue()
        self._budget = TokenBucket(settings.bytes_per_second, settings.burst_bytes, now)
        self._ready = []
        self._dropped = 0

    @property
    def dropped(self):
        """How many datagrams were not sent because the budget was spent."""
        return self._dropped

    def take(self):
        """Hand over the datagrams to send.

        :return: a list of :class:`Datagram`.
        """
        ready, self._ready = self._ready, []
        return ready

    def spread(self, key):
        """Let a changed item ride on the next datagrams.

        :param key: the item's key in the replica.
        :return: None.
        """
        self._queue.add(key)

    def has_room(self, datagrams, now):
        """Tell whether full datagrams can be sent beside the bare pings.

        :param datagrams: how many.
        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self._budget.available(now) > datagrams * MAX_DATAGRAM + _RESERVED_BYTES

    def send(self, address, message, now):
        """Send a message if the budget allows it.

        :param address: the ``IP:PORT``.
        :param message: a message of the core package.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        data = encode(message)
        if self._budget.spend(len(data), now):
            self._ready.append(Datagram(address, data))
        else:
            self._dropped += 1

    def send_with_changes(self, address, make, now, extra_bytes=0):
        """Send a message that carries as many changes as fit.

        :param address: the ``IP:PORT``.
        :param make: makes the message from packed members and packed entries.
        :param now: seconds on the monotonic clock.
        :param extra_bytes: what the message takes besides its head.
        :return: None.
        """
        spare = self._budget.available(now) - _RESERVED_BYTES
        room = min(MAX_DATAGRAM, spare) - 2 * _HEAD_BYTES - extra_bytes
        members, entries = self._queue.take(self._replica, room, self._replica.member_count)
        self.send(address, make(tuple(members), tuple(entries)), now)

    def send_items(self, address, keys, now):
        """Send as many of some items as fit into one datagram.

        :param address: the ``IP:PORT``.
        :param keys: the items' keys in the replica.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        chosen = {"m": [], "e": []}
        room = MAX_DATAGRAM - _HEAD_BYTES
        for key in keys:
            kind, data = self._replica.packed(key)
            if len(data) > room:
                continue
            room -= len(data)
            chosen[kind].append(data)
        message = DeltaMessage(self._own_node, tuple(chosen["m"]), tuple(chosen["e"]))
        self.send(address, message, now)
