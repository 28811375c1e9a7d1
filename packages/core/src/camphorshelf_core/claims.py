"""Runs a call under a caller's key at most once: the claim in the table and its owner's record.

A claim is a row inserted if absent before the call is dispatched; only the node whose write took
effect dispatches. No lease and no clock guard it, so a paused node has nothing to believe in
wrongly: an open claim is never taken over, only one whose owner has said, or written, that its
attempt is void for ever. docs/design/at-most-once.md weighs the alternatives and maps each
transition to the model.
"""

from enum import Enum
from typing import NamedTuple

from returns.result import Success

from .answers import AnswerMemory
from .attempts import AttemptLedger, AttemptState
from .calls import AttemptId, Response
from .claimactions import AskOwner, MarkClaim, ReadClaim, RunCall, Settle, Waiter, WriteClaim
from .claimrecords import ClaimRecord, OwnerReply, OwnerState, RecordState, unpack_record
from .claimrefusals import (
    OWNER_REFUSALS,
    refuse_broken,
    refuse_contended,
    refuse_key_reused,
    refuse_not_kept,
    refuse_outcome_lost,
    refuse_unavailable,
)
from .errors import Ran
from .table import WriteOutcome

_MAX_TAKEOVERS = 3


class _Phase(Enum):
    WRITING = "writing"
    READING = "reading"
    ASKING = "asking"
    RUNNING = "running"


class _Claim:
    """One key's call at this node, from its first request to its outcome."""

    def __init__(self, key, digest, waiter):
        self.key = key
        self.digest = digest
        self.waiters = [waiter]
        self.attempt = None
        self.phase = None
        self.expected = None
        self.version = None
        self.met_version = None
        self.may_be_written = False
        self.is_proven = False
        self.takeovers = 0


class ClaimBook:
    """The calls under callers' keys that this node owns or pursues.

    Each method takes one event and returns the actions that follow from it.
    """

    def __init__(self, settings, owner, next_attempt, random, invariants):
        """Start empty.

        :param settings: the :class:`~camphorshelf_core.settings.ClaimSettings`.
        :param owner: the pair of this node's name and its address for peers.
        :param next_attempt: names a new attempt of this node at each call.
        :param random: a ``random.Random`` for the rows' versions.
        :param invariants: the node's :class:`~camphorshelf_core.invariants.Invariants`.
        """
        self._settings = settings
        self._owner = owner
        self._next_attempt = next_attempt
        self._random = random
        self._invariants = invariants
        self._ledger = AttemptLedger()
        self._answers = AnswerMemory(settings)
        self._claims = {}

    @property
    def open_claims(self):
        """How many calls are under way."""
        return len(self._claims)

    def is_open(self, key):
        """Tell whether a key's call is under way here.

        :param key: the claim's key.
        :return: True or False.
        """
        return key in self._claims

    def is_running(self, key):
        """Tell whether a key's call was dispatched and has no result yet.

        :param key: the claim's key.
        :return: True or False.
        """
        return self.is_open(key) and self._claims[key].phase is _Phase.RUNNING

    @property
    def answers(self):
        """The memory of finished calls."""
        return self._answers

    def submit(self, key, digest, waiter, now):
        """Take a caller's request.

        :param key: its :class:`ClaimKey`.
        :param digest: the digest of the request.
        :param waiter: the :class:`Waiter`.
        :param now: seconds on the monotonic clock.
        :return: a list of actions.
        """
        claim = self._claims.get(key)
        kept = self._answers.find(key, now) if claim is None else None
        known = claim or kept
        if known is not None and known.digest != digest:
            return [Settle(waiter.token, refuse_key_reused())]
        if kept is not None:
            return [Settle(waiter.token, kept.result, is_replay=True)]
        if claim is not None:
            claim.waiters.append(waiter)
            # What was learnt before this waiter came proves nothing at its time.
            claim.is_proven = False
            return []
        claim = self._claims[key] = _Claim(key, digest, waiter)
        return self._write(claim, None)

    def on_written(self, key, attempt, written):
        """Take the outcome of a :class:`WriteClaim`.

        :param key: the claim's key.
        :param attempt: the attempt that the row named.
        :param written: the :class:`~camphorshelf_core.table.WriteResult`.
        :return: a list of actions.
        """
        claim = self._find(key, attempt, _Phase.WRITING)
        if claim is None:
            return []
        if written.outcome is WriteOutcome.APPLIED:
            return self._run(claim)
        if written.outcome is WriteOutcome.NOT_APPLIED:
            return self._give_up(claim)
        if written.outcome is WriteOutcome.UNKNOWN:
            # The answer was lost, the write perhaps not. Without reading back, a claim that
            # took effect would be refused and its key left to a node that will not run it.
            claim.may_be_written = True
            return self._read(claim)
        claim.is_proven = False
        if written.row is None:
            return self._read(claim)
        return self._meet(claim, written.row)

    def on_read(self, key, attempt, result):
        """Take the outcome of a :class:`ReadClaim`.

        :param key: the claim's key.
        :param attempt: the attempt it was read for.
        :param result: ``Success`` of a row or None, or ``Failure``.
        :return: a list of actions.
        """
        claim = self._find(key, attempt, _Phase.READING)
        if claim is None:
            return []
        if not isinstance(result, Success):
            return self._give_up(claim)
        row = result.unwrap()
        # No row, or still the void one that the write was to replace: at this moment the key
        # had not run, whoever sent it before. The write may land later all the same.
        if row is None or row.version == claim.expected:
            claim.is_proven = True
            return self._give_up(claim)
        return self._meet(claim, row)

    def on_owner(self, key, attempt, reply):
        """Take what the owner said to an :class:`AskOwner`.

        :param key: the claim's key.
        :param attempt: the attempt it was asked for.
        :param reply: the :class:`OwnerReply`.
        :return: a list of actions.
        """
        claim = self._find(key, attempt, _Phase.ASKING)
        return [] if claim is None else self._heed(claim, reply)

    def on_result(self, key, attempt, result, now):
        """Take the result of a dispatched call.

        :param key: the claim's key.
        :param attempt: the attempt that was run.
        :param result: the response, or a refusal.
        :param now: seconds on the monotonic clock.
        :return: a list of actions.
        """
        claim = self._find(key, attempt, _Phase.RUNNING)
        if claim is None:
            return []
        del self._claims[key]
        state = _final_state(result)
        if state is RecordState.VOIDED:
            self._ledger.withdraw(attempt)
        else:
            self._answers.keep(key, attempt, claim.digest, result, now)
        record = self._record(claim)._replace(state=state, answer=self._small(result))
        mark = MarkClaim(key, record, claim.version, self._draw_version())
        return [*self._settle(claim, result, now), mark]

    def leave(self, key, token):
        """Let a waiter go that no longer waits.

        A call that was not dispatched yet and that nobody waits for is voided.

        :param key: the claim's key.
        :param token: the waiter's.
        :return: a list of actions.
        """
        claim = self._claims.get(key)
        if claim is None:
            return []
        claim.waiters = [waiter for waiter in claim.waiters if waiter.token != token]
        if claim.waiters or claim.phase is _Phase.RUNNING:
            return []
        return self._give_up(claim)

    def ask(self, key, attempt, token, now):
        """Answer a peer that met a claim of this node.

        :param key: the claim's key.
        :param attempt: the attempt that the claim names.
        :param token: the prober's, used only when the call is still under way.
        :param now: seconds on the monotonic clock.
        :return: the :class:`OwnerReply`, or None when the prober now waits for a ``Settle``.
        """
        claim = self._claims.get(key)
        if claim is not None and claim.attempt == attempt and claim.phase is not _Phase.ASKING:
            claim.waiters.append(Waiter(_PeerToken(token, attempt)))
            return None
        return self._word(key, attempt, now)

    def leave_ask(self, key, attempt, token):
        """Let a peer go that asked and no longer waits.

        :param key: the claim's key.
        :param attempt: the attempt it asked after.
        :param token: the prober's.
        :return: a list of actions.
        """
        return self.leave(key, _PeerToken(token, attempt))

    def next_mark(self, mark, written):
        """Decide what follows from a try to mark a claim.

        :param mark: the :class:`MarkClaim`.
        :param written: the :class:`~camphorshelf_core.table.WriteResult`.
        :return: the mark to try later, or None when there is nothing left to do.
        """
        if written.outcome is WriteOutcome.APPLIED:
            return None
        if written.outcome is not WriteOutcome.LOST:
            return mark
        if written.row is None:
            return None
        found = unpack_record(written.row.data)
        if found.attempt == mark.record.attempt:
            is_open = found.state is RecordState.OPEN
            return mark._replace(expected=written.row.version) if is_open else None
        ran = mark.record.state is not RecordState.VOIDED
        self._invariants.holds("claim_taken_over_after_it_ran", not ran)
        return None

    def _find(self, key, attempt, phase):
        claim = self._claims.get(key)
        is_current = claim is not None and claim.attempt == attempt and claim.phase is phase
        return claim if is_current else None

    def _draw_version(self):
        # Versions are drawn, not counted: a row that expired and was written anew must not
        # have the version that a slow node still wants to replace.
        return self._random.getrandbits(53)

    def _record(self, claim):
        return ClaimRecord(claim.attempt, *self._owner, claim.digest)

    def _write(self, claim, expected):
        claim.attempt = self._next_attempt()
        claim.phase = _Phase.WRITING
        claim.expected = expected
        claim.version = self._draw_version()
        claim.may_be_written = False
        return [WriteClaim(claim.key, self._record(claim), expected, claim.version)]

    def _read(self, claim):
        claim.phase = _Phase.READING
        return [ReadClaim(claim.key, claim.attempt)]

    def _run(self, claim):
        if not self._invariants.holds("attempt_starts_once", self._ledger.start(claim.attempt)):
            return self._refuse(claim, refuse_broken())
        claim.phase = _Phase.RUNNING
        return [RunCall(claim.key, claim.attempt)]

    def _meet(self, claim, row):
        """Go on from a row that stands in the way, which may be this claim's own."""
        record = unpack_record(row.data)
        if record.attempt == claim.attempt and record.state is RecordState.OPEN:
            return self._run(claim)
        self._ledger.void(claim.attempt)
        if record.digest != claim.digest:
            return self._refuse(claim, refuse_key_reused())
        if record.state is RecordState.FINISHED:
            return self._repeat(claim, record.answer or refuse_not_kept())
        if record.state is RecordState.UNKNOWN:
            return self._repeat(claim, refuse_outcome_lost())
        if record.state is RecordState.VOIDED:
            return self._take_over(claim, row.version)
        claim.met_version = row.version
        if record.attempt.incarnation == claim.attempt.incarnation:
            return self._heed(claim, self._own_word(record.attempt))
        claim.phase = _Phase.ASKING
        return [AskOwner(claim.key, claim.attempt, record)]

    def _own_word(self, attempt):
        is_void = self._ledger.state(attempt) is AttemptState.VOIDED
        return OwnerReply(OwnerState.VOIDED if is_void else OwnerState.FORGOTTEN)

    def _word(self, key, attempt, now):
        kept = self._answers.find(key, now)
        if kept is not None and kept.attempt == attempt:
            return OwnerReply(OwnerState.FINISHED, kept.result)
        return self._own_word(attempt)

    def _heed(self, claim, reply):
        if reply.state is OwnerState.FINISHED:
            return self._repeat(claim, reply.result)
        if reply.state is OwnerState.VOIDED:
            return self._take_over(claim, claim.met_version)
        return self._refuse(claim, OWNER_REFUSALS[reply.state])

    def _take_over(self, claim, version):
        claim.takeovers += 1
        if claim.takeovers > _MAX_TAKEOVERS:
            return self._refuse(claim, refuse_contended())
        claim.is_proven = True
        return self._write(claim, version)

    def _give_up(self, claim):
        """Refuse a call whose claim is not held; its attempt is void before anyone is told."""
        if not self._invariants.holds("void_before_refusal", self._ledger.void(claim.attempt)):
            return self._refuse(claim, refuse_broken())
        actions = []
        if claim.may_be_written:
            record = self._record(claim)._replace(state=RecordState.VOIDED)
            mark = MarkClaim(claim.key, record, claim.expected, self._draw_version())
            actions.append(mark)
        return self._refuse(claim, None) + actions

    def _refuse(self, claim, refusal):
        del self._claims[claim.key]
        return [self._refuse_one(claim, waiter, refusal) for waiter in claim.waiters]

    def _refuse_one(self, claim, waiter, refusal):
        if isinstance(waiter.token, _PeerToken):
            return Settle(waiter.token.token, self._own_word(waiter.token.attempt))
        result = refusal or refuse_unavailable(claim.is_proven or waiter.is_first)
        return Settle(waiter.token, result)

    def _repeat(self, claim, result):
        return [
            settle if isinstance(settle.result, OwnerReply) else settle._replace(is_replay=True)
            for settle in self._refuse(claim, result)
        ]

    def _settle(self, claim, result, now):
        return [
            (
                Settle(waiter.token.token, self._word(claim.key, waiter.token.attempt, now))
                if isinstance(waiter.token, _PeerToken)
                else Settle(waiter.token, result)
            )
            for waiter in claim.waiters
        ]

    def _small(self, result):
        if not isinstance(result, Response):
            return None
        size = len(result.body) + sum(len(name) + len(value) for name, value in result.headers)
        return result if size <= self._settings.table_answer_bytes else None


class _PeerToken(NamedTuple):
    """The token of a peer that asks after an attempt; it is told its state, not an answer."""

    token: object
    attempt: AttemptId


def _final_state(result):
    if isinstance(result, Response) or result.ran is Ran.RAN:
        return RecordState.FINISHED
    return RecordState.VOIDED if result.ran is Ran.NOT_RUN else RecordState.UNKNOWN
