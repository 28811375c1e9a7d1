"""Random histories of a gate, checked against what its callers were told."""

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from camphorshelf_core.admission import POLICIES, CallClass, Gate, PendingCall
from camphorshelf_core.errors import Code, Refusal

_STEPS = 60


class GateHistory(RuleBasedStateMachine):
    """Offers, ends, cancels, expires, announces anew and leaves, in any order."""

    parts = POLICIES["ours"]

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.slots = 3
        self.allowed = 3
        self.leaving = False
        self.gate = Gate(self.slots, random.Random(1), self.parts)
        self.waiting = []
        self.running = []
        self.told = {}

    @rule(
        caller=st.sampled_from("abcd"),
        team=st.sampled_from(["", "t"]),
        call_class=st.sampled_from([CallClass.LOOKUP, CallClass.REORDER]),
        kind=st.sampled_from(["short", "long"]),
        left=st.floats(-0.01, 2.0),
    )
    def offer(self, caller, team, call_class, kind, left):
        def start():
            assert not self.leaving, "a call started at a closed gate"
            assert ticket.deadline > self.now, "a call started after its deadline"
            self._tell(ticket, "started")
            self.running.append(ticket)
            assert len(self.running) <= self.allowed, "more calls than slots"

        def refuse(_refusal):
            self._tell(ticket, "refused")

        ticket = PendingCall(self.now + left, start, refuse, call_class, caller, team, kind)
        self.waiting.append(ticket)
        self.gate.offer(ticket, self.now)

    @rule(pick=st.randoms(use_true_random=False), served=st.booleans())
    def finish(self, pick, served):
        if self.running:
            ticket = self.running.pop(pick.randrange(len(self.running)))
            self._shrink()
            self.gate.finish(ticket, self.now, served)

    @rule(pick=st.randoms(use_true_random=False))
    def cancel(self, pick):
        tickets = self.waiting + self.running
        if tickets:
            ticket = pick.choice(tickets)
            (self.running if ticket in self.running else self.waiting).remove(ticket)
            self._shrink()
            self.told[ticket] = "cancelled"
            self.gate.cancel(ticket, self.now)

    @rule(seconds=st.floats(0, 0.5))
    def expire(self, seconds):
        self.now += seconds
        self.gate.expire(self.now)
        due = self.gate.next_expiry()
        assert due is None or due > self.now, "late work is still in line"

    @rule(slots=st.integers(0, 5))
    def announce(self, slots):
        self.slots = slots
        self._shrink()
        self.gate.resize(slots, self.now)

    @rule()
    def shed(self):
        self.gate.record_shed(self.now)

    @rule(leaving=st.booleans())
    def leave(self, leaving):
        self.leaving = leaving
        if leaving:
            self.gate.close(Refusal(Code.TARGET_LEAVING, "leaves"))
            assert not self.waiting, "a call waits at a closed gate"
        else:
            self.gate.open()

    @invariant()
    def counts_are_exact(self):
        assert self.gate.broken is None, self.gate.broken
        assert self.gate.in_flight == len(self.running)
        assert self.gate.queued == len(self.waiting)

    @invariant()
    def no_slot_is_lost(self):
        if not self.running:
            assert not self.waiting or self.slots == 0, "a call waits at an idle target"

    def _shrink(self):
        # Calls that ran when the slots became fewer may end; no new one may join them.
        self.allowed = max(self.slots, len(self.running))

    def _tell(self, ticket, what):
        assert ticket not in self.told, f"{what} after {self.told.get(ticket)}"
        self.told[ticket] = what
        self.waiting.remove(ticket)


def run_histories(count, machine=GateHistory):
    """Play a fixed set of random histories; raises AssertionError with the shortest that fails."""
    options = settings(
        max_examples=count,
        stateful_step_count=_STEPS,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=options)
