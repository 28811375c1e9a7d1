"""Encodes messages as datagrams, adds queued changes to them, and enforces the byte budget."""

from typing import NamedTuple

from .budget import TokenBucket
from .messages import DeltaMessage, encode
from .spread import SpreadQueue

# A datagram above the usual path MTU is fragmented, and losing one fragment loses all of it.
MAX_DATAGRAM = 1_200
_HEADER_BYTES = 120
# This much of the budget is reserved for pings and acks without changes, so that a burst of changes
# can't make living members look dead.
_RESERVED_BYTES = 2_000


class Datagram(NamedTuple):
    """Bytes to be sent to a member's ``IP:PORT``."""

    address: str
    data: bytes


class Outbox:
    """Collects the datagrams to send, within a budget of bytes per second."""

    def __init__(self, own_node, settings, replica, now):
        self._own_node = own_node
        self._replica = replica
        self._queue = SpreadQueue()
        self._budget = TokenBucket(settings.bytes_per_second, settings.burst_bytes, now)
        self._ready = []
        self._dropped = 0

    @property
    def dropped(self):
        """How many datagrams were not sent because the byte budget was spent."""
        return self._dropped

    def pop_datagrams(self):
        """Return the collected datagrams and empty the outbox.

        :return: a list of :class:`Datagram`.
        """
        ready, self._ready = self._ready, []
        return ready

    def queue_change(self, key):
        """Queue a changed item to be added to the next datagrams.

        :param key: the item's key in the replica.
        :return: None.
        """
        self._queue.add(key)

    def has_room(self, datagrams, now):
        """Tell whether the budget allows full datagrams without using its reserve.

        :param datagrams: the number of datagrams.
        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self._budget.available(now) > datagrams * MAX_DATAGRAM + _RESERVED_BYTES

    def send(self, address, message, now):
        """Send a message if the budget allows it, else drop it.

        :param address: the receiver's ``IP:PORT``.
        :param message: a message of :mod:`camphorshelf_core.messages`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        data = encode(message)
        if self._budget.spend(len(data), now):
            self._ready.append(Datagram(address, data))
        else:
            self._dropped += 1

    def send_with_changes(self, address, make_message, now, extra_bytes=0):
        """Send a message with as many queued changes as fit into one datagram.

        :param address: the receiver's ``IP:PORT``.
        :param make_message: called with a tuple of packed members and one of packed entries;
            returns the message.
        :param now: seconds on the monotonic clock.
        :param extra_bytes: the size of the message's other contents, without its header.
        :return: None.
        """
        spare = self._budget.available(now) - _RESERVED_BYTES
        room = min(MAX_DATAGRAM, spare) - 2 * _HEADER_BYTES - extra_bytes
        members, entries = self._queue.select_changes(
            self._replica, room, self._replica.member_count
        )
        self.send(address, make_message(tuple(members), tuple(entries)), now)

    def send_items(self, address, keys, now):
        """Send as many of the given items as fit into one datagram.

        :param address: the receiver's ``IP:PORT``.
        :param keys: the items' keys in the replica, in order of preference.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        chosen = {"m": [], "e": []}
        room = MAX_DATAGRAM - _HEADER_BYTES
        for key in keys:
            kind, data = self._replica.packed(key)
            if len(data) > room:
                continue
            room -= len(data)
            chosen[kind].append(data)
        message = DeltaMessage(self._own_node, tuple(chosen["m"]), tuple(chosen["e"]))
        self.send(address, message, now)
