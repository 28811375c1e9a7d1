"""Plays a load against one gate on a clock of its own, without sockets or sleeping."""

import heapq
import itertools
import random
from typing import NamedTuple

from camphorshelf_core.admission import CallClass, Gate, PendingCall
from camphorshelf_core.errors import Code


class Call(NamedTuple):
    """One call to play; ``work`` is its time on a free host, all times in seconds."""

    at: float
    caller: str = "clerk"
    work: float = 0.005
    deadline: float = 1.0
    team: str = ""
    call_class: CallClass = CallClass.LOOKUP
    kind: str = "tags"


class Outcome(NamedTuple):
    """What the caller of one call got, and when (``code`` None: served)."""

    call: Call
    code: Code | None
    at: float
    retry_after_ms: int | None = None

    @property
    def seconds(self):
        """How long the caller waited for its answer."""
        return self.at - self.call.at


class GatePlay:
    """A gate, its target and a clock; the target shares its cores among the running calls."""

    def __init__(self, parts, slots=10, cores=None, team_weights=None):
        self.gate = Gate(slots, random.Random(1), parts, team_weights)
        self.outcomes = []
        self.now = 0.0
        self.peak = 0
        self._cores = cores or (lambda now: slots)
        self._events = []
        self._order = itertools.count()
        self._armed = False

    def play(self, calls):
        """Play calls to the end and give their outcomes in the order they ended."""
        for call in calls:
            self._at(call.at, lambda call=call: self._offer(call))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()
            self.peak = max(self.peak, self.gate.in_flight)
            self._wake()
        assert len(self.outcomes) == len(calls), "each call gets one answer"
        return self.outcomes

    def _at(self, when, event):
        heapq.heappush(self._events, (when, next(self._order), event))

    def _wake(self):
        due = self.gate.next_expiry()
        if due is not None and not self._armed:
            self._armed = True
            self._at(max(due, self.now), self._expire)

    def _expire(self):
        self._armed = False
        self.gate.expire(self.now)

    def _offer(self, call):
        def start():
            share = min(1.0, self._cores(self.now) / self.gate.in_flight)
            self._at(self.now + call.work / share, finish)

        def finish():
            self.gate.finish(ticket, self.now)
            self.outcomes.append(Outcome(call, None, self.now))

        def refuse(refusal):
            outcome = Outcome(call, refusal.code, self.now, refusal.retry_after_ms)
            self.outcomes.append(outcome)

        ticket = PendingCall(
            call.at + call.deadline,
            start,
            refuse,
            call.call_class,
            call.caller,
            call.team,
            call.kind,
        )
        self.gate.offer(ticket, self.now)


def poisson(rate, seconds, seed, **fields):
    """Draw calls at random moments.

    :param rate: calls a second.
    :param seconds: for how long.
    :param seed: of the random numbers.
    :param fields: the other fields of each :class:`Call`; callables are called for each.
    :return: a list of calls.
    """
    source = random.Random(seed)
    calls, at = [], source.expovariate(rate)
    while at < seconds:
        drawn = {key: one(source) if callable(one) else one for key, one in fields.items()}
        calls.append(Call(at, **drawn))
        at += source.expovariate(rate)
    return calls


def served(outcomes):
    """Keep the outcomes that are answers of the target."""
    return [one for one in outcomes if one.code is None]


def percentile(values, part):
    """Give the value below which a part of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0
