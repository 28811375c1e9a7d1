"""Recognises the request that crashes each target that runs it, across targets and resends.

Answers the one request that its caller sends again and again while it takes down a target
each time: without this a service of three targets is gone after three tries.

The rule. When a target dies, the calls in flight there are its suspects. If one of them was a
suspect before, it alone is blamed; if none was, all are. A suspect that then runs to its
answer is cleared. Suspects run on, but never two at one target, so that the next crash names
one. A request blamed for enough crashes is refused everywhere until a time has passed or an
operator lifts it.

Each node writes only its own count of crashes per request, so counts from several nodes add
up and none overwrites another. Times are wall-clock seconds, because they are compared across
nodes; skew makes a quarantine shorter or longer by as much, and nothing else rests on it.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

_DIGEST_BYTES = 16
_NODES_PER_RECORD = 8
# An eighth goes at once when there are too many: one sort for many additions.
_EVICTED_SHARE = 8


class Standing(IntEnum):
    """What is held against a request."""

    CLEAR = 0
    SUSPECT = 1
    REFUSED = 2


class Crashes(NamedTuple):
    """How often one node saw its target die under a request, and when last."""

    count: int
    at: float


class _Record:
    __slots__ = ("by_node", "cleared_at")

    def __init__(self):
        self.by_node = {}
        self.cleared_at = 0.0

    def count(self):
        return sum(one.count for one in self.by_node.values() if one.at > self.cleared_at)

    def last(self):
        return max((one.at for one in self.by_node.values()), default=0.0)


def fingerprint(service, method, path, body):
    """Name what a request asks for, whoever sends it and whenever.

    The idempotency key is left out: a resend with the same key has the same body or is
    refused for it, and a caller that draws a new key for each try must not slip through.

    :param service: the service's name.
    :param method: the HTTP method.
    :param path: the request's target, as bytes.
    :param body: the body, as bytes.
    :return: the service's name, a dot and a hexadecimal digest.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (service.encode(), method.encode(), path, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return f"{service}.{digest.hexdigest()}"


class Quarantine:
    """What is known of requests under which targets died; bounded and forgetful."""

    def __init__(self, settings, node):
        self._limit = settings.crashes
        self._suspicion = settings.suspicion_ms / 1000
        self._hold = settings.hold_ms / 1000
        self._remembered = settings.remembered
        self._node = node
        self._records = {}

    def __len__(self):
        return len(self._records)

    def __iter__(self):
        return iter(list(self._records))

    def standing(self, name, now):
        """Tell what is held against a request.

        :param name: its fingerprint.
        :param now: wall-clock seconds.
        :return: a :class:`Standing`.
        """
        record = self._records.get(name)
        if record is None:
            return Standing.CLEAR
        count = record.count()
        if count >= self._limit:
            return Standing.REFUSED if now < record.last() + self._hold else Standing.CLEAR
        if count and now < record.last() + self._suspicion:
            return Standing.SUSPECT
        return Standing.CLEAR

    def seconds_left(self, name, now):
        """Tell for how long a request stays refused.

        :param name: its fingerprint.
        :param now: wall-clock seconds.
        :return: seconds, 0 when it is not refused.
        """
        if self.standing(name, now) is not Standing.REFUSED:
            return 0.0
        return self._records[name].last() + self._hold - now

    def evidence(self, name):
        """List the crashes held against a request.

        :param name: its fingerprint.
        :return: a dict of node to :class:`Crashes`, and the moment it was last cleared.
        """
        record = self._records.get(name)
        if record is None:
            return {}, 0.0
        live = {node: one for node, one in record.by_node.items() if one.at > record.cleared_at}
        return live, record.cleared_at

    def cleared_at(self, name):
        """Tell when a request was last cleared.

        :param name: its fingerprint.
        :return: wall-clock seconds, 0 when never.
        """
        return self.evidence(name)[1]

    def note_crash(self, names, now):
        """Blame the calls that were in flight at the target beside this node when it died.

        :param names: their fingerprints.
        :param now: wall-clock seconds.
        :return: the fingerprints that were blamed.
        """
        names = set(names)
        blamed = {name for name in names if self.standing(name, now) is not Standing.CLEAR}
        blamed = blamed or names
        for name in blamed:
            live, _ = self.evidence(name)
            before = live.get(self._node, Crashes(0, now)).count
            self.learn_crashes(name, self._node, Crashes(before + 1, now), now)
        return blamed

    def note_clean(self, name, started, now):
        """Clear a suspect that ran to its answer; one that is refused stays so.

        :param name: its fingerprint.
        :param started: when the run began, in wall-clock seconds.
        :param now: wall-clock seconds.
        :return: True when it was cleared by this.
        """
        if self.standing(name, now) is not Standing.SUSPECT:
            return False
        if started < self._records[name].last():
            return False
        self.learn_cleared(name, now)
        return True

    def lift(self, name, now):
        """Forgive a request, whatever is held against it.

        :param name: its fingerprint.
        :param now: wall-clock seconds.
        :return: True when something was held against it.
        """
        if self.standing(name, now) is Standing.CLEAR:
            return False
        self.learn_cleared(name, max(now, self._records[name].last()))
        return True

    def learn_crashes(self, name, node, crashes, now):
        """Take in what a node counted; an older count changes nothing.

        :param name: the fingerprint.
        :param node: the node that counted.
        :param crashes: its :class:`Crashes`.
        :param now: wall-clock seconds.
        :return: None.
        """
        record = self._record(name, now)
        known = record.by_node.get(node)
        # The count decides between two of the same moment, so that their order does not.
        if known is not None and (known.at, known.count) >= (crashes.at, crashes.count):
            return
        if known is None and len(record.by_node) >= _NODES_PER_RECORD:
            return
        record.by_node[node] = crashes

    def learn_cleared(self, name, at):
        """Take in that a request was cleared or lifted.

        :param name: the fingerprint.
        :param at: when, in wall-clock seconds.
        :return: None.
        """
        record = self._record(name, at)
        record.cleared_at = max(record.cleared_at, at)

    def forget_old(self, now):
        """Drop records that no longer hold anything against a request.

        :param now: wall-clock seconds.
        :return: the fingerprints dropped.
        """
        longest = max(self._hold, self._suspicion)
        old = [
            name
            for name, record in self._records.items()
            if max(record.last(), record.cleared_at) + longest < now
        ]
        for name in old:
            del self._records[name]
        return old

    def _record(self, name, now):
        record = self._records.get(name)
        if record is None:
            if len(self._records) >= self._remembered:
                self._evict(now)
            record = self._records[name] = _Record()
        return record

    def _evict(self, now):
        # Refused requests go last: a flood of innocent suspects must not push out the one
        # request that is known to crash targets.
        def worth(name):
            return self.standing(name, now), self._records[name].last()

        by_worth = sorted(self._records, key=worth)
        for name in by_worth[: max(1, len(by_worth) // _EVICTED_SHARE)]:
            del self._records[name]
