"""A SWIM-style membership protocol: detects failed members and spreads changes by gossip.

Each period a node pings one other member. A member that doesn't answer is pinged through three
others, then suspected, and declared dead if it doesn't refute the suspicion in time. A node's cost
doesn't depend on the number of members, and a byte budget limits what it sends.
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
# One dead member is pinged every this many periods.
_DEAD_PING_PERIODS = 10
_MAX_RELAYED_PINGS = 64
# Until this long after its start, a process refutes even a record of a greater generation.
_STARTUP_SECONDS = 30.0


class Membership:
    """One node's view of all members; returns the datagrams to send and does no I/O.

    :param own: the node's own :class:`Member`.
    :param settings: the :class:`RosterSettings`.
    :param random: a ``random.Random``.
    :param now: seconds on the monotonic clock.
    :param on_member: called with the old record (or None) and the new one when one changes.
    :param on_entry: called with each :class:`Entry` that is newer than the one held.
    """

    def __init__(self, own, settings: RosterSettings, random, now, on_member, on_entry):
        self._settings = settings
        self._random = random
        self._on_member = on_member
        self._on_entry = on_entry
        self._replica = Replica()
        self._outbox = Outbox(own.node, settings, self._replica, now)
        self._prober = Prober(own.node, settings, random)
        self._started_at = now
        self._sequence = 0
        self._next_period_at = now
        self._suspected_at = {}
        # For each ping sent on behalf of another member: the member's own sequence number and
        # address, by the sequence number of the ping.
        self._relayed_pings = OrderedDict()
        self._periods = 0
        self._next_bucket = 0
        self._own = own
        self._superseded = False
        self._merge_member(own, now)

    @property
    def own(self):
        """This node's own record."""
        return self._own

    @property
    def replica(self):
        """This node's copy of all members and entries."""
        return self._replica

    @property
    def is_isolated(self):
        """Whether this node seems to be cut off from most other members."""
        return self._prober.is_isolated

    @property
    def superseded(self):
        """Whether a newer process uses this node's name."""
        return self._superseded

    @property
    def dropped_datagrams(self):
        """How many datagrams were not sent because the byte budget was spent."""
        return self._outbox.dropped

    def members(self):
        """List the members in use, this node among them.

        :return: a list of :class:`Member`.
        """
        return [member for member in self._replica.members() if member.in_use]

    def tick(self, now):
        """Run the timers that are due; to be called several times a period.

        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram` to send.
        """
        if now >= self._next_period_at:
            self._next_period_at = now + self._settings.period_ms / 1000
            self._end_probe(now)
            self._begin_probe(now)
        else:
            self._probe_indirectly(now)
        self._expire_suspects(now)
        return self._outbox.pop_datagrams()

    def receive(self, message, address, now):
        """Handle a received message.

        :param message: the decoded message.
        :param address: the ``IP:PORT`` it came from.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram` to send.
        """
        if isinstance(message, (PingMessage, AckMessage, DeltaMessage)):
            self._merge_changes(message.members, message.entries, now)
        if isinstance(message, PingMessage):
            self._answer_ping(message, address, now)
        elif isinstance(message, AckMessage):
            self._handle_ack(message, now)
        elif isinstance(message, PingRequestMessage):
            self._relay_ping(message, address, now)
        return self._outbox.pop_datagrams()

    def publish(self, topic, key, version, value, now):
        """Spread an entry to all nodes.

        :param topic: the entry's topic.
        :param key: the entry's key within the topic.
        :param version: an integer; the greatest version wins everywhere.
        :param value: any value that CBOR can encode, below 800 bytes.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram` to send.
        """
        self._merge_entry(Entry(topic, key, version, value), now)
        return self._outbox.pop_datagrams()

    def change_own(self, now, **fields):
        """Change this node's own record and spread it.

        :param now: seconds on the monotonic clock.
        :param fields: the fields of :class:`Member` that change.
        :return: a list of :class:`Datagram` to send.
        """
        self._own = self._own._replace(revision=self._own.revision + 1, **fields)
        self._merge_member(self._own, now)
        self._push(now)
        return self._outbox.pop_datagrams()

    def leave(self, now):
        """Announce to the other members that this node stops.

        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram` to send.
        """
        return self.change_own(now, state=MemberState.LEFT)

    def make_snapshot(self, call_id):
        """Make a snapshot of all members and entries for a node that starts.

        :param call_id: the id of the request to answer.
        :return: a :class:`SnapshotMessage`.
        """
        packed = [self._replica.packed(key) for key in self._replica.keys()]
        members = tuple(data for kind, data in packed if kind == "m")
        entries = tuple(data for kind, data in packed if kind == "e")
        return SnapshotMessage(call_id, members, entries)

    def load_snapshot(self, snapshot, now):
        """Merge another node's snapshot without spreading its contents further.

        :param snapshot: the :class:`SnapshotMessage`.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram` to send.
        """
        self._merge_changes(snapshot.members, snapshot.entries, now, spread=False)
        return self._outbox.pop_datagrams()

    def ping_address(self, address, now):
        """Ping an address whose member is not known, such as a contact from the settings.

        :param address: the ``IP:PORT``.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Datagram` to send.
        """
        self._send_ping(address, now)
        return self._outbox.pop_datagrams()

    def _begin_probe(self, now):
        self._periods += 1
        if self._periods % _DEAD_PING_PERIODS == 0:
            self._ping_dead_member(now)
            self._replica.forget_before(now - self._settings.remember_dead_s)
        member = self._prober.next_member(self._replica)
        if member is not None:
            sequence = self._send_ping(member.address, now, member.node)
            self._prober.begin_probe(member, sequence, now)

    def _ping_dead_member(self, now):
        """Ping one dead member, so that the sides of a healed partition find each other again."""
        dead = [peer for peer in self._replica.members() if peer.state == MemberState.DEAD]
        if dead:
            member = self._random.choice(dead)
            self._send_ping(member.address, now, member.node)

    def _probe_indirectly(self, now):
        probe = self._prober.start_indirect_probe(now)
        if probe is None:
            return
        request = PingRequestMessage(probe.sequence, self._own.node, probe.address)
        for member in self._sample(_INDIRECT_PROBES, exclude=probe.node):
            self._outbox.send(member.address, request, now)

    def _end_probe(self, now):
        node = self._prober.end_probe()
        member = None if node is None else self._replica.member(node)
        if member is not None and member.state == MemberState.ALIVE and not self.is_isolated:
            self._merge_member(member._replace(state=MemberState.SUSPECT), now)

    def _expire_suspects(self, now):
        if not self._suspected_at or self.is_isolated:
            return
        timeout = self._prober.suspicion_seconds(self._replica.member_count)
        for node, since in list(self._suspected_at.items()):
            if now - since < timeout:
                continue
            del self._suspected_at[node]
            member = self._replica.member(node)
            if member is not None and member.state == MemberState.SUSPECT:
                self._merge_member(member._replace(state=MemberState.DEAD), now)

    def _answer_ping(self, message, address, now):
        def make_message(members, entries):
            members = self._pack_unless_alive(message.sender) + members
            return AckMessage(message.sequence, self._own.node, members, entries)

        self._outbox.send_with_changes(address, make_message, now)
        self._repair(message, address, now)

    def _repair(self, message, address, now):
        """Send the contents of the first bucket whose digest differs, in one datagram."""
        for offset, digest in enumerate(message.digests):
            bucket = (message.first_bucket + offset) % BUCKETS
            if digest == self._replica.digest(bucket):
                continue
            keys = self._replica.bucket_keys(bucket)
            if keys and self._outbox.has_room(1, now):
                self._random.shuffle(keys)
                self._outbox.send_items(address, keys, now)
            return

    def _handle_ack(self, message, now):
        relayed = self._relayed_pings.pop(message.sequence, None)
        if relayed is not None:
            sequence, address = relayed
            self._outbox.send(address, AckMessage(sequence, message.sender, (), ()), now)
        self._prober.record_ack(message.sequence)

    def _relay_ping(self, message, address, now):
        sequence = self._send_ping(message.address, now)
        self._relayed_pings[sequence] = (message.sequence, address)
        if len(self._relayed_pings) > _MAX_RELAYED_PINGS:
            self._relayed_pings.popitem(last=False)

    def _merge_changes(self, members, entries, now, spread=True):
        for data in members:
            self._merge_member(unpack_member(data), now, spread)
        for data in entries:
            self._merge_entry(unpack_entry(data), now, spread)

    def _merge_member(self, member, now, spread=True):
        if member.node == self._own.node and member != self._own:
            self._refute(member, now)
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
            self._outbox.queue_change(key)
        self._on_member(old, member)

    def _refute(self, member, now):
        """Refute a record of this node that the node did not make itself.

        Lost datagrams may cause others to suspect a node that is alive. Only a greater revision,
        which nobody but the node itself issues, revokes the suspicion.
        """
        if member.order < self._own.order:
            return
        if member.generation > self._own.generation:
            if now - self._started_at > _STARTUP_SECONDS:
                # A newer process uses this name: this one was frozen or cut off while its host
                # was replaced. If both kept refuting, calls would go to the two hosts in turn.
                self._superseded = True
                return
            self._own = self._own._replace(generation=member.generation + 1, revision=0)
        else:
            self._own = self._own._replace(revision=member.revision + 1)
        self._merge_member(self._own, now)

    def _merge_entry(self, entry, now, spread=True):
        key = self._replica.merge_entry(entry, now)
        if key is None:
            return
        self._on_entry(entry)
        if spread:
            self._outbox.queue_change(key)
            self._push(now)

    def _push(self, now):
        """Send queued changes to some members at once; later pings carry them to the others."""
        if not self._outbox.has_room(_PUSH_FANOUT, now):
            return
        for member in self._sample(_PUSH_FANOUT):
            self._outbox.send_with_changes(
                member.address,
                lambda members, entries: DeltaMessage(self._own.node, members, entries),
                now,
            )

    def _sample(self, count, exclude=None):
        others = [peer for peer in self.members() if peer.node not in (self._own.node, exclude)]
        return self._random.sample(others, min(count, len(others)))

    def _send_ping(self, address, now, node=None):
        self._sequence += 1
        sequence, first = self._sequence, self._next_bucket
        self._next_bucket = (first + _DIGESTS_PER_PING) % BUCKETS
        buckets = ((first + offset) % BUCKETS for offset in range(_DIGESTS_PER_PING))
        digests = tuple(self._replica.digest(bucket) for bucket in buckets)

        def make_message(members, entries):
            if node is not None:
                members = self._pack_unless_alive(node) + members
            return PingMessage(sequence, self._own.node, first, digests, members, entries)

        self._outbox.send_with_changes(
            address, make_message, now, _DIGESTS_PER_PING * _DIGEST_BYTES
        )
        return sequence

    def _pack_unless_alive(self, node):
        """Pack the record of a suspected or dead member, to be sent to it so that it can refute."""
        member = self._replica.member(node)
        if member is None or member.state == MemberState.ALIVE:
            return ()
        return (self._replica.packed(("m", node))[1],)
