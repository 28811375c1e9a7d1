"""Decides which changed records are added to the next datagram.

Many changes may come at once, for example when hundreds of hosts restart. Every change is sent a
number of times that grows with the logarithm of the number of members, and the least often sent
changes go first. A burst thus takes longer to spread, but no datagram exceeds its size limit and
no change is starved.
"""

import heapq
import math

# With n members, a node receives a change with a probability of at least 1 - n**-(factor - 2) when
# each node that knows the change sends it factor * ln(n) times. A factor of 3 leaves about one node
# in 2,100 to the comparison of digests and 4 hardly any, but each further send costs the bytes of
# one record.
SEND_FACTOR = 3
_MAX_CANDIDATES = 24
_OVERHEAD_BYTES = 3


class SpreadQueue:
    """The changes that still have to be sent, each with the number of times it was sent."""

    def __init__(self):
        self._sent = {}

    def __len__(self):
        return len(self._sent)

    def add(self, key):
        """Add a change; one that is queued already starts over.

        :param key: the item's key in the replica.
        :return: None.
        """
        self._sent[key] = 0

    def select_changes(self, replica, max_bytes, members):
        """Select the changes for one datagram and count them as sent.

        :param replica: the :class:`Replica` that holds the items.
        :param max_bytes: the room in the datagram, in bytes.
        :param members: the number of members.
        :return: the packed members and the packed entries, as two lists.
        """
        limit = send_limit(members)
        chosen = {"m": [], "e": []}
        candidates = heapq.nsmallest(_MAX_CANDIDATES, self._sent.items(), key=_sent_count)
        for key, sent in candidates:
            packed = replica.packed(key)
            if packed is None:
                del self._sent[key]
                continue
            kind, data = packed
            if len(data) + _OVERHEAD_BYTES > max_bytes:
                continue
            max_bytes -= len(data) + _OVERHEAD_BYTES
            chosen[kind].append(data)
            self._update_count(key, sent + 1, limit)
        return chosen["m"], chosen["e"]

    def _update_count(self, key, sent, limit):
        if sent >= limit:
            del self._sent[key]
        else:
            self._sent[key] = sent


def send_limit(members):
    """Compute how many times one node sends each change.

    :param members: the number of members.
    :return: an integer, at least 1.
    """
    return max(1, math.ceil(SEND_FACTOR * math.log(members + 1)))


def _sent_count(item):
    return item[1]
