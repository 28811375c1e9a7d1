"""Runs a call under a ticket at most once, without the platform's table and without a clock.

A ticket names one incarnation of one target's node. Only that process runs it and keeps the
record of it in its memory, so that there is nothing to agree on: where the process is gone the
outcome is unknown, and nobody else may run it. This is the path whose cost does not grow with
the system: no table write, one round trip to mint, none to check.
"""

import hashlib
from collections import OrderedDict
from enum import Enum
from hmac import compare_digest
from typing import NamedTuple

from .errors import Code, Ran, Refusal

PREFIX = "cst1"
_PROOF_BYTES = 8
_SEPARATOR = "."
_PARTS = 5
_MAX_NUMBER_DIGITS = 18
_FULL_RETRY_MS = 1_000


class Ticket(NamedTuple):
    """A ticket's parts; ``mac`` shows that its node minted it, for one service."""

    node: str
    incarnation: str
    number: int
    mac: str


class TicketStep(Enum):
    """What to do with a call under a ticket."""

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"


class TicketDecision(NamedTuple):
    """The step for a call, and the result when it is ``ANSWER``."""

    step: TicketStep
    result: object = None


class _State(Enum):
    UNUSED = "unused"
    RUNNING = "running"
    FINISHED = "finished"


class _Record:
    __slots__ = ("state", "digest", "result", "bytes", "changed_at")

    def __init__(self, now):
        self.state = _State.UNUSED
        self.digest = None
        self.result = None
        self.bytes = 0
        self.changed_at = now


class TicketStore:
    """The tickets that one process has minted, as many as it may remember.

    Numbers only grow, and a number that was minted but is not remembered never runs: whatever
    is forgotten, and when, costs a clear answer and not a second run. The clock decides only
    when an idle record may make room, so a wrong one does no harm either. A running call's
    record is never dropped, and when no record may go, nothing more is minted.
    """

    def __init__(self, settings, node, incarnation, secret, invariants):
        """Start empty.

        :param settings: the :class:`~camphorshelf_core.settings.ClaimSettings`.
        :param node: this node's name.
        :param incarnation: this process's own.
        :param secret: bytes that nobody else knows.
        :param invariants: the node's :class:`~camphorshelf_core.invariants.Invariants`.
        """
        self._settings = settings
        self._node = node
        self._incarnation = incarnation
        self._secret = secret
        self._invariants = invariants
        self._records = OrderedDict()
        self._minted = 0
        self._bytes = 0

    def __len__(self):
        return len(self._records)

    def mint(self, service, now):
        """Mint a ticket.

        :param service: the service that it is for.
        :param now: seconds on the monotonic clock.
        :return: the ticket as text, or a :class:`Refusal` when there is no room.
        """
        self._make_room(now)
        if len(self._records) >= self._settings.tickets:
            reason = "the target's node remembers as many tickets as it may"
            return Refusal(Code.TICKETS_FULL, reason, retry_after_ms=_FULL_RETRY_MS)
        self._minted += 1
        self._records[self._minted] = _Record(now)
        mac = self._prove(service, self._minted)
        return format_ticket(Ticket(self._node, self._incarnation, self._minted, mac))

    def begin(self, ticket, service, digest, now):
        """Decide about a call under a ticket; after ``RUN`` it counts as running.

        :param ticket: the :class:`Ticket`.
        :param service: the call's service.
        :param digest: the call's digest.
        :param now: seconds on the monotonic clock.
        :return: a :class:`TicketDecision`.
        """
        refusal = self._find_fault(ticket, service)
        if refusal is not None:
            return TicketDecision(TicketStep.ANSWER, refusal)
        record = self._records[ticket.number]
        if record.digest is not None and record.digest != digest:
            reason = "the ticket was used for a different request"
            return TicketDecision(TicketStep.ANSWER, Refusal(Code.KEY_REUSED, reason))
        if record.state is _State.FINISHED:
            return TicketDecision(TicketStep.ANSWER, record.result)
        if record.state is _State.RUNNING:
            return TicketDecision(TicketStep.WAIT)
        record.state = _State.RUNNING
        record.digest = digest
        self._touch(ticket.number, now)
        return TicketDecision(TicketStep.RUN)

    def finish(self, ticket, result, size, now):
        """Take a call's result; one that did not run leaves the ticket good for another try.

        :param ticket: the :class:`Ticket`.
        :param result: the response or refusal.
        :param size: the bytes that it takes.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        record = self._records.get(ticket.number)
        is_running = record is not None and record.state is _State.RUNNING
        if not self._invariants.holds("ticket_finishes_while_running", is_running):
            return
        if isinstance(result, Refusal) and result.ran is Ran.NOT_RUN:
            record.state = _State.UNUSED
        else:
            record.state = _State.FINISHED
            record.result = result
            record.bytes = size
            self._bytes += size
        self._touch(ticket.number, now)
        self._make_room(now)

    def _find_fault(self, ticket, service):
        if (ticket.node, ticket.incarnation) != (self._node, self._incarnation):
            reason = "the process that minted the ticket is gone; no other one runs it"
            return Refusal(Code.TICKET_NODE_GONE, reason, Ran.OUTCOME_UNKNOWN)
        mac = self._prove(service, ticket.number)
        if ticket.number > self._minted or not compare_digest(mac, ticket.mac):
            reason = "the ticket was not minted by this node for this service"
            return Refusal(Code.BAD_TICKET, reason)
        if ticket.number not in self._records:
            reason = "the ticket is too old to be remembered; it is not run again"
            return Refusal(Code.TICKET_FORGOTTEN, reason, Ran.OUTCOME_UNKNOWN)
        return None

    def _prove(self, service, number):
        text = f"{service}/{number}".encode()
        return hashlib.blake2b(text, key=self._secret, digest_size=_PROOF_BYTES).hexdigest()

    def _touch(self, number, now):
        self._records[number].changed_at = now
        self._records.move_to_end(number)

    def _make_room(self, now):
        """Drop the records longest unchanged, for as long as they are idle and old enough."""
        age = self._settings.ticket_age_ms / 1000
        left = self._bytes
        doomed = []
        for number, record in self._records.items():
            is_old = now - record.changed_at > age
            is_crowded = left > self._settings.kept_answer_bytes
            if not is_old and not is_crowded:
                break
            if record.state is _State.FINISHED or (is_old and record.state is _State.UNUSED):
                left -= record.bytes
                doomed.append(number)
        for number in doomed:
            del self._records[number]
        self._bytes = left


def format_ticket(ticket):
    """Write a ticket as text.

    :param ticket: the :class:`Ticket`.
    :return: the text, fit for the header ``Idempotency-Key``.
    """
    node, incarnation, number, mac = ticket
    return _SEPARATOR.join((PREFIX, node, incarnation, str(number), mac))


def parse_ticket(text):
    """Read a ticket.

    :param text: the value of ``Idempotency-Key``.
    :return: the :class:`Ticket`, or None when it is malformed.
    """
    parts = text.split(_SEPARATOR)
    if len(parts) != _PARTS or parts[0] != PREFIX:
        return None
    _, node, incarnation, number, mac = parts
    if not number.isdecimal() or len(number) > _MAX_NUMBER_DIGITS or not mac.isascii():
        return None
    return Ticket(node, incarnation, int(number), mac)


def is_ticket(text):
    """Tell a ticket from a caller's own key.

    :param text: the value of ``Idempotency-Key``.
    :return: True or False.
    """
    return text.startswith(PREFIX + _SEPARATOR)
