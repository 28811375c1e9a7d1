"""A fake clock, table, network and target around real claim books, with loss and delay."""

from collections import Counter
from random import Random
from typing import NamedTuple

from returns.result import Failure, Success

from camphorshelf_core.calls import AttemptId, Response
from camphorshelf_core.claimactions import MarkClaim, RunCall, Settle
from camphorshelf_core.claimrecords import OwnerReply, OwnerState, pack_record
from camphorshelf_core.claims import ClaimBook, Waiter
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.invariants import Invariants
from camphorshelf_core.settings import ClaimSettings
from camphorshelf_core.table import ReadFailure, Row, WriteOutcome, WriteResult

_SETTINGS = ClaimSettings(kept_answers=3, answer_age_ms=10_000)
_UNKNOWN = Refusal(Code.DEADLINE_EXCEEDED, "late", Ran.OUTCOME_UNKNOWN)
_NOT_RUN = Refusal(Code.QUEUE_FULL, "full", Ran.NOT_RUN)


class Sent(NamedTuple):
    """A caller's request: what it asks and how often its key had run when it came."""

    key: object
    digest: bytes
    runs_at_arrival: int


class Process:
    """One incarnation of one node."""

    def __init__(self, world, name, incarnation, book_class):
        self.name = name
        self.incarnation = incarnation
        self.is_alive = True
        self.is_paused = False
        self._numbers = 0
        self.invariants = Invariants()
        self.book = book_class(
            _SETTINGS, (name, name), self._next_attempt, Random(incarnation), self.invariants
        )
        self._world = world

    @property
    def can_act(self):
        return self.is_alive and not self.is_paused

    def _next_attempt(self):
        self._numbers += 1
        return AttemptId(self.incarnation, self._numbers)


class Pending:
    """One action on its way: the node it belongs to and how far it has come."""

    def __init__(self, process, action):
        self.process = process
        self.action = action
        self.result = None
        self.is_answered = False
        self.is_asked = False


class World:
    """Three nodes, a table and a target; every step is chosen from outside."""

    def __init__(self, book_class=ClaimBook):
        self._book_class = book_class
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
        self._carry_out(process, process.book.submit(key, digest, waiter, self.now))

    def leave(self, index, token):
        process = self.processes[index]
        if process.can_act and token in self._sent:
            key = self._sent[token].key
            self._carry_out(process, process.book.leave(key, token))
            if token in self._callers.get((process, key), ()) and not process.book.is_open(key):
                # The node tells the caller NOT_RUN here if it vouched for a first send.
                self._ended.add((process, key))

    def kill(self, index):
        old = self.processes[index]
        old.is_alive = False
        self.processes[index] = self._start(old.name)

    def pause(self, index):
        process = self.processes[index]
        process.is_paused = not process.is_paused

    def advance(self, steps):
        """Let the newest action succeed, and what follows from it, for some steps."""
        for _ in range(steps):
            if not self.pending:
                return
            newest = self.pending[-1]
            self.step(newest, "apply")
            self.step(newest, "answer")

    def step(self, pending, choice):
        """Move one pending action on, in one of the ways that can happen to it."""
        steps = {
            "WriteClaim": self._step_write,
            "MarkClaim": self._step_write,
            "ReadClaim": self._step_read,
            "AskOwner": self._step_ask,
            "RunCall": self._step_run,
        }
        steps[type(pending.action).__name__](pending, choice)

    def check(self):
        doubled = {key: count for key, count in self.runs.items() if count > 1}
        assert not doubled, f"ran more than once: {doubled}"
        for process in self.processes:
            assert not process.invariants.broken, process.invariants.broken

    def _start(self, name):
        self._started += 1
        return Process(self, name, f"{name}{self._started}", self._book_class)

    def _carry_out(self, process, actions):
        for action in actions:
            if isinstance(action, Settle):
                self._settle(process, action)
                continue
            if isinstance(action, RunCall):
                self._check_wanted(process, action)
            self.pending.append(Pending(process, action))

    def _check_wanted(self, process, action):
        is_told = (process, action.key) in self._ended
        assert not is_told, f"dispatched after everyone was told NOT_RUN: {action}"

    def _settle(self, process, action):
        if isinstance(action.token, Pending):
            if not action.token.is_answered:
                self._answer_ask(action.token, action.result)
            return
        self._callers[process, self._sent[action.token].key].discard(action.token)
        self._check_outcome(self._sent[action.token], action.result)

    def _check_outcome(self, sent, result):
        if isinstance(result, Response):
            first = self.answers.setdefault(sent.key, (sent.digest, result))
            assert first == (sent.digest, result), f"another answer: {result} after {first}"
            return
        self.refusals[result.code.name] += 1
        if result.ran is Ran.NOT_RUN and result.code is not Code.KEY_REUSED:
            assert sent.runs_at_arrival == 0, f"NOT_RUN after it ran: {sent} {result}"
        if result.ran is Ran.RAN:
            assert self.runs[sent.key] == 1, f"RAN before it ran: {sent} {result}"

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
            # The write stays under way when it was not applied: it may land at any later time.
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
            actions = process.book.on_written(action.key, action.record.attempt, written)
            self._carry_out(process, actions)
            return
        mark = process.book.next_mark(action, written)
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
            self._carry_out(process, process.book.on_read(action.key, action.attempt, result))

    def _step_ask(self, pending, choice):
        if not pending.process.is_alive:
            self._finish(pending)
        elif pending.process.can_act:
            self._ask(pending, choice)

    def _ask(self, pending, choice):
        record, key = pending.action.record, pending.action.key
        owner = next(one for one in self.processes if one.name == record.node)
        if choice == "drop":
            self._answer_ask(pending, OwnerReply(OwnerState.UNREACHABLE))
        elif owner.incarnation != record.attempt.incarnation:
            self._answer_ask(pending, OwnerReply(OwnerState.GONE))
        elif pending.is_asked:
            if choice == "lose" and owner.can_act:
                self._answer_ask(pending, OwnerReply(OwnerState.RUNNING))
                actions = owner.book.leave_ask(key, record.attempt, pending)
                self._carry_out(owner, actions)
        elif owner.can_act:
            pending.is_asked = True
            reply = owner.book.ask(key, record.attempt, pending, self.now)
            if reply is not None:
                self._answer_ask(pending, reply)

    def _answer_ask(self, pending, reply):
        process, action = pending.process, pending.action
        self._finish(pending)
        pending.is_answered = True
        if process.is_alive:
            actions = process.book.on_owner(action.key, action.attempt, reply)
            self._carry_out(process, actions)

    def _step_run(self, pending, choice):
        process = pending.process
        if choice in ("apply", "answer") and pending.result is None:
            # The target runs it, whether or not the node that sent it still waits or lives.
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
        actions = process.book.on_result(action.key, action.attempt, result, self.now)
        self._carry_out(process, actions)

    def _finish(self, pending):
        if pending in self.pending:
            self.pending.remove(pending)
