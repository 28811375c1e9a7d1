"""Brings a starting node into the system: its own row, some contacts, one peer's snapshot."""

import random

from camphorshelf_core.errors import ProtocolError
from camphorshelf_core.messages import SnapshotMessage, SnapshotRequestMessage
from camphorshelf_core.roster import pack_member, unpack_member
from camphorshelf_core.settings import split_address

from .links import PeerLink

PARTITION = "roster"
_CONTACT_ROWS = 16
_SNAPSHOT_SECONDS = 2.0
_INTRODUCTIONS = 3
_FIRST_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 30.0
_MIN_POLL_SECONDS = 10.0
_POLLS_PER_SECOND = 1.0


class Join:
    """Finds peers at the start and looks again now and then.

    A table read of all members by every starting node would be members squared: 470 restarts
    at 2,100 members are a million rows. So a node reads at most 16 rows from a random place on
    and takes the rest from one peer.
    """

    def __init__(self, loop, settings, gossip, platform, log):
        self._loop = loop
        self._settings = settings
        self._gossip = gossip
        self._platform = platform
        self._log = log
        self._random = random.Random(gossip.membership.own.incarnation)
        self._retry_seconds = _FIRST_RETRY_SECONDS
        self._joined = False

    @property
    def is_joined(self):
        """Whether a peer's snapshot was taken in, or there is no other node."""
        return self._joined

    def start(self):
        """Look for peers until one is found, and from then on now and then.

        :return: None.
        """
        self.write_row()
        self._look()
        self._plan_poll()

    def write_row(self):
        """Write this node's row, so that starting nodes find it.

        :return: None.
        """
        own = self._gossip.membership.own
        self._platform.put(PARTITION, own.node, pack_member(own), self._on_written)

    def answer_snapshot(self, message, reply):
        """Give a starting node all that this one holds.

        :param message: its :class:`SnapshotRequestMessage`.
        :param reply: takes the answer.
        :return: None.
        """
        reply(self._gossip.membership.make_snapshot(message.call_id))

    def _on_written(self, outcome):
        if outcome is None:
            self._loop.call_later(self._next_retry(), self.write_row)

    def _next_retry(self):
        # All nodes lose the platform at the same moment; without the spread they would all
        # come back to it at the same moment too.
        self._retry_seconds = min(_MAX_RETRY_SECONDS, self._retry_seconds * 2)
        return self._retry_seconds * self._random.uniform(0.5, 1.5)

    def _look(self):
        if not self._joined:
            self._query(self._on_rows)

    def _query(self, on_rows):
        start_after = f"{self._random.getrandbits(32):08x}"
        self._platform.query(PARTITION, on_rows, limit=_CONTACT_ROWS, start_after=start_after)

    def _on_rows(self, rows):
        own = self._settings.listen.peers
        addresses = {row.address for row in _read_rows(rows)}
        addresses.update(self._settings.roster.contacts)
        addresses.discard(own)
        if rows is not None and not addresses:
            self._finish("no other node is known")
            return
        contacts = sorted(addresses)
        self._random.shuffle(contacts)
        self._try(contacts)

    def _try(self, contacts):
        if not contacts:
            self._loop.call_later(self._next_retry(), self._look)
            return
        _SnapshotQuestion(
            self._loop, contacts[0], self._on_snapshot, lambda: self._try(contacts[1:])
        )
        for address in contacts[:_INTRODUCTIONS]:
            self._gossip.ping_address(address)

    def _on_snapshot(self, snapshot, address):
        self._gossip.load_snapshot(snapshot)
        self._finish(f"took {len(snapshot.members)} members from {address}")

    def _finish(self, reason):
        self._joined = True
        self._log.info(f"joined: {reason}")

    def _plan_poll(self):
        members = self._gossip.membership.replica.member_count
        wait = max(_MIN_POLL_SECONDS, members / _POLLS_PER_SECOND)
        self._loop.call_later(wait * self._random.uniform(0.5, 1.5), self._poll)

    def _poll(self):
        """Read a few rows, so that two groups that started apart find each other.

        The wait grows with the members, so the whole system reads at most one such page a
        second, whatever its size.
        """
        self._plan_poll()
        self._query(self._ping_unknown)

    def _ping_unknown(self, rows):
        replica = self._gossip.membership.replica
        for row in _read_rows(rows):
            member = replica.member(row.node)
            if member is None or not member.in_use:
                self._gossip.ping_address(row.address)


def _read_rows(rows):
    """Read the rows that are members' records; one that is not must not keep a node down."""
    for data in (rows or {}).values():
        try:
            yield unpack_member(data)
        except ProtocolError:
            continue


class _SnapshotQuestion:
    def __init__(self, loop, address, on_snapshot, on_failure):
        self._address = address
        self._on_snapshot = on_snapshot
        self._on_failure = on_failure
        self._timer = loop.call_later(_SNAPSHOT_SECONDS, self._give_up)
        self._link = PeerLink(loop, split_address(address))
        self._link.call(SnapshotRequestMessage(0), self._on_answer)

    def _give_up(self):
        self._link.close()

    def _on_answer(self, answer):
        self._timer.cancel()
        if isinstance(answer, SnapshotMessage):
            self._on_snapshot(answer, self._address)
            self._link.close()
        else:
            self._on_failure()
