"""Joins a starting node to the system: writes its row, finds contacts and loads a snapshot."""

import random

from returns.result import Success

from camphorshelf_core.errors import ProtocolError
from camphorshelf_core.join import (
    CONTACT_ROWS,
    is_stale,
    poll_seconds,
    random_row_key,
    retry_seconds,
    row_key,
)
from camphorshelf_core.messages import SnapshotMessage, SnapshotRequestMessage
from camphorshelf_core.roster import pack_member, unpack_member
from camphorshelf_core.settings import split_address

from .links import PeerLink

PARTITION = "roster"
_SNAPSHOT_TIMEOUT_SECONDS = 2.0
_MAX_PINGED_CONTACTS = 3


class Join:
    """Finds peers at startup, and reads a few rows from time to time afterwards.

    If every starting node read the rows of all members, the number of reads would be quadratic: 470
    restarts with 2,100 members read a million rows. So a node reads at most 16 rows, beginning at a
    random key, and gets all other members from one peer's snapshot.
    """

    def __init__(self, loop, settings, gossip, platform, log):
        self._loop = loop
        self._settings = settings
        self._gossip = gossip
        self._platform = platform
        self._log = log
        self._random = random.Random(gossip.membership.own.incarnation)
        self._failures = 0
        self._joined = False

    @property
    def is_joined(self):
        """Whether a peer's snapshot was loaded, or no other node exists."""
        return self._joined

    def start(self):
        """Write this node's row, look for a peer until one is found, and start to poll rows.

        :return: None.
        """
        self.write_row()
        self._find_contacts()
        self._schedule_poll()

    def write_row(self):
        """Write this node's row, by which starting nodes find it.

        :return: None.
        """
        own = self._gossip.membership.own
        self._platform.put(PARTITION, row_key(own.node), pack_member(own), self._on_written)

    def answer_snapshot(self, message, reply):
        """Answer a starting node with all members and entries that this node knows.

        :param message: the :class:`SnapshotRequestMessage`.
        :param reply: called with the :class:`SnapshotMessage`.
        :return: None.
        """
        reply(self._gossip.membership.make_snapshot(message.call_id))

    def _on_written(self, outcome):
        if outcome is None:
            self._loop.call_later(self._next_retry_delay(), self.write_row)

    def _next_retry_delay(self):
        self._failures += 1
        return retry_seconds(self._failures, self._random)

    def _find_contacts(self):
        if not self._joined:
            self._query_rows(self._on_rows)

    def _query_rows(self, on_rows):
        start_after = random_row_key(self._random)
        self._platform.query(PARTITION, on_rows, limit=CONTACT_ROWS, start_after=start_after)

    def _on_rows(self, rows):
        own_address = self._settings.listen.peers
        addresses = {row.address for row in _read_rows(rows)}
        addresses.update(self._settings.roster.contacts)
        addresses.discard(own_address)
        if rows is not None and not addresses:
            self._finish("no other node exists")
            return
        contacts = sorted(addresses)
        self._random.shuffle(contacts)
        self._request_snapshot(contacts)

    def _request_snapshot(self, contacts):
        if not contacts:
            self._loop.call_later(self._next_retry_delay(), self._find_contacts)
            return
        _SnapshotRequest(
            self._loop, contacts[0], self._on_snapshot, lambda: self._request_snapshot(contacts[1:])
        )
        for address in contacts[:_MAX_PINGED_CONTACTS]:
            self._gossip.ping_address(address)

    def _on_snapshot(self, snapshot, address):
        self._gossip.load_snapshot(snapshot)
        self._finish(f"loaded {len(snapshot.members)} members from {address}")

    def _finish(self, reason):
        self._joined = True
        self._log.info(f"joined: {reason}")

    def _schedule_poll(self):
        members = self._gossip.membership.replica.member_count
        self._loop.call_later(poll_seconds(members, self._random), self._poll)

    def _poll(self):
        """Read some rows, so that groups of nodes that started separately find each other."""
        self._schedule_poll()
        self._query_rows(self._on_polled)
        key = row_key(self._gossip.membership.own.node)
        self._platform.get(PARTITION, key, self._on_own_row)

    def _on_polled(self, rows):
        replica = self._gossip.membership.replica
        for key, data in (rows or {}).items():
            row = _read_row(data)
            member = None if row is None else replica.member(row.node)
            if member is not None and is_stale(member, self._loop.now() - replica.changed_at(row)):
                # Replaced hosts get new names, and their old rows would accumulate until a starting
                # node finds only dead contacts. A row is deleted only if it is unchanged, in case
                # its host has just come back.
                self._platform.delete_if_same(PARTITION, key, data, lambda outcome: None)
            elif row is not None and (member is None or not member.in_use):
                self._gossip.ping_address(row.address)

    def _on_own_row(self, result):
        if isinstance(result, Success) and result.unwrap() is None:
            self.write_row()


def _read_rows(rows):
    decoded = (_read_row(data) for data in (rows or {}).values())
    return [row for row in decoded if row is not None]


def _read_row(data):
    """Decode a member's record; return None if it is invalid, so that the node still starts."""
    try:
        return unpack_member(data)
    except ProtocolError:
        return None


class _SnapshotRequest:
    def __init__(self, loop, address, on_snapshot, on_failure):
        self._address = address
        self._on_snapshot = on_snapshot
        self._on_failure = on_failure
        self._timer = loop.call_later(_SNAPSHOT_TIMEOUT_SECONDS, self._on_timeout)
        self._link = PeerLink(loop, split_address(address))
        self._link.call(SnapshotRequestMessage(0), self._on_answer)

    def _on_timeout(self):
        self._link.close()

    def _on_answer(self, answer):
        self._timer.cancel()
        if isinstance(answer, SnapshotMessage):
            self._on_snapshot(answer, self._address)
            self._link.close()
        else:
            self._on_failure()
