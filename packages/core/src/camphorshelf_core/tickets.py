"""Runs a call with a ticket at most once, without the platform's table and without a clock.

A ticket names one incarnation of one target's node. Only that process runs the call, and it keeps
the record in memory, so no agreement between nodes is needed: if the process is gone, the outcome
is unknown and no other process may run the call. The cost doesn't grow with the number of nodes:
no table write, one round trip to mint a ticket, none to check it.
"""

import hashlib
from collections import OrderedDict
from enum import Enum
from hmac import compare_digest
from typing import NamedTuple

from .errors import Code, Ran, Refusal

PREFIX = "cst1"
_MAC_BYTES = 8
_SEPARATOR = "."
_FIELD_COUNT = 5
_MAX_NUMBER_DIGITS = 18
_RETRY_AFTER_MS = 1_000


class Ticket(NamedTuple):
    """The fields of a ticket.

    ``mac`` is a message authentication code: it shows that the node minted the ticket, and for
    which service.
    """

    node: str
    incarnation: str
    number: int
    mac: str


class TicketStep(Enum):
    """What to do with a call that carries a ticket."""

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"


class TicketDecision(NamedTuple):
    """The step for a call, and its result if the step is ``ANSWER``."""

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
    """The tickets that one process has minted, within a limit.

    Ticket numbers only increase, and a call whose ticket has been minted but whose record has been
    dropped never runs: dropping a record may cost the caller its answer but never causes a second
    run. The clock only decides when an idle record may be dropped, so a wrong clock does no harm.
    The record of a running call is never dropped, and no tickets are minted while the store is
    full.
    """

    def __init__(self, settings, node, incarnation, secret, invariants):
        """Create an empty store.

        :param settings: the :class:`~camphorshelf_core.settings.ClaimSettings`.
        :param node: this node's name.
        :param incarnation: the incarnation of this process.
        :param secret: the key for the tickets' message authentication codes, in bytes.
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

        :param service: the service that the ticket is valid for.
        :param now: seconds on the monotonic clock.
        :return: the ticket as text, or a :class:`Refusal` if the store is full.
        """
        self._drop_old_records(now)
        if len(self._records) >= self._settings.tickets:
            reason = "the target's node remembers as many tickets as it may"
            return Refusal(Code.TICKETS_FULL, reason, retry_after_ms=_RETRY_AFTER_MS)
        self._minted += 1
        self._records[self._minted] = _Record(now)
        mac = self._compute_mac(service, self._minted)
        return format_ticket(Ticket(self._node, self._incarnation, self._minted, mac))

    def begin(self, ticket, service, digest, now):
        """Decide what to do with a call that carries a ticket.

        After ``RUN`` the call counts as running until :meth:`finish`.

        :param ticket: the :class:`Ticket`.
        :param service: the call's service.
        :param digest: the call's digest.
        :param now: seconds on the monotonic clock.
        :return: the :class:`TicketDecision`.
        """
        refusal = self._find_refusal(ticket, service)
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
        """Record a call's result; if the call did not run, its ticket can be used again.

        :param ticket: the :class:`Ticket`.
        :param result: the response or refusal.
        :param size: the size of the result in bytes.
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
        self._drop_old_records(now)

    def _find_refusal(self, ticket, service):
        if (ticket.node, ticket.incarnation) != (self._node, self._incarnation):
            reason = "the process that minted the ticket is gone; no other one runs it"
            return Refusal(Code.TICKET_NODE_GONE, reason, Ran.OUTCOME_UNKNOWN)
        mac = self._compute_mac(service, ticket.number)
        if ticket.number > self._minted or not compare_digest(mac, ticket.mac):
            reason = "the ticket was not minted by this node for this service"
            return Refusal(Code.BAD_TICKET, reason)
        if ticket.number not in self._records:
            reason = "the ticket is too old to be remembered; it is not run again"
            return Refusal(Code.TICKET_FORGOTTEN, reason, Ran.OUTCOME_UNKNOWN)
        return None

    def _compute_mac(self, service, number):
        text = f"{service}/{number}".encode()
        return hashlib.blake2b(text, key=self._secret, digest_size=_MAC_BYTES).hexdigest()

    def _touch(self, number, now):
        self._records[number].changed_at = now
        self._records.move_to_end(number)

    def _drop_old_records(self, now):
        """Drop records that exceed the limits on age and total size, least recently changed first.

        A record of an unused ticket is dropped only for its age; that of a running call never is.
        """
        max_age_s = self._settings.ticket_age_ms / 1000
        remaining_bytes = self._bytes
        dropped = []
        for number, record in self._records.items():
            is_old = now - record.changed_at > max_age_s
            is_over_limit = remaining_bytes > self._settings.kept_answer_bytes
            if not is_old and not is_over_limit:
                break
            if record.state is _State.FINISHED or (is_old and record.state is _State.UNUSED):
                remaining_bytes -= record.bytes
                dropped.append(number)
        for number in dropped:
            del self._records[number]
        self._bytes = remaining_bytes


def format_ticket(ticket):
    """Format a ticket as text.

    :param ticket: the :class:`Ticket`.
    :return: the text, which is valid as a value of the header ``Idempotency-Key``.
    """
    node, incarnation, number, mac = ticket
    return _SEPARATOR.join((PREFIX, node, incarnation, str(number), mac))


def parse_ticket(text):
    """Parse a ticket.

    :param text: the value of the header ``Idempotency-Key``.
    :return: the :class:`Ticket`, or None if it is malformed.
    """
    fields = text.split(_SEPARATOR)
    if len(fields) != _FIELD_COUNT or fields[0] != PREFIX:
        return None
    _, node, incarnation, number, mac = fields
    if not number.isdecimal() or len(number) > _MAX_NUMBER_DIGITS or not mac.isascii():
        return None
    return Ticket(node, incarnation, int(number), mac)


def is_ticket(text):
    """Check whether a key is a ticket rather than a caller's own key.

    :param text: the value of the header ``Idempotency-Key``.
    :return: True or False.
    """
    return text.startswith(PREFIX + _SEPARATOR)
