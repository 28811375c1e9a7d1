"""Finds out which members are alive and spreads changes, within a budget of bytes a second.

Each period a node pings one other member; one that does not answer is asked for through three
more, then suspected, and taken for dead only when it has not contradicted the suspicion in
time. The cost for a node does not depend on how many members there are.
"""

from collections import OrderedDict

from .messages import (
    AckMessage,
    DeltaMessage,
    PingMessage,
    PingRequestMessage,
    SnapshotMessage,
)
from .outbox import Outbox
from .probing import Prober
from .replica import BUCKETS, Replica
from .roster import Entry, MemberState, unpack_entry, unpack_member
from .settings import RosterSettings

_DIGESTS_PER_PING = 32
_DIGEST_BYTES = 5
_INDIRECT_PROBES = 3
_PUSH_FANOUT = 3
_LOST_MEMBER_PERIODS = 10
_MAX_RELAYS = 64
_YOUNG_SECONDS = 30.0


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
        self._outbox = Outbox(own.node, settings, self._replica, now)
        self._prober = Prober(own.node, settings, random)
        self._started = now
        self._sequence = 0
        self._next_period = now
        self._suspected_at = {}
        self._relays = OrderedDict()
        self._periods = 0
        self._bucket = 0
        self._own = own
        self._superseded = False
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
        """Whether this node seems to be cut off from most others."""
        return self._prober.is_isolated

    @property
    def superseded(self):
        """Whether a newer process has this node's name."""
        return self._superseded

    @property
    def dropped_datagrams(self):
        """How many datagrams were not sent because the budget was spent."""
        return self._outbox.dropped

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
        if now >= self._next_period:
            self._next_period = now + self._settings.period_ms / 1000
            self._end_probe(now)
            self._begin_probe(now)
        else:
            self._probe_indirectly(now)
        self._expire_suspects(now)
        return self._outbox.take()

    def receive(self, message, address, now):
        """Take in a datagram's message.

        :param message: the decoded message.
        :param address: the ``IP:PORT`` it came from.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        if isinstance(message, (PingMessage, AckMessage, DeltaMessage)):
            self._take_changes(message.members, message.entries, now)
        if isinstance(message, PingMessage):
            self._answer_ping(message, address, now)
        elif isinstance(message, AckMessage):
            self._take_ack(message, now)
        elif isinstance(message, PingRequestMessage):
            self._relay_ping(message, address, now)
        return self._outbox.take()

    def publish(self, topic, key, version, value, now):
        """Make an entry known to all nodes.

        :param topic: what it is about.
        :param key: which of its topic.
        :param version: a whole number; the greatest one wins everywhere.
        :param value: anything that CBOR can carry, below 800 bytes.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        self._take_entry(Entry(topic, key, version, value), now)
        return self._outbox.take()

    def change_own(self, now, **fields):
        """Change this node's own record.

        :param now: seconds on the monotonic clock.
        :param fields: the fields of :class:`Member` that change.
        :return: a list of :class:`Datagram`.
        """
        self._own = self._own._replace(revision=self._own.revision + 1, **fields)
        self._take_member(self._own, now)
        self._push(now)
        return self._outbox.take()

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
        self._take_changes(snapshot.members, snapshot.entries, now, spread=False)
        return self._outbox.take()

    def ping_address(self, address, now):
        """Ping an address of which no member is known, such as a contact from the settings.

        :param address: its ``IP:PORT``.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram`.
        """
        self._send_ping(address, now)
        return self._outbox.take()

    def _begin_probe(self, now):
        self._periods += 1
        if self._periods % _LOST_MEMBER_PERIODS == 0:
            self._ping_lost_member(now)
            self._replica.forget_before(now - self._settings.remember_dead_s)
        member = self._prober.next_member(self._replica)
        if member is not None:
            sequence = self._send_ping(member.address, now, member.node)
            self._prober.begin(member, sequence, now)

    def _ping_lost_member(self, now):
        """Ping one member taken for dead, so that parted regions find each other again."""
        lost = [one for one in self._replica.members() if one.state == MemberState.DEAD]
        if lost:
            member = self._random.choice(lost)
            self._send_ping(member.address, now, member.node)

    def _probe_indirectly(self, now):
        probe = self._prober.ask_others(now)
        if probe is None:
            return
        request = PingRequestMessage(probe.sequence, self._own.node, probe.address)
        for member in self._sample(_INDIRECT_PROBES, exclude=probe.node):
            self._outbox.send(member.address, request, now)

    def _end_probe(self, now):
        node = self._prober.end()
        member = None if node is None else self._replica.member(node)
        if member is not None and member.state == MemberState.ALIVE and not self.is_isolated:
            self._take_member(member._replace(state=MemberState.SUSPECT), now)

    def _expire_suspects(self, now):
        if not self._suspected_at or self.is_isolated:
            return
        wait = self._prober.suspicion_seconds(self._replica.member_count)
        for node, since in list(self._suspected_at.items()):
            if now - since < wait:
                continue
            del self._suspected_at[node]
            member = self._replica.member(node)
            if member is not None and member.state == MemberState.SUSPECT:
                self._take_member(member._replace(state=MemberState.DEAD), now)

    def _answer_ping(self, message, address, now):
        def make(members, entries):
            members = self._record_unless_alive(message.sender) + members
            return AckMessage(message.sequence, self._own.node, members, entries)

        self._outbox.send_with_changes(address, make, now)
        self._repair(message, address, now)

    def _repair(self, message, address, now):
        """Send what is held of the first bucket that differs, in one datagram."""
        for offset, digest in enumerate(message.digests):
            bucket = (message.first_bucket + offset) % BUCKETS
            if digest == self._replica.digest(bucket):
                continue
            keys = self._replica.bucket_keys(bucket)
            if keys and self._outbox.has_room(1, now):
                self._random.shuffle(keys)
                self._outbox.send_items(address, keys, now)
            return

    def _take_ack(self, message, now):
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            sequence, address = relay
            self._outbox.send(address, AckMessage(sequence, message.sender, (), ()), now)
        self._prober.answered(message.sequence)

    def _relay_ping(self, message, address, now):
        sequence = self._send_ping(message.address, now)
        self._relays[sequence] = (message.sequence, address)
        if len(self._relays) > _MAX_RELAYS:
            self._relays.popitem(last=False)

    def _take_changes(self, members, entries, now, spread=True):
        for data in members:
            self._take_member(unpack_member(data), now, spread)
        for data in entries:
            self._take_entry(unpack_entry(data), now, spread)

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
            self._outbox.spread(key)
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
                self._superseded = True
                return
            self._own = self._own._replace(generation=member.generation + 1, revision=0)
        else:
            self._own = self._own._replace(revision=member.revision + 1)
        self._take_member(self._own, now)

    def _take_entry(self, entry, now, spread=True):
        key = self._replica.merge_entry(entry, now)
        if key is None:
            return
        self._on_entry(entry)
        if spread:
            self._outbox.spread(key)
            self._push(now)

    def _push(self, now):
        """Pass a change on at once; the next pings bring it to those it misses."""
        if not self._outbox.has_room(_PUSH_FANOUT, now):
            return
        for member in self._sample(_PUSH_FANOUT):
            self._outbox.send_with_changes(
                member.address,
                lambda members, entries: DeltaMessage(self._own.node, members, entries),
                now,
            )

    def _sample(self, count, exclude=None):
        others = [one for one in self.members() if one.node not in (self._own.node, exclude)]
        return self._random.sample(others, min(count, len(others)))

    def _send_ping(self, address, now, node=None):
        self._sequence += 1
        sequence, first = self._sequence, self._bucket
        self._bucket = (first + _DIGESTS_PER_PING) % BUCKETS
        buckets = ((first + offset) % BUCKETS for offset in range(_DIGESTS_PER_PING))
        digests = tuple(self._replica.digest(bucket) for bucket in buckets)

        def make(members, entries):
            if node is not None:
                members = self._record_unless_alive(node) + members
            return PingMessage(sequence, self._own.node, first, digests, members, entries)

        self._outbox.send_with_changes(address, make, now, _DIGESTS_PER_PING * _DIGEST_BYTES)
        return sequence

    def _record_unless_alive(self, node):
        """Give what the other side must hear to contradict that it is suspected or dead."""
        member = self._replica.member(node)
        if member is None or member.state == MemberState.ALIVE:
            return ()
        return (self._replica.packed(("m", node))[1],)
