"""Simulates a load on one gate, on a simulated clock and without sockets."""

import heapq
import itertools
import random
from typing import NamedTuple

from camphorshelf_core.admission import CallClass, Gate, PendingCall
from camphorshelf_core.errors import Code


class Call(NamedTuple):
    """One call: when it comes, its run time at an idle target and its deadline, in seconds."""

    at: float
    caller: str = "clerk"
    work: float = 0.005
    deadline: float = 1.0
    team: str = ""
    call_class: CallClass = CallClass.LOOKUP
    kind: str = "tags"


class Outcome(NamedTuple):
    """The outcome of one call and when its caller learned it; ``code`` is None if it was served."""

    call: Call
    code: Code | None
    at: float
    retry_after_ms: int | None = None

    @property
    def seconds(self):
        """How long the caller waited, in seconds."""
        return self.at - self.call.at


class GatePlay:
    """A gate and its target on a simulated clock; the running calls share the target's cores.

    :param policy: the gate's admission policy.
    :param slots: how many calls the target announces that it can process at once.
    :param cores: a function from a moment to the number of cores; as many as slots if None.
    :param team_weights: the weight of each team in the queue.
    """

    def __init__(self, policy, slots=10, cores=None, team_weights=None):
        self.gate = Gate(slots, random.Random(1), policy, team_weights)
        self.outcomes = []
        self.now = 0.0
        self.peak = 0
        self._cores = cores or (lambda now: slots)
        self._events = []
        self._order = itertools.count()
        self._is_expiry_scheduled = False

    def play(self, calls):
        """Run all calls and return their outcomes in the order in which they ended."""
        for call in calls:
            self._at(call.at, lambda call=call: self._offer(call))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()
            self.peak = max(self.peak, self.gate.in_flight)
            self._schedule_expiry()
        assert len(self.outcomes) == len(calls), "a call has no outcome or more than one"
        return self.outcomes

    def _at(self, when, event):
        heapq.heappush(self._events, (when, next(self._order), event))

    def _schedule_expiry(self):
        expires_at = self.gate.next_expiry()
        if expires_at is not None and not self._is_expiry_scheduled:
            self._is_expiry_scheduled = True
            self._at(max(expires_at, self.now), self._expire)

    def _expire(self):
        self._is_expiry_scheduled = False
        self.gate.expire(self.now)

    def _offer(self, call):
        def start():
            share = min(1.0, self._cores(self.now) / self.gate.in_flight)
            self._at(self.now + call.work / share, finish)

        def finish():
            self.gate.finish(pending_call, self.now)
            self.outcomes.append(Outcome(call, None, self.now))

        def refuse(refusal):
            outcome = Outcome(call, refusal.code, self.now, refusal.retry_after_ms)
            self.outcomes.append(outcome)

        pending_call = PendingCall(
            call.at + call.deadline,
            start,
            refuse,
            call.call_class,
            call.caller,
            call.team,
            call.kind,
        )
        self.gate.offer(pending_call, self.now)


def poisson(rate, seconds, seed, **fields):
    """Make calls that arrive as a Poisson process.

    :param rate: the mean number of calls per second.
    :param seconds: for how long.
    :param seed: the seed of the random numbers.
    :param fields: the other fields of each :class:`Call`; a callable is called with the random
        numbers to give the value for each call.
    :return: a list of calls.
    """
    rng = random.Random(seed)
    calls, at = [], rng.expovariate(rate)
    while at < seconds:
        values = {key: one(rng) if callable(one) else one for key, one in fields.items()}
        calls.append(Call(at, **values))
        at += rng.expovariate(rate)
    return calls


def served(outcomes):
    """Return the outcomes of the calls that the target answered."""
    return [one for one in outcomes if one.code is None]


def percentile(values, share):
    """Return the value below which a share of the values lie; 0.0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0
