"""Runs a call with a caller's idempotency key at most once.

A claim is a row of the table that is inserted, if there is none, before the call is dispatched;
only the node whose write took effect, the claim's owner, dispatches the call. Claims use neither
leases nor clocks, so a paused node can't rely on one that has expired. An open claim is taken over
only after its owner has reported, or written to the row, that its attempt is void permanently.
docs/design/at-most-once.md compares the alternatives and maps each transition to the model.
"""

from enum import Enum
from typing import NamedTuple

from returns.result import Success

from .answers import AnswerCache
from .attempts import AttemptRegistry, AttemptState
from .calls import AttemptId, Response
from .claimactions import AskOwner, MarkClaim, ReadClaim, RunCall, Settle, Waiter, WriteClaim
from .claimrecords import ClaimRecord, OwnerReply, OwnerState, RecordState, unpack_record
from .claimrefusals import (
    OWNER_REFUSALS,
    refuse_contended,
    refuse_invariant_broken,
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
    """The call for one key at this node, from its first request to its outcome.

    This node's write replaces a row of version ``expected``, or inserts one if that is None, and
    gives it ``version``; ``found_version`` is the version of another attempt's open row.
    """

    def __init__(self, key, digest, waiter):
        self.key = key
        self.digest = digest
        self.waiters = [waiter]
        self.attempt = None
        self.phase = None
        self.expected = None
        self.version = None
        self.found_version = None
        self.may_be_written = False
        self.is_known_not_run = False
        self.takeovers = 0


class ClaimTracker:
    """Tracks the calls with callers' idempotency keys at this node.

    Each method that processes an event returns the actions that the node must carry out.
    """

    def __init__(self, settings, owner, next_attempt, random, invariants):
        """Create a tracker without claims.

        :param settings: the :class:`~camphorshelf_core.settings.ClaimSettings`.
        :param owner: a pair of this node's name and its address for peers.
        :param next_attempt: a function that returns a new attempt id of this node.
        :param random: a ``random.Random`` for the versions of rows.
        :param invariants: the node's :class:`~camphorshelf_core.invariants.Invariants`.
        """
        self._settings = settings
        self._owner = owner
        self._next_attempt = next_attempt
        self._random = random
        self._invariants = invariants
        self._registry = AttemptRegistry()
        self._answers = AnswerCache(settings)
        self._claims = {}

    @property
    def open_claims(self):
        """The number of calls in progress."""
        return len(self._claims)

    def is_open(self, key):
        """Check whether the call for a key is in progress at this node.

        :param key: the claim's key.
        :return: True or False.
        """
        return key in self._claims

    def is_running(self, key):
        """Check whether the call for a key was dispatched and has no result yet.

        :param key: the claim's key.
        :return: True or False.
        """
        return self.is_open(key) and self._claims[key].phase is _Phase.RUNNING

    @property
    def answers(self):
        """The :class:`AnswerCache` of finished calls."""
        return self._answers

    def submit(self, key, digest, waiter, now):
        """Process a caller's request.

        :param key: the :class:`ClaimKey` of the request.
        :param digest: the digest of the request.
        :param waiter: the :class:`Waiter`.
        :param now: seconds on the monotonic clock.
        :return: a list of actions.
        """
        claim = self._claims.get(key)
        cached = self._answers.find(key, now) if claim is None else None
        existing = claim or cached
        if existing is not None and existing.digest != digest:
            return [Settle(waiter.token, refuse_key_reused())]
        if cached is not None:
            return [Settle(waiter.token, cached.result, is_replay=True)]
        if claim is not None:
            claim.waiters.append(waiter)
            # An earlier check that the key had not run may be outdated for this waiter.
            claim.is_known_not_run = False
            return []
        claim = self._claims[key] = _Claim(key, digest, waiter)
        return self._write(claim, None)

    def on_written(self, key, attempt, written):
        """Process the outcome of a :class:`WriteClaim`.

        :param key: the claim's key.
        :param attempt: the attempt named in the row.
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
            # The answer was lost, but the write may have taken effect. Without reading the row
            # back, the call would be refused while the row names a node that won't run it.
            claim.may_be_written = True
            return self._read(claim)
        claim.is_known_not_run = False
        if written.row is None:
            return self._read(claim)
        return self._handle_existing_row(claim, written.row)

    def on_read(self, key, attempt, result):
        """Process the outcome of a :class:`ReadClaim`.

        :param key: the claim's key.
        :param attempt: the attempt for which the row was read.
        :param result: ``Success`` with a row or None, or ``Failure``.
        :return: a list of actions.
        """
        claim = self._find(key, attempt, _Phase.READING)
        if claim is None:
            return []
        if not isinstance(result, Success):
            return self._give_up(claim)
        row = result.unwrap()
        # There is no row, or still the void one that the write should replace: no earlier request
        # with this key has run so far. The write may still take effect later.
        if row is None or row.version == claim.expected:
            claim.is_known_not_run = True
            return self._give_up(claim)
        return self._handle_existing_row(claim, row)

    def on_owner(self, key, attempt, reply):
        """Process the owner's reply to an :class:`AskOwner`.

        :param key: the claim's key.
        :param attempt: this node's attempt for which the owner was asked.
        :param reply: the :class:`OwnerReply`.
        :return: a list of actions.
        """
        claim = self._find(key, attempt, _Phase.ASKING)
        return [] if claim is None else self._apply_owner_reply(claim, reply)

    def on_result(self, key, attempt, result, now):
        """Process the result of a dispatched call.

        :param key: the claim's key.
        :param attempt: the attempt that was dispatched.
        :param result: the response or refusal.
        :param now: seconds on the monotonic clock.
        :return: a list of actions.
        """
        claim = self._find(key, attempt, _Phase.RUNNING)
        if claim is None:
            return []
        del self._claims[key]
        state = _final_state(result)
        if state is RecordState.VOIDED:
            self._registry.mark_voided(attempt)
        else:
            self._answers.store(key, attempt, claim.digest, result, now)
        record = self._make_record(claim)._replace(
            state=state, answer=self._storable_answer(result)
        )
        mark = MarkClaim(key, record, claim.version, self._random_version())
        return [*self._settle(claim, result, now), mark]

    def remove_waiter(self, key, token):
        """Remove a waiter that has given up.

        A call that has no waiters left and was not dispatched yet is voided.

        :param key: the claim's key.
        :param token: the waiter's token.
        :return: a list of actions.
        """
        claim = self._claims.get(key)
        if claim is None:
            return []
        claim.waiters = [waiter for waiter in claim.waiters if waiter.token != token]
        if claim.waiters or claim.phase is _Phase.RUNNING:
            return []
        return self._give_up(claim)

    def query_attempt(self, key, attempt, token, now):
        """Answer a peer that found a claim of this node in the table.

        :param key: the claim's key.
        :param attempt: the attempt named in the claim.
        :param token: the peer's token, used only if the call is still in progress.
        :param now: seconds on the monotonic clock.
        :return: the :class:`OwnerReply`, or None if the peer now waits for a :class:`Settle`.
        """
        claim = self._claims.get(key)
        if claim is not None and claim.attempt == attempt and claim.phase is not _Phase.ASKING:
            claim.waiters.append(Waiter(_PeerToken(token, attempt)))
            return None
        return self._owner_reply(key, attempt, now)

    def cancel_query(self, key, attempt, token):
        """Remove a peer that has stopped waiting for the reply to its query.

        :param key: the claim's key.
        :param attempt: the attempt that the peer asked about.
        :param token: the peer's token.
        :return: a list of actions.
        """
        return self.remove_waiter(key, _PeerToken(token, attempt))

    def next_mark(self, mark, written):
        """Decide whether a :class:`MarkClaim` must be repeated after an attempt to write it.

        :param mark: the :class:`MarkClaim`.
        :param written: the :class:`~camphorshelf_core.table.WriteResult`.
        :return: the :class:`MarkClaim` to write later, or None if there is nothing left to do.
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

    def _random_version(self):
        # Versions are random rather than sequential: a row that expired and was inserted again must
        # not get the version that a slow node still expects.
        return self._random.getrandbits(53)

    def _make_record(self, claim):
        return ClaimRecord(claim.attempt, *self._owner, claim.digest)

    def _write(self, claim, expected):
        claim.attempt = self._next_attempt()
        claim.phase = _Phase.WRITING
        claim.expected = expected
        claim.version = self._random_version()
        claim.may_be_written = False
        return [WriteClaim(claim.key, self._make_record(claim), expected, claim.version)]

    def _read(self, claim):
        claim.phase = _Phase.READING
        return [ReadClaim(claim.key, claim.attempt)]

    def _run(self, claim):
        if not self._invariants.holds("attempt_starts_once", self._registry.start(claim.attempt)):
            return self._settle_without_running(claim, refuse_invariant_broken())
        claim.phase = _Phase.RUNNING
        return [RunCall(claim.key, claim.attempt)]

    def _handle_existing_row(self, claim, row):
        """Decide the next actions by an existing row, which may be from this claim's own write."""
        record = unpack_record(row.data)
        if record.attempt == claim.attempt and record.state is RecordState.OPEN:
            return self._run(claim)
        self._registry.void(claim.attempt)
        if record.digest != claim.digest:
            return self._settle_without_running(claim, refuse_key_reused())
        if record.state is RecordState.FINISHED:
            return self._settle_as_replay(claim, record.answer or refuse_not_kept())
        if record.state is RecordState.UNKNOWN:
            return self._settle_as_replay(claim, refuse_outcome_lost())
        if record.state is RecordState.VOIDED:
            return self._take_over(claim, row.version)
        claim.found_version = row.version
        if record.attempt.incarnation == claim.attempt.incarnation:
            return self._apply_owner_reply(claim, self._registry_reply(record.attempt))
        claim.phase = _Phase.ASKING
        return [AskOwner(claim.key, claim.attempt, record)]

    def _registry_reply(self, attempt):
        is_void = self._registry.state(attempt) is AttemptState.VOIDED
        return OwnerReply(OwnerState.VOIDED if is_void else OwnerState.FORGOTTEN)

    def _owner_reply(self, key, attempt, now):
        cached = self._answers.find(key, now)
        if cached is not None and cached.attempt == attempt:
            return OwnerReply(OwnerState.FINISHED, cached.result)
        return self._registry_reply(attempt)

    def _apply_owner_reply(self, claim, reply):
        if reply.state is OwnerState.FINISHED:
            return self._settle_as_replay(claim, reply.result)
        if reply.state is OwnerState.VOIDED:
            return self._take_over(claim, claim.found_version)
        return self._settle_without_running(claim, OWNER_REFUSALS[reply.state])

    def _take_over(self, claim, version):
        claim.takeovers += 1
        if claim.takeovers > _MAX_TAKEOVERS:
            return self._settle_without_running(claim, refuse_contended())
        claim.is_known_not_run = True
        return self._write(claim, version)

    def _give_up(self, claim):
        """Void the attempt of a call whose claim is not held, then refuse the call."""
        if not self._invariants.holds("void_before_refusal", self._registry.void(claim.attempt)):
            return self._settle_without_running(claim, refuse_invariant_broken())
        actions = []
        if claim.may_be_written:
            record = self._make_record(claim)._replace(state=RecordState.VOIDED)
            mark = MarkClaim(claim.key, record, claim.expected, self._random_version())
            actions.append(mark)
        return self._settle_without_running(claim, None) + actions

    def _settle_without_running(self, claim, result):
        del self._claims[claim.key]
        return [self._settle_waiter(claim, waiter, result) for waiter in claim.waiters]

    def _settle_waiter(self, claim, waiter, result):
        if isinstance(waiter.token, _PeerToken):
            return Settle(waiter.token.token, self._registry_reply(waiter.token.attempt))
        result = result or refuse_unavailable(claim.is_known_not_run or waiter.is_first)
        return Settle(waiter.token, result)

    def _settle_as_replay(self, claim, result):
        return [
            settle if isinstance(settle.result, OwnerReply) else settle._replace(is_replay=True)
            for settle in self._settle_without_running(claim, result)
        ]

    def _settle(self, claim, result, now):
        return [
            (
                Settle(waiter.token.token, self._owner_reply(claim.key, waiter.token.attempt, now))
                if isinstance(waiter.token, _PeerToken)
                else Settle(waiter.token, result)
            )
            for waiter in claim.waiters
        ]

    def _storable_answer(self, result):
        if not isinstance(result, Response):
            return None
        size = len(result.body) + sum(len(name) + len(value) for name, value in result.headers)
        return result if size <= self._settings.table_answer_bytes else None


class _PeerToken(NamedTuple):
    """The token of a peer that asks about an attempt; it gets the state and not the answer."""

    token: object
    attempt: AttemptId


def _final_state(result):
    if isinstance(result, Response) or result.ran is Ran.RAN:
        return RecordState.FINISHED
    return RecordState.VOIDED if result.ran is Ran.NOT_RUN else RecordState.UNKNOWN
