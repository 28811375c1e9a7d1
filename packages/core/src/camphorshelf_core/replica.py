"""A node's copy of all members and entries, with digests to compare copies between nodes."""

from typing import NamedTuple
from zlib import crc32

from .roster import MemberState, pack_entry, pack_member

BUCKETS = 256
MAX_ENTRIES_PER_TOPIC = 1_024
MAX_VALUE_BYTES = 800


class Item(NamedTuple):
    """A record with its packed form; ``kind`` is ``m`` for a member, ``e`` for an entry."""

    kind: str
    order: tuple
    record: object
    packed: bytes
    changed_at: float


class Replica:
    """Holds the newest record of each member and the newest entry of each topic and key.

    Copies that have merged the same records are equal, in whatever order the records came. Each
    record belongs to one of 256 buckets, chosen by a checksum of its key. The XOR of a bucket's
    record checksums is its digest: four bytes that tell two nodes whether their copies of the
    bucket differ.
    """

    def __init__(self):
        self._items = {}
        self._buckets = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._topic_sizes = {}
        self._member_count = 0

    @property
    def member_count(self):
        """How many members are held, in any state."""
        return self._member_count

    def member(self, node):
        """Find a member's record.

        :param node: the member's name.
        :return: the :class:`Member`, or None.
        """
        item = self._items.get(("m", node))
        return None if item is None else item.record

    def changed_at(self, member):
        """Tell when the held record of a member was last changed in this copy.

        :param member: any record of the member.
        :return: seconds on the monotonic clock.
        """
        return self._items["m", member.node].changed_at

    def members(self):
        """List the records of all members, in any state.

        :return: a list of :class:`Member`.
        """
        return [item.record for item in self._items.values() if item.kind == "m"]

    def entry(self, topic, key):
        """Find an entry.

        :param topic: the entry's topic.
        :param key: the entry's key.
        :return: the :class:`Entry`, or None.
        """
        item = self._items.get(("e", topic, key))
        return None if item is None else item.record

    def entries(self, topic):
        """List the entries of a topic.

        :param topic: the topic's name.
        :return: a list of :class:`Entry`.
        """
        return [
            item.record
            for item in self._items.values()
            if item.kind == "e" and item.record.topic == topic
        ]

    def merge_member(self, member, now):
        """Store a member's record if it is newer than the one held.

        :param member: the :class:`Member`.
        :param now: seconds on the monotonic clock.
        :return: the item's key if the record was stored, else None.
        """
        key = ("m", member.node)
        self._member_count += key not in self._items
        return self._merge(key, Item("m", member.order, member, pack_member(member), now))

    def merge_entry(self, entry, now):
        """Store an entry if it is newer than the one held.

        :param entry: the :class:`Entry`.
        :param now: seconds on the monotonic clock.
        :return: the item's key if the entry was stored, else None.
        """
        key = ("e", entry.topic, entry.key)
        size = self._topic_sizes.get(entry.topic, 0)
        packed = pack_entry(entry)
        is_known = key in self._items
        # A topic that grows without bound, or one huge value, would fill every node's memory and
        # crowd out all other changes. Each node refuses both.
        if len(packed) > MAX_VALUE_BYTES or (not is_known and size >= MAX_ENTRIES_PER_TOPIC):
            return None
        if not is_known:
            self._topic_sizes[entry.topic] = size + 1
        return self._merge(key, Item("e", (entry.version, packed), entry, packed, now))

    def forget_before(self, limit):
        """Drop the members that died or left before a given time.

        A dead member is kept for a while. Otherwise its old record, arriving late from the other
        side of a partition, would be taken for that of a living member.

        :param limit: seconds on the monotonic clock.
        :return: the names of the dropped members.
        """
        expired = [
            key
            for key, item in self._items.items()
            if item.kind == "m" and item.record.state >= MemberState.DEAD
            if item.changed_at < limit
        ]
        for key in expired:
            self._drop(key)
        self._member_count -= len(expired)
        return [key[1] for key in expired]

    def packed(self, key):
        """Return an item's packed form.

        :param key: the item's key.
        :return: the kind and the bytes, or None when the item is not held.
        """
        item = self._items.get(key)
        return None if item is None else (item.kind, item.packed)

    def digest(self, bucket):
        """Return a bucket's digest.

        :param bucket: the bucket's number.
        :return: an integer below 2**32.
        """
        return self._digests[bucket]

    def bucket_keys(self, bucket):
        """List the keys of a bucket's items.

        :param bucket: the bucket's number.
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
        bucket = _bucket_of(key)
        self._buckets[bucket][key] = None
        self._digests[bucket] ^= crc32(item.packed)
        return key

    def _drop(self, key):
        item = self._items.pop(key)
        bucket = _bucket_of(key)
        del self._buckets[bucket][key]
        self._digests[bucket] ^= crc32(item.packed)


def _bucket_of(key):
    return crc32("/".join(key).encode()) % BUCKETS
