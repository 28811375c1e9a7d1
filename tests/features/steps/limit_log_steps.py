"""Steps that load a node's admission, with a target that answers by a fake clock."""

import random

from behave import given, then, when

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.calls import Response
from camphorshelf_core.instances import InstanceRecord
from camphorshelf_core.jobs import LatePolicy
from camphorshelf_core.messages import RelayMessage
from camphorshelf_platform.headers import DIALECT, read_target
from camphorshelf_relay.crashes import CrashWatch
from camphorshelf_relay.gate import Gate
from camphorshelf_relay.targetconnection import Answered, Origin
from standins.fakes import FakeLoop

_SERVICE = "counter"
_WORK = 0.06


class _Settings:
    service = _SERVICE


class _Log:
    def __init__(self):
        self.lines = []

    def routine(self, event, **fields):
        """Take no note of what went well."""

    def notable(self, event, **fields):
        self.lines.append((event, fields))


class _Target:
    """A target beside the node that slows down beyond some number of requests."""

    def __init__(self, loop, bend, longer):
        self._loop = loop
        self._bend = bend
        self._longer = longer
        self._random = random.Random(5)
        self._running = 0
        self.record = InstanceRecord()
        self.accepting = True
        self.slowness = 1.0
        self.is_limited = False
        self.link = self

    def send(self, request, request_id, idempotent, on_done, is_wanted):
        self._running += 1
        work = _WORK * max(0.2, self._random.gauss(1.0, 0.3))
        if self._running > self._bend:
            work *= self._longer
        self._loop.call_later(work, lambda: self._answer(on_done))
        return lambda: None

    def _answer(self, on_done):
        self._running -= 1
        origin = Origin("length", reused=False, skipped=0)
        on_done(Answered(Response(200, (), b""), read_target(200, ()), origin))

    def on_change(self):
        """Nobody else wants to know."""

    def note_word(self, word):
        """It tells nothing of its load."""

    def note_outcome(self, failed):
        """Its failures are not looked at."""


@given("a node whose target of {slots:d} slots slows down by {longer:f} beyond {bend:d}")
def bending_node(context, slots, longer, bend):
    context.loop, context.log = FakeLoop(), _Log()
    target = _Target(context.loop, bend, longer)
    crashes = CrashWatch(context.loop, "a", context.log)
    context.gate = Gate(
        context.loop, _Settings(), DIALECT, AdmissionQueue(slots), target, crashes, context.log
    )


@when("{rate:d} requests a second come there for {seconds:d} s")
def come(context, rate, seconds):
    numbers = random.Random(7)
    for number in range(rate * seconds):
        context.loop.advance(numbers.expovariate(rate))
        message = RelayMessage(
            call_id=number,
            sent_at=context.loop.now(),
            service=_SERVICE,
            idempotent=True,
            priority=1,
            objective_s=0.2,
            remaining_s=1.2,
            work_s=_WORK,
            late_policy=LatePolicy.REJECT,
            request_id=str(number),
            caller_service=_SERVICE,
            method="GET",
            path=b"/%d" % number,
            headers=(),
            body=b"",
        )
        context.gate.run(message, lambda reply: None)


@then("the log says that the limit moved from {before:d} to {limit:d} of {slots:d} slots")
def limit_logged(context, before, limit, slots):
    moves = [fields for event, fields in context.log.lines if event == "limit_moved"]
    assert moves, "no line"
    first = moves[0]
    assert (first["before"], first["limit"], first["slots"]) == (before, limit, slots), moves
