"""Real claim trackers with a fake clock, table, network and target, under loss and delay."""

from collections import Counter
from random import Random
from typing import NamedTuple

from returns.result import Failure, Success

from camphorshelf_core.calls import AttemptId, Response
from camphorshelf_core.claimactions import MarkClaim, RunCall, Settle
from camphorshelf_core.claimrecords import OwnerReply, OwnerState, pack_record
from camphorshelf_core.claims import ClaimTracker, Waiter
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.invariants import Invariants
from camphorshelf_core.settings import ClaimSettings
from camphorshelf_core.table import ReadFailure, Row, WriteOutcome, WriteResult

_SETTINGS = ClaimSettings(kept_answers=3, answer_age_ms=10_000)
_UNKNOWN = Refusal(Code.DEADLINE_EXCEEDED, "late", Ran.OUTCOME_UNKNOWN)
_NOT_RUN = Refusal(Code.QUEUE_FULL, "full", Ran.NOT_RUN)


class Sent(NamedTuple):
    """A caller's request, and how often the call with its key had run when it arrived."""

    key: object
    digest: bytes
    runs_at_arrival: int


class Process:
    """One process of a node, identified by its incarnation."""

    def __init__(self, world, name, incarnation, tracker_class):
        self.name = name
        self.incarnation = incarnation
        self.is_alive = True
        self.is_paused = False
        self._attempts = 0
        self.invariants = Invariants()
        self.tracker = tracker_class(
            _SETTINGS, (name, name), self._next_attempt, Random(incarnation), self.invariants
        )
        self._world = world

    @property
    def can_act(self):
        return self.is_alive and not self.is_paused

    def _next_attempt(self):
        self._attempts += 1
        return AttemptId(self.incarnation, self._attempts)


class Pending:
    """An action in progress: the process that issued it, and its progress."""

    def __init__(self, process, action):
        self.process = process
        self.action = action
        self.result = None
        self.is_answered = False
        self.is_queried = False


class World:
    """Three nodes, a table and a target; the test chooses the order of all steps."""

    def __init__(self, tracker_class=ClaimTracker):
        self._tracker_class = tracker_class
        self._started = 0
        self._sent = {}
        self._callers = {}
        self._ended = set()
        self.last_sent = None
        self.now = 0.0
        self.rows = {}
        self.pending = []
        self.runs = Counter()
        self.sent_keys = set()
        self.answers = {}
        self.refusals = Counter()
        self.processes = [self._start(name) for name in ("a", "b", "c")]

    def submit(self, index, key, digest, vouch):
        process = self.processes[index]
        if not process.can_act:
            return
        token = len(self._sent)
        self._sent[token] = Sent(key, digest, self.runs[key])
        waiter = Waiter(token, vouch and key not in self.sent_keys)
        self.sent_keys.add(key)
        self._callers.setdefault((process, key), set()).add(token)
        self._ended.discard((process, key))
        self.last_sent = index, token
        self._carry_out(process, process.tracker.submit(key, digest, waiter, self.now))

    def leave(self, index, token):
        process = self.processes[index]
        if process.can_act and token in self._sent:
            key = self._sent[token].key
            self._carry_out(process, process.tracker.remove_waiter(key, token))
            if token in self._callers.get((process, key), ()) and not process.tracker.is_open(key):
                # Here the node reports NOT_RUN to a caller that has declared a first attempt.
                self._ended.add((process, key))

    def kill(self, index):
        old = self.processes[index]
        old.is_alive = False
        self.processes[index] = self._start(old.name)

    def pause(self, index):
        process = self.processes[index]
        process.is_paused = not process.is_paused

    def advance(self, steps):
        """Let the newest pending action succeed, repeated for a number of steps."""
        for _ in range(steps):
            if not self.pending:
                return
            newest = self.pending[-1]
            self.step(newest, "apply")
            self.step(newest, "answer")

    def step(self, pending, choice):
        """Advance one pending action: apply, answer, lose or drop it."""
        steps = {
            "WriteClaim": self._step_write,
            "MarkClaim": self._step_write,
            "ReadClaim": self._step_read,
            "AskOwner": self._step_query,
            "RunCall": self._step_run,
        }
        steps[type(pending.action).__name__](pending, choice)

    def check(self):
        repeated = {key: count for key, count in self.runs.items() if count > 1}
        assert not repeated, f"ran more than once: {repeated}"
        for process in self.processes:
            assert not process.invariants.broken, process.invariants.broken

    def _start(self, name):
        self._started += 1
        return Process(self, name, f"{name}{self._started}", self._tracker_class)

    def _carry_out(self, process, actions):
        for action in actions:
            if isinstance(action, Settle):
                self._settle(process, action)
                continue
            if isinstance(action, RunCall):
                self._check_wanted(process, action)
            self.pending.append(Pending(process, action))

    def _check_wanted(self, process, action):
        is_refused = (process, action.key) in self._ended
        assert not is_refused, f"dispatched after all callers were told NOT_RUN: {action}"

    def _settle(self, process, action):
        if isinstance(action.token, Pending):
            if not action.token.is_answered:
                self._answer_query(action.token, action.result)
            return
        self._callers[process, self._sent[action.token].key].discard(action.token)
        self._check_outcome(self._sent[action.token], action.result)

    def _check_outcome(self, sent, result):
        if isinstance(result, Response):
            first = self.answers.setdefault(sent.key, (sent.digest, result))
            assert first == (
                sent.digest,
                result,
            ), f"two different answers for one key: {result} after {first}"
            return
        self.refusals[result.code.name] += 1
        if result.ran is Ran.NOT_RUN and result.code is not Code.KEY_REUSED:
            assert sent.runs_at_arrival == 0, f"NOT_RUN for a call that had run: {sent} {result}"
        if result.ran is Ran.RAN:
            assert (
                self.runs[sent.key] == 1
            ), f"RAN for a call that had not run exactly once: {sent} {result}"

    def _step_write(self, pending, choice):
        if choice == "apply":
            if pending.result is None:
                pending.result = self._apply(pending.action)
        elif pending.is_answered or not pending.process.can_act:
            if pending.result is not None or choice == "drop":
                self._finish(pending)
        elif choice == "answer" and pending.result is not None:
            self._finish(pending)
            self._answer_write(pending, pending.result)
        elif choice == "drop" and pending.result is None:
            self._finish(pending)
            self._answer_write(pending, WriteResult(WriteOutcome.NOT_APPLIED))
        elif choice == "lose":
            # A write that was not applied yet stays pending: it may be applied at any later time.
            pending.is_answered = True
            self._answer_write(pending, WriteResult(WriteOutcome.UNKNOWN))

    def _apply(self, action):
        row = self.rows.get(action.key)
        if (row.version if row else None) != action.expected:
            return WriteResult(WriteOutcome.LOST, row)
        self.rows[action.key] = Row(pack_record(action.record), action.version)
        return WriteResult(WriteOutcome.APPLIED)

    def _answer_write(self, pending, written):
        process, action = pending.process, pending.action
        if not isinstance(action, MarkClaim):
            actions = process.tracker.on_written(action.key, action.record.attempt, written)
            self._carry_out(process, actions)
            return
        mark = process.tracker.next_mark(action, written)
        if mark is not None:
            self.pending.append(Pending(process, mark))

    def _step_read(self, pending, choice):
        process, action = pending.process, pending.action
        if not process.is_alive:
            self._finish(pending)
        elif process.can_act:
            self._finish(pending)
            is_lost = choice in ("lose", "drop")
            result = Failure(ReadFailure("")) if is_lost else Success(self.rows.get(action.key))
            self._carry_out(process, process.tracker.on_read(action.key, action.attempt, result))

    def _step_query(self, pending, choice):
        if not pending.process.is_alive:
            self._finish(pending)
        elif pending.process.can_act:
            self._query_owner(pending, choice)

    def _query_owner(self, pending, choice):
        record, key = pending.action.record, pending.action.key
        owner = next(one for one in self.processes if one.name == record.node)
        if choice == "drop":
            self._answer_query(pending, OwnerReply(OwnerState.UNREACHABLE))
        elif owner.incarnation != record.attempt.incarnation:
            self._answer_query(pending, OwnerReply(OwnerState.GONE))
        elif pending.is_queried:
            if choice == "lose" and owner.can_act:
                self._answer_query(pending, OwnerReply(OwnerState.RUNNING))
                actions = owner.tracker.cancel_query(key, record.attempt, pending)
                self._carry_out(owner, actions)
        elif owner.can_act:
            pending.is_queried = True
            reply = owner.tracker.query_attempt(key, record.attempt, pending, self.now)
            if reply is not None:
                self._answer_query(pending, reply)

    def _answer_query(self, pending, reply):
        process, action = pending.process, pending.action
        self._finish(pending)
        pending.is_answered = True
        if process.is_alive:
            actions = process.tracker.on_owner(action.key, action.attempt, reply)
            self._carry_out(process, actions)

    def _step_run(self, pending, choice):
        process = pending.process
        if choice in ("apply", "answer") and pending.result is None:
            # The target runs the call even if the sending node has given up on it or crashed.
            self.runs[pending.action.key] += 1
            body = b"run by %r" % (pending.action.attempt,)
            pending.result = Response(200, (), body)
        elif not process.is_alive or pending.is_answered:
            if choice == "drop":
                self._finish(pending)
        elif not process.can_act:
            return
        elif pending.result is None and choice == "drop":
            self._finish(pending)
            self._answer_run(pending, _NOT_RUN)
        elif choice == "lose":
            pending.is_answered = True
            self._answer_run(pending, _UNKNOWN)
        elif pending.result is not None:
            self._finish(pending)
            self._answer_run(pending, pending.result)

    def _answer_run(self, pending, result):
        process, action = pending.process, pending.action
        actions = process.tracker.on_result(action.key, action.attempt, result, self.now)
        self._carry_out(process, actions)

    def _finish(self, pending):
        if pending in self.pending:
            self.pending.remove(pending)
