"""Identifies requests that crash the targets that run them, across targets and resends.

Handles a request that crashes its target and that its caller sends again and again: without a
quarantine, a service of three targets is down after three attempts.

When a target crashes, the requests in flight there are suspects. If any of them were suspects
before, only these are blamed; otherwise all are. A suspect that then runs to its answer is cleared.
Suspects continue to run, but never two at one target at once, so that the next crash identifies
one. A request that is blamed for enough crashes is refused everywhere, until the hold time has
passed or an operator lifts the quarantine.

Each node writes only its own count of crashes per request, so the counts of several nodes add up
and none overwrites another. Times are wall-clock seconds, because they are compared across nodes.
Clock skew makes a quarantine longer or shorter by as much and affects nothing else.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

_DIGEST_BYTES = 16
_NODES_PER_RECORD = 8
# An eighth of the records is evicted at once, so that one sort serves many additions.
_EVICTION_DIVISOR = 8


class Standing(IntEnum):
    """The state of a request in the quarantine."""

    CLEAR = 0
    SUSPECT = 1
    REFUSED = 2


class Crashes(NamedTuple):
    """How often one node saw its target crash under a request, and when last (wall clock)."""

    count: int
    at: float


class _Record:
    __slots__ = ("by_node", "cleared_at")

    def __init__(self):
        self.by_node = {}
        self.cleared_at = 0.0

    def count(self):
        return sum(
            crashes.count for crashes in self.by_node.values() if crashes.at > self.cleared_at
        )

    def last_crash_at(self):
        return max((crashes.at for crashes in self.by_node.values()), default=0.0)


def fingerprint(service, method, path, body):
    """Return the fingerprint of a request; it is the same for every caller and at any time.

    It doesn't contain the idempotency key. A resend with the same key has the same body or is
    refused, and a caller that uses a new key for each attempt must not evade the quarantine.

    :param service: the service's name.
    :param method: the HTTP method.
    :param path: the request's path, as bytes.
    :param body: the body, as bytes.
    :return: the service's name, a dot and a hexadecimal digest.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (service.encode(), method.encode(), path, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return f"{service}.{digest.hexdigest()}"


class Quarantine:
    """The crash counts of requests, limited in number and dropped after a time.

    :param settings: the limits, with the attributes ``crashes`` (count), ``suspicion_ms``,
        ``hold_ms`` and ``remembered`` (records).
    :param node: the name of this node.
    """

    def __init__(self, settings, node):
        self._max_crashes = settings.crashes
        self._suspicion_s = settings.suspicion_ms / 1000
        self._hold_s = settings.hold_ms / 1000
        self._max_records = settings.remembered
        self._node = node
        self._records = {}

    def __len__(self):
        return len(self._records)

    def __iter__(self):
        return iter(list(self._records))

    def standing(self, fingerprint, now):
        """Return the standing of a request.

        :param fingerprint: the request's fingerprint.
        :param now: wall-clock seconds.
        :return: a :class:`Standing`.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return Standing.CLEAR
        count = record.count()
        if count >= self._max_crashes:
            return (
                Standing.REFUSED if now < record.last_crash_at() + self._hold_s else Standing.CLEAR
            )
        if count and now < record.last_crash_at() + self._suspicion_s:
            return Standing.SUSPECT
        return Standing.CLEAR

    def seconds_left(self, fingerprint, now):
        """Return how long a request stays refused.

        :param fingerprint: the request's fingerprint.
        :param now: wall-clock seconds.
        :return: seconds, 0.0 when it is not refused.
        """
        if self.standing(fingerprint, now) is not Standing.REFUSED:
            return 0.0
        return self._records[fingerprint].last_crash_at() + self._hold_s - now

    def counted_crashes(self, fingerprint):
        """Return the crashes that count against a request.

        :param fingerprint: the request's fingerprint.
        :return: the pair of a dict of :class:`Crashes` by node, and when the request was last
            cleared, in wall-clock seconds.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return {}, 0.0
        current = {
            node: crashes
            for node, crashes in record.by_node.items()
            if crashes.at > record.cleared_at
        }
        return current, record.cleared_at

    def cleared_at(self, fingerprint):
        """Return when a request was last cleared.

        :param fingerprint: the request's fingerprint.
        :return: wall-clock seconds, 0.0 when never.
        """
        return self.counted_crashes(fingerprint)[1]

    def record_crash(self, fingerprints, now):
        """Record a crash of this node's target, and blame requests that were in flight.

        :param fingerprints: the fingerprints of all requests that were in flight.
        :param now: wall-clock seconds.
        :return: the fingerprints that are blamed.
        """
        fingerprints = set(fingerprints)
        blamed = {
            fingerprint
            for fingerprint in fingerprints
            if self.standing(fingerprint, now) is not Standing.CLEAR
        }
        blamed = blamed or fingerprints
        for fingerprint in blamed:
            current, _ = self.counted_crashes(fingerprint)
            before = current.get(self._node, Crashes(0, now)).count
            self.merge_crashes(fingerprint, self._node, Crashes(before + 1, now), now)
        return blamed

    def record_completed(self, fingerprint, started_at, now):
        """Clear a suspect that ran to its answer; a refused request stays refused.

        :param fingerprint: the request's fingerprint.
        :param started_at: when the run began, in wall-clock seconds.
        :param now: wall-clock seconds.
        :return: whether it was cleared now.
        """
        if self.standing(fingerprint, now) is not Standing.SUSPECT:
            return False
        if started_at < self._records[fingerprint].last_crash_at():
            return False
        self.merge_cleared(fingerprint, now)
        return True

    def lift(self, fingerprint, now):
        """Lift the quarantine or suspicion of a request.

        :param fingerprint: the request's fingerprint.
        :param now: wall-clock seconds.
        :return: whether the request was a suspect or refused.
        """
        if self.standing(fingerprint, now) is Standing.CLEAR:
            return False
        self.merge_cleared(fingerprint, max(now, self._records[fingerprint].last_crash_at()))
        return True

    def merge_crashes(self, fingerprint, node, crashes, now):
        """Merge the crash count of a node; an older count changes nothing.

        :param fingerprint: the request's fingerprint.
        :param node: the node that counted.
        :param crashes: its :class:`Crashes`.
        :param now: wall-clock seconds.
        :return: None.
        """
        record = self._record(fingerprint, now)
        known = record.by_node.get(node)
        # Of two counts at the same time the higher one wins, whatever their order.
        if known is not None and (known.at, known.count) >= (crashes.at, crashes.count):
            return
        if known is None and len(record.by_node) >= _NODES_PER_RECORD:
            return
        record.by_node[node] = crashes

    def merge_cleared(self, fingerprint, at):
        """Merge the time at which a request was cleared or its quarantine lifted.

        :param fingerprint: the request's fingerprint.
        :param at: the time in wall-clock seconds.
        :return: None.
        """
        record = self._record(fingerprint, at)
        record.cleared_at = max(record.cleared_at, at)

    def remove_expired(self, now):
        """Drop the records that no longer affect a request.

        :param now: wall-clock seconds.
        :return: the fingerprints that were dropped.
        """
        lifetime_s = max(self._hold_s, self._suspicion_s)
        expired = [
            fingerprint
            for fingerprint, record in self._records.items()
            if max(record.last_crash_at(), record.cleared_at) + lifetime_s < now
        ]
        for fingerprint in expired:
            del self._records[fingerprint]
        return expired

    def _record(self, fingerprint, now):
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= self._max_records:
                self._evict(now)
            record = self._records[fingerprint] = _Record()
        return record

    def _evict(self, now):
        # Refused requests are evicted last: many harmless suspects must not displace the one
        # request that is known to crash targets.
        def eviction_key(fingerprint):
            return self.standing(fingerprint, now), self._records[fingerprint].last_crash_at()

        by_eviction_order = sorted(self._records, key=eviction_key)
        for fingerprint in by_eviction_order[: max(1, len(by_eviction_order) // _EVICTION_DIVISOR)]:
            del self._records[fingerprint]
