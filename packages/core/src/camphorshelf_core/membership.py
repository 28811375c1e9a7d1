"""Finds out which members are alive and spreads changes, within a budget of bytes a second.

Each period a node pings one other member; one that does not answer is asked for through three
more, then suspected, and taken for dead only when it has not contradicted the suspicion in
time. The cost for a node does not depend on how many members there are.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

from .budget import TokenBucket
from .messages import (
    AckMessage,
    DeltaMessage,
    PingMessage,
    PingRequestMessage,
    SnapshotMessage,
    encode,
)
from .replica import BUCKETS, Replica
from .roster import Entry, MemberState, unpack_entry, unpack_member
from .settings import RosterSettings
from .spread import SpreadQueue

# A datagram above the usual path MTU is cut into fragments, and losing one loses them all.
MAX_DATAGRAM = 1_200
_HEAD_BYTES = 120
_DIGESTS_PER_PING = 32
_DIGEST_BYTES = 5
# Bare pings and acks keep this much of the budget, so that a burst of changes cannot make
# living members look dead.
_RESERVED_BYTES = 2_000
_INDIRECT_PROBES = 3
_PUSH_FANOUT = 3
_RECENT_PROBES = 16
_MAX_HEALTH_PENALTY = 4
_LOST_MEMBER_PERIODS = 10
_MAX_RELAYS = 64
_YOUNG_SECONDS = 30.0


class Datagram(NamedTuple):
    """Bytes to be sent to a member's ``IP:PORT``."""

    address: str
    data: bytes


class Probe(NamedTuple):
    """The ping of this period."""

    node: str
    address: str
    sequence: int
    started: float
    is_indirect: bool


class Membership:
    """One node's view of all members; returns the datagrams to send and does no I/O.

    :param own: the node's own :class:`Member`.
    :param settings: the :class:`RosterSettings`.
    :param random: a ``random.Random``.
    :param now: seconds on the monotonic clock.
    :param on_member: takes the old record (or None) and the new one.
    :param on_entry: takes each newer :class:`Entry`.
    """

    def __init__(self, own, settings: RosterSettings, random, now, on_member, on_entry):
        self._settings = settings
        self._random = random
        self._on_member = on_member
        self._on_entry = on_entry
        self._replica = Replica()
        self._queue = SpreadQueue()
        self._budget = TokenBucket(settings.bytes_per_second, settings.burst_bytes, now)
        self._started = now
        self._sequence = 0
        self._probe = None
        self._next_period = now
        self._order = []
        self._recent = OrderedDict()
        self._penalty = 0
        self._suspected_at = {}
        self._relays = OrderedDict()
        self._periods = 0
        self._bucket = 0
        self._own = own
        self.superseded = False
        self.dropped_datagrams = 0
        self._take_member(own, now)

    @property
    def own(self):
        """This node's own record."""
        return self._own

    @property
    def replica(self):
        """The copy of all members and entries."""
        return self._replica

    @property
    def is_isolated(self):
        """Whether most members that were probed lately did not answer.

        Then it is this node that is cut off: were it to take the others for dead, it would
        drop every target at once and, when it comes back, spread that error to all.
        """
        failed = sum(not answered for answered in self._recent.values())
        return failed * 2 > len(self._recent)

    def members(self):
        """List the members in use, this node among them.

        :return: a list of :class:`Member`.
        """
        return [member for member in self._replica.members() if member.in_use]

    def tick(self, now):
        """Do what is due; to be called several times a period.

        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        sends = []
        if now >= self._next_period:
            self._finish_probe(now)
            self._next_period = now + self._settings.period_ms / 1000
            self._start_probe(now, sends)
        elif self._probe is not None and not self._probe.is_indirect:
            if now - self._probe.started >= self._ack_timeout():
                self._probe_indirectly(now, sends)
        self._expire_suspects(now)
        return sends

    def receive(self, message, address, now):
        """Take in a datagram's message.

        :param message: the decoded message.
        :param address: the ``IP:PORT`` it came from.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        sends = []
        if isinstance(message, (PingMessage, AckMessage, DeltaMessage)):
            self._take_changes(message.members, message.entries, now, sends)
        if isinstance(message, PingMessage):
            self._answer_ping(message, address, now, sends)
        elif isinstance(message, AckMessage):
            self._on_ack(message, now, sends)
        elif isinstance(message, PingRequestMessage):
            self._relay_ping(message, address, now, sends)
        return sends

    def publish(self, topic, key, version, value, now):
        """Make an entry known to all nodes.

        :param topic: what it is about.
        :param key: which of its topic.
        :param version: a whole number; the greatest one wins everywhere.
        :param value: anything that CBOR can carry, below 800 bytes.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        sends = []
        self._take_entry(Entry(topic, key, version, value), now, sends)
        return sends

    def change_own(self, now, **fields):
        """Change this node's own record.

        :param now: seconds on the monotonic clock.
        :param fields: the fields of :class:`Member` that change.
        :return: a list of :class:`Datagram`.
        """
        sends = []
        changed = self._own._replace(revision=self._own.revision + 1, **fields)
        self._own = changed
        self._take_member(changed, now)
        self._push(now, sends)
        return sends

    def leave(self, now):
        """Say to others that this node stops.

        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        return self.change_own(now, state=MemberState.LEFT)

    def make_snapshot(self, call_id):
        """Give all that this node holds to a node that starts.

        :param call_id: the id of its question.
        :return: a :class:`SnapshotMessage`.
        """
        packed = [self._replica.packed(key) for key in self._replica.keys()]
        members = tuple(data for kind, data in packed if kind == "m")
        entries = tuple(data for kind, data in packed if kind == "e")
        return SnapshotMessage(call_id, members, entries)

    def load_snapshot(self, snapshot, now):
        """Take in what another node holds.

        :param snapshot: its :class:`SnapshotMessage`.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        sends = []
        self._take_changes(snapshot.members, snapshot.entries, now, sends, spread=False)
        return sends

    def ping_address(self, address, now):
        """Ping an address of which no member is known, such as a contact from the settings.

        :param address: its ``IP:PORT``.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        sends = []
        self._sequence += 1
        self._send_ping(address, self._sequence, now, sends)
        return sends

    # -- probing

    def _ack_timeout(self):
        return self._settings.ack_timeout_ms / 1000 * (1 + self._penalty)

    def _start_probe(self, now, sends):
        self._periods += 1
        if self._periods % _LOST_MEMBER_PERIODS == 0:
            self._ping_lost_member(now, sends)
            self._replica.forget_before(now - self._settings.remember_dead_s)
        member = self._next_member()
        if member is None:
            return
        self._sequence += 1
        self._probe = Probe(member.node, member.address, self._sequence, now, False)
        self._send_ping(member.address, self._sequence, now, sends, member)

    def _next_member(self):
        """Go through all members in random order, so that each is probed once a round."""
        while True:
            if not self._order:
                nodes = [member.node for member in self.members() if member.node != self._own.node]
                if not nodes:
                    return None
                self._random.shuffle(nodes)
                self._order = nodes
            member = self._replica.member(self._order.pop())
            if member is not None and member.in_use:
                return member

    def _ping_lost_member(self, now, sends):
        """Ping one member taken for dead, so that parted regions find each other again."""
        lost = [one for one in self._replica.members() if one.state == MemberState.DEAD]
        if lost:
            member = self._random.choice(lost)
            self._sequence += 1
            self._send_ping(member.address, self._sequence, now, sends, member)

    def _probe_indirectly(self, now, sends):
        probe = self._probe._replace(is_indirect=True)
        self._probe = probe
        for member in self._sample(_INDIRECT_PROBES, exclude=probe.node):
            request = PingRequestMessage(probe.sequence, self._own.node, probe.address)
            self._send(member.address, request, now, sends)

    def _finish_probe(self, now):
        probe, self._probe = self._probe, None
        if probe is None:
            return
        self._note_outcome(probe.node, False)
        self._penalty = min(_MAX_HEALTH_PENALTY, self._penalty + 1)
        member = self._replica.member(probe.node)
        if member is not None and member.state == MemberState.ALIVE and not self.is_isolated:
            self._take_member(member._replace(state=MemberState.SUSPECT), now)

    def _note_outcome(self, node, answered):
        self._recent.pop(node, None)
        self._recent[node] = answered
        if len(self._recent) > _RECENT_PROBES:
            self._recent.popitem(last=False)

    def _expire_suspects(self, now):
        if self.is_isolated:
            return
        wait = self._suspicion_seconds()
        for node, since in list(self._suspected_at.items()):
            if now - since < wait:
                continue
            del self._suspected_at[node]
            member = self._replica.member(node)
            if member is not None and member.state == MemberState.SUSPECT:
                self._take_member(member._replace(state=MemberState.DEAD), now)

    def _suspicion_seconds(self):
        periods = max(3.0, 4 * math.log10(self._replica.member_count + 1))
        return periods * self._settings.period_ms / 1000 * (1 + self._penalty)

    # -- answering

    def _answer_ping(self, message, address, now, sends):
        def make(members, entries):
            members = self._record_unless_alive(message.sender) + members
            return AckMessage(message.sequence, self._own.node, members, entries)

        self._send_with_changes(address, make, now, sends)
        self._repair(message, address, now, sends)

    def _repair(self, message, address, now, sends):
        """Send what is held of the first bucket that differs, in one datagram."""
        for offset, digest in enumerate(message.digests):
            bucket = (message.first_bucket + offset) % BUCKETS
            if digest == self._replica.digest(bucket):
                continue
            keys = self._replica.bucket_keys(bucket)
            if keys and self._budget.available(now) > MAX_DATAGRAM + _RESERVED_BYTES:
                self._random.shuffle(keys)
                self._send(address, self._make_delta(keys), now, sends)
            return

    def _make_delta(self, keys):
        chosen = {"m": [], "e": []}
        room = MAX_DATAGRAM - _HEAD_BYTES
        for key in keys:
            kind, data = self._replica.packed(key)
            if len(data) > room:
                continue
            room -= len(data)
            chosen[kind].append(data)
        return DeltaMessage(self._own.node, tuple(chosen["m"]), tuple(chosen["e"]))

    def _on_ack(self, message, now, sends):
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            sequence, address = relay
            self._send(address, AckMessage(sequence, message.sender, (), ()), now, sends)
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence:
            self._probe = None
            self._note_outcome(probe.node, True)
            self._penalty = max(0, self._penalty - 1)

    def _relay_ping(self, message, address, now, sends):
        self._sequence += 1
        self._relays[self._sequence] = (message.sequence, address)
        if len(self._relays) > _MAX_RELAYS:
            self._relays.popitem(last=False)
        self._send_ping(message.address, self._sequence, now, sends)

    # -- changes

    def _take_changes(self, members, entries, now, sends, spread=True):
        for data in members:
            self._take_member(unpack_member(data), now, spread)
        for data in entries:
            self._take_entry(unpack_entry(data), now, sends if spread else None)

    def _take_member(self, member, now, spread=True):
        if member.node == self._own.node and member != self._own:
            self._defend_own(member, now)
            return
        old = self._replica.member(member.node)
        key = self._replica.merge_member(member, now)
        if key is None:
            return
        if member.state == MemberState.SUSPECT:
            self._suspected_at.setdefault(member.node, now)
        else:
            self._suspected_at.pop(member.node, None)
        if spread:
            self._queue.add(key)
        self._on_member(old, member)

    def _defend_own(self, member, now):
        """Contradict a record of this node that is not its own.

        Others may suspect a living node after lost datagrams; only a greater revision, which
        nobody but the node itself gives out, takes that back.
        """
        if member.order < self._own.order:
            return
        if member.generation > self._own.generation:
            if now - self._started > _YOUNG_SECONDS:
                # A newer process has this name: this one was frozen or cut off while its host
                # was replaced. Contradicting would send calls to two hosts in turn.
                self.superseded = True
                return
            self._own = self._own._replace(generation=member.generation + 1, revision=0)
        else:
            self._own = self._own._replace(revision=member.revision + 1)
        self._take_member(self._own, now)

    def _take_entry(self, entry, now, sends):
        key = self._replica.merge_entry(entry, now)
        if key is None:
            return
        self._on_entry(entry)
        if sends is not None:
            self._queue.add(key)
            self._push(now, sends)

    def _push(self, now, sends):
        """Pass a change on at once; the next pings bring it to those it misses."""
        if self._budget.available(now) < _PUSH_FANOUT * MAX_DATAGRAM + _RESERVED_BYTES:
            return
        for member in self._sample(_PUSH_FANOUT):
            self._send_with_changes(
                member.address,
                lambda members, entries: DeltaMessage(self._own.node, members, entries),
                now,
                sends,
            )

    # -- sending

    def _sample(self, count, exclude=None):
        others = [one for one in self.members() if one.node not in (self._own.node, exclude)]
        return self._random.sample(others, min(count, len(others)))

    def _send_ping(self, address, sequence, now, sends, member=None):
        first = self._bucket
        self._bucket = (first + _DIGESTS_PER_PING) % BUCKETS
        digests = tuple(self._replica.digest(first + index) for index in range(_DIGESTS_PER_PING))

        def make(members, entries):
            if member is not None:
                members = self._record_unless_alive(member.node) + members
            return PingMessage(sequence, self._own.node, first, digests, members, entries)

        self._send_with_changes(address, make, now, sends, _DIGESTS_PER_PING * _DIGEST_BYTES)

    def _record_unless_alive(self, node):
        """Give what the other side must hear to contradict that it is suspected or dead."""
        member = self._replica.member(node)
        if member is None or member.state == MemberState.ALIVE:
            return ()
        return (self._replica.packed(("m", node))[1],)

    def _send_with_changes(self, address, make, now, sends, extra_bytes=0):
        spare = self._budget.available(now) - _RESERVED_BYTES
        room = min(MAX_DATAGRAM, spare) - 2 * _HEAD_BYTES - extra_bytes
        members, entries = self._queue.take(self._replica, room, self._replica.member_count)
        self._send(address, make(tuple(members), tuple(entries)), now, sends)

    def _send(self, address, message, now, sends):
        data = encode(message)
        if self._budget.spend(len(data), now):
            sends.append(Datagram(address, data))
        else:
            self.dropped_datagrams += 1
