"""Random histories of a gate, checked against a model of its calls and their outcomes."""

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from camphorshelf_core.admission import POLICIES, CallClass, Gate, PendingCall
from camphorshelf_core.errors import Code, Refusal

_STEPS = 60


class GateHistory(RuleBasedStateMachine):
    """Offers, finishes, cancels and expires calls and changes or closes the gate, in any order."""

    policy = POLICIES["ours"]

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.slots = 3
        self.max_running = 3
        self.leaving = False
        self.gate = Gate(self.slots, random.Random(1), self.policy)
        self.waiting = []
        self.running = []
        self.outcomes = {}

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
            assert pending_call.deadline > self.now, "a call started after its deadline"
            self._record_outcome(pending_call, "started")
            self.running.append(pending_call)
            assert len(self.running) <= self.max_running, "more calls run than there are slots"

        def refuse(_refusal):
            self._record_outcome(pending_call, "refused")

        pending_call = PendingCall(self.now + left, start, refuse, call_class, caller, team, kind)
        self.waiting.append(pending_call)
        self.gate.offer(pending_call, self.now)

    @rule(pick=st.randoms(use_true_random=False), served=st.booleans())
    def finish(self, pick, served):
        if self.running:
            pending_call = self.running.pop(pick.randrange(len(self.running)))
            self._limit_running()
            self.gate.finish(pending_call, self.now, served)

    @rule(pick=st.randoms(use_true_random=False))
    def cancel(self, pick):
        pending_calls = self.waiting + self.running
        if pending_calls:
            pending_call = pick.choice(pending_calls)
            (self.running if pending_call in self.running else self.waiting).remove(pending_call)
            self._limit_running()
            self.outcomes[pending_call] = "cancelled"
            self.gate.cancel(pending_call, self.now)

    @rule(seconds=st.floats(0, 0.5))
    def expire(self, seconds):
        self.now += seconds
        self.gate.expire(self.now)
        due = self.gate.next_expiry()
        assert due is None or due > self.now, "an expired call is still queued"

    @rule(slots=st.integers(0, 5))
    def announce(self, slots):
        self.slots = slots
        self._limit_running()
        self.gate.resize(slots, self.now)

    @rule()
    def shed(self):
        self.gate.record_shed(self.now)

    @rule(leaving=st.booleans())
    def leave(self, leaving):
        self.leaving = leaving
        if leaving:
            self.gate.close(Refusal(Code.TARGET_LEAVING, "leaves"))
            assert not self.waiting, "a call is queued at a closed gate"
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
            assert not self.waiting or self.slots == 0, "a call is queued at an idle target"

    def _limit_running(self):
        # When the number of slots falls, the running calls may finish, but none may start.
        self.max_running = max(self.slots, len(self.running))

    def _record_outcome(self, pending_call, outcome):
        assert (
            pending_call not in self.outcomes
        ), f"{outcome} after {self.outcomes.get(pending_call)}"
        self.outcomes[pending_call] = outcome
        self.waiting.remove(pending_call)


def run_histories(count, machine=GateHistory):
    """Run a fixed set of random histories.

    :param count: how many histories.
    :param machine: the state machine.
    :return: None.
    :raises AssertionError: with the shortest failing history.
    """
    options = settings(
        max_examples=count,
        stateful_step_count=_STEPS,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=options)
