"""Decides which changed records ride on the next datagram.

Answers the load of many changes at once (hundreds of hosts restarting): every change is sent a
number of times that grows with the logarithm of the members, the least sent first, so a burst
takes longer to spread but no datagram grows beyond its limit and no change is starved.
"""

import heapq
import math

# Each node hears a change with a probability of 1 - n**-(factor - 2) or better when it is sent
# factor * ln(n) times by each node that knows it; 3 leaves one node in 2,100 to the comparison
# of digests, 4 next to none, and each send costs one record's bytes.
SEND_FACTOR = 3
_MAX_CONSIDERED = 24
_OVERHEAD = 3


class SpreadQueue:
    """The changes still to be sent, each with how often it was."""

    def __init__(self):
        self._sent = {}

    def __len__(self):
        return len(self._sent)

    def add(self, key):
        """Begin to spread a change, or begin again.

        :param key: the item's key.
        :return: None.
        """
        self._sent[key] = 0

    def take(self, replica, max_bytes, members):
        """Choose what rides on a datagram.

        :param replica: the :class:`Replica` that holds the items.
        :param max_bytes: the room there is.
        :param members: how many members there are.
        :return: the packed members and the packed entries, as two lists.
        """
        limit = send_limit(members)
        chosen = {"m": [], "e": []}
        candidates = heapq.nsmallest(_MAX_CONSIDERED, self._sent.items(), key=_by_count)
        for key, sent in candidates:
            packed = replica.packed(key)
            if packed is None:
                del self._sent[key]
                continue
            kind, data = packed
            if len(data) + _OVERHEAD > max_bytes:
                continue
            max_bytes -= len(data) + _OVERHEAD
            chosen[kind].append(data)
            self._count(key, sent + 1, limit)
        return chosen["m"], chosen["e"]

    def _count(self, key, sent, limit):
        if sent >= limit:
            del self._sent[key]
        else:
            self._sent[key] = sent


def send_limit(members):
    """Tell how often one node sends each change.

    :param members: how many members there are.
    :return: a whole number, at least 1.
    """
    return max(1, math.ceil(SEND_FACTOR * math.log(members + 1)))


def _by_count(pair):
    return pair[1]
