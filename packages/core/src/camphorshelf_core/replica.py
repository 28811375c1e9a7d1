"""A node's copy of all members and entries, merged by order, with digests to compare copies."""

from typing import NamedTuple
from zlib import crc32

from .roster import MemberState, pack_entry, pack_member

BUCKETS = 256
MAX_ENTRIES_PER_TOPIC = 1_024
MAX_VALUE_BYTES = 800


class Item(NamedTuple):
    """One held record with its packed form; ``kind`` is ``m`` (member) or ``e`` (entry)."""

    kind: str
    order: tuple
    record: object
    packed: bytes
    changed_at: float


class Replica:
    """Holds the newest record of each member and the newest entry of each topic and key.

    Every copy that has merged the same records is the same, in whatever order they came. Each
    record falls into one of 256 buckets by its name; the XOR of the checksums in a bucket tells
    two nodes in four bytes whether their copies of it differ.
    """

    def __init__(self):
        self._items = {}
        self._buckets = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._topic_sizes = {}
        self._members = 0

    @property
    def member_count(self):
        """How many members are held, of whatever state."""
        return self._members

    def member(self, node):
        """Find a member's record.

        :param node: the member's name.
        :return: the :class:`Member`, or None.
        """
        item = self._items.get(("m", node))
        return None if item is None else item.record

    def changed_at(self, member):
        """Tell when a held member's record was last changed here.

        :param member: any record of the member.
        :return: seconds on the monotonic clock.
        """
        return self._items["m", member.node].changed_at

    def members(self):
        """List all members' records, of whatever state.

        :return: a list of :class:`Member`.
        """
        return [item.record for item in self._items.values() if item.kind == "m"]

    def entry(self, topic, key):
        """Find an entry.

        :param topic: its topic.
        :param key: its key.
        :return: the :class:`Entry`, or None.
        """
        item = self._items.get(("e", topic, key))
        return None if item is None else item.record

    def entries(self, topic):
        """List the entries of a topic.

        :param topic: its name.
        :return: a list of :class:`Entry`.
        """
        return [
            item.record
            for item in self._items.values()
            if item.kind == "e" and item.record.topic == topic
        ]

    def merge_member(self, member, now):
        """Take a record when it is newer than the one held.

        :param member: the :class:`Member`.
        :param now: seconds on the monotonic clock.
        :return: the key of the item when it was taken, else None.
        """
        key = ("m", member.node)
        self._members += key not in self._items
        return self._merge(key, Item("m", member.order, member, pack_member(member), now))

    def merge_entry(self, entry, now):
        """Take an entry when it is newer than the one held.

        :param entry: the :class:`Entry`.
        :param now: seconds on the monotonic clock.
        :return: the key of the item when it was taken, else None.
        """
        key = ("e", entry.topic, entry.key)
        size = self._topic_sizes.get(entry.topic, 0)
        packed = pack_entry(entry)
        is_known = key in self._items
        # A topic that grows without end, or one huge value, would fill every node's memory and
        # crowd out all other changes; both are refused at each node that meets them.
        if len(packed) > MAX_VALUE_BYTES or (not is_known and size >= MAX_ENTRIES_PER_TOPIC):
            return None
        if not is_known:
            self._topic_sizes[entry.topic] = size + 1
        return self._merge(key, Item("e", (entry.version, packed), entry, packed, now))

    def forget_before(self, limit):
        """Drop members that have been out of use since before a moment.

        A dead member is kept for a while so that its old record, arriving late from a parted
        region, is seen to be old and does not bring it back to life.

        :param limit: seconds on the monotonic clock.
        :return: the names of the dropped members.
        """
        gone = [
            key
            for key, item in self._items.items()
            if item.kind == "m" and item.record.state >= MemberState.DEAD
            if item.changed_at < limit
        ]
        for key in gone:
            self._drop(key)
        self._members -= len(gone)
        return [key[1] for key in gone]

    def packed(self, key):
        """Give an item's packed form.

        :param key: the item's key.
        :return: the kind and the bytes, or None when it is no longer held.
        """
        item = self._items.get(key)
        return None if item is None else (item.kind, item.packed)

    def digest(self, bucket):
        """Give the checksum over a bucket.

        :param bucket: its number.
        :return: an integer below 2**32.
        """
        return self._digests[bucket]

    def bucket_keys(self, bucket):
        """List the keys of a bucket's items.

        :param bucket: its number.
        :return: a list of keys.
        """
        return list(self._buckets[bucket])

    def keys(self):
        """List the keys of all items.

        :return: a list of keys.
        """
        return list(self._items)

    def _merge(self, key, item):
        held = self._items.get(key)
        if held is not None:
            if item.order <= held.order:
                return None
            self._drop(key)
        self._items[key] = item
        bucket = _bucket(key)
        self._buckets[bucket][key] = None
        self._digests[bucket] ^= crc32(item.packed)
        return key

    def _drop(self, key):
        item = self._items.pop(key)
        bucket = _bucket(key)
        del self._buckets[bucket][key]
        self._digests[bucket] ^= crc32(item.packed)


def _bucket(key):
    return crc32("/".join(key).encode()) % BUCKETS
