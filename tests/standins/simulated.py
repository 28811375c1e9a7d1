"""Simulates calls to targets through the production code of entry nodes, without a network.

The clock, the targets (slots and a queue) and the links (a delay) are simulated. Routing, spills,
retries, hedges and health checks are the code of the node. All random numbers are seeded.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from typing import NamedTuple

from camphorshelf_core.calls import Request, Response
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.load import LoadReport
from camphorshelf_core.messages import AnswerMessage, RefusedMessage
from camphorshelf_core.roster import Announcement, Member, MemberState
from camphorshelf_core.settings import (
    EntrySettings,
    ListenSettings,
    PlatformSettings,
    Settings,
)
from camphorshelf_core.spill import can_start_within
from camphorshelf_node.dispatch import Dispatcher
from camphorshelf_node.load import LoadTracker

SERVICE = "counter"
_NETWORK_SECONDS = 0.0005
_QUEUE_PER_SLOT = 2
_SHORT_WORK_MS = 50.0
_UNUSED_ADDRESS = "127.0.0.1:1"


class _Timer:
    def __init__(self, when, callback):
        self.when = when
        self.callback = callback

    def cancel(self):
        self.callback = None


class SimulatedLoop:
    """Implements the interface of the node's event loop on a simulated clock."""

    def __init__(self):
        self._now = 100.0
        self._timers = []
        self._order = itertools.count()

    def now(self):
        """Return the time of the simulated clock, in seconds."""
        return self._now

    def call_later(self, seconds, callback):
        """Schedule a callback and return its timer."""
        timer = _Timer(self._now + max(0.0, seconds), callback)
        heapq.heappush(self._timers, (timer.when, next(self._order), timer))
        return timer

    def run(self):
        """Run all timers in order until none are left."""
        while self._timers:
            when, _, timer = heapq.heappop(self._timers)
            self._now = when
            if timer.callback is not None:
                timer.callback()


class SimulatedTarget:
    """A target and its node, with slots, a queue and faults that tests set.

    ``slowdown`` multiplies the run times, ``failing`` makes all calls fail at once,
    ``reports_idle`` makes the target report that it is idle and fast, and ``report_period_s`` is
    the interval in seconds at which its load report changes.
    """

    def __init__(self, loop, name, slots):
        self._loop = loop
        self._slots = slots
        self._queue = deque()
        self._in_flight = 0
        self._latency_ms = 0.0
        self.name = name
        self.slowdown = 1.0
        self.failing = False
        self.reports_idle = False
        self.report_period_s = 0.0
        self._last_report = None
        self.runs = 0

    @property
    def report(self):
        """The load report that the target sends now."""
        at_ms = self._loop.now() * 1000
        if self.reports_idle:
            return LoadReport(0, 0, self._slots, 0.1, at_ms=at_ms)
        last = self._last_report
        if last is not None and at_ms - last.at_ms < self.report_period_s * 1000:
            return last
        self._last_report = self.true_load
        return self._last_report

    @property
    def true_load(self):
        """The actual load now, whatever is reported."""
        load = (self._in_flight, len(self._queue), self._slots, self._latency_ms)
        return LoadReport(*load, at_ms=self._loop.now() * 1000)

    @property
    def in_flight(self):
        """How many calls occupy a slot."""
        return self._in_flight

    def call(self, message, on_done):
        """Send a call to the target; return a function that cancels it, as a peer link does."""
        call = _SimulatedCall(self, message, on_done)
        self._loop.call_later(_NETWORK_SECONDS, call.arrive)
        return lambda: self._loop.call_later(_NETWORK_SECONDS, call.cancel)

    def offer(self, call):
        if self._in_flight < self._slots and not self._queue:
            self._start(call)
        elif not can_start_within(self.true_load, call.message.longest_wait_ms):
            call.answer(Refusal(Code.TARGET_BUSY, "busy"))
        elif len(self._queue) < self._slots * _QUEUE_PER_SLOT:
            self._queue.append(call)
        else:
            call.answer(Refusal(Code.QUEUE_FULL, "full", retry_after_ms=1000))

    def release(self):
        self._in_flight -= 1
        while self._queue and self._in_flight < self._slots:
            call = self._queue.popleft()
            if not call.cancelled:
                self._start(call)

    def _start(self, call):
        self._in_flight += 1
        self.runs += 1
        seconds = float(call.message.path) / 1000 * self.slowdown
        if self.failing:
            seconds = 0.0001
        call.start(seconds)

    def record_latency(self, milliseconds):
        self._latency_ms += 0.1 * (milliseconds - self._latency_ms)


class _SimulatedCall:
    def __init__(self, target, message, on_done):
        self._target = target
        self._on_done = on_done
        self._timer = None
        self.message = message
        self.cancelled = False

    def arrive(self):
        if not self.cancelled:
            self._target.offer(self)

    def start(self, seconds):
        self._seconds = seconds
        self._timer = self._target._loop.call_later(seconds, self._end)

    def cancel(self):
        self.cancelled = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._target.release()

    def answer(self, result):
        target = self._target
        report = target.report
        if isinstance(result, Refusal):
            code, reason, ran, after = result
            message = RefusedMessage(0, int(code), reason, ran.value, after, report)
        else:
            message = AnswerMessage(0, result.status, (), b"", report)
        reply = lambda: self.cancelled or self._on_done(message)  # noqa: E731
        target._loop.call_later(_NETWORK_SECONDS, reply)

    def _end(self):
        self._timer = None
        self._target.record_latency(self._seconds * 1000)
        self._target.release()
        self.answer(Response(503 if self._target.failing else 200, (), b""))


class SimulatedExchange:
    """A caller's request and its result; implements the interface of the node's exchange."""

    def __init__(self, loop, work_ms, deadline_ms, method="GET", headers=()):
        self._loop = loop
        self.request = Request(method, str(work_ms).encode(), headers, b"")
        self.service = SERVICE
        self.caller = "store-1"
        self.call_id = None
        self.started = loop.now()
        self.deadline = self.started + deadline_ms / 1000
        self.retries_left = None
        self.result = None
        self.milliseconds = None
        self.answers = 0

    def guard(self, callback):
        """Return the callback unchanged, so that exceptions end the simulation."""
        return callback

    def set_disconnect_handler(self, callback):
        """Set the callback for a caller that disconnects."""
        self.hang_up = callback

    def answer(self, response):
        """Record the response."""
        self._set_result(response)

    def refuse(self, refusal):
        """Record the refusal."""
        self._set_result(refusal)

    def _set_result(self, result):
        self.answers += 1
        self.result = result
        self.milliseconds = (self._loop.now() - self.started) * 1000

    @property
    def is_successful(self):
        """Whether the caller got a response with status 200."""
        return isinstance(self.result, Response) and self.result.status == 200


class _Log:
    def __init__(self):
        self.lines = Counter()

    def decision(self, kind, **fields):
        self.lines[kind] += 1


class _Gossip:
    def __init__(self, count):
        self._count = count
        self.listener = None

    @property
    def membership(self):
        return self

    def members(self):
        return range(self._count)

    def on_member(self, callback):
        self.listener = callback


class _Roster:
    def __init__(self, members):
        self._members = members

    def members(self, service):
        return self._members


class _Configuration:
    version = 0
    weights = {}

    @property
    def local_version(self):
        return self

    def is_leaving(self, service, target, domain):
        """Let all stay."""
        return False

    def announce_version(self, link, address):
        """Do nothing."""

    def observe_peer_version(self, address, version):
        """Do nothing."""


class _LeavingTargets:
    def is_leaving(self, target):
        """Let all stay."""
        return False

    def record_report(self, target, load):
        """Do nothing."""


class _NoProbes:
    def probe_one(self, candidates):
        """Send no probe."""


class Simulation:
    """Simulates entry nodes and the targets of one service.

    :param seed: the seed of the random numbers.
    :param targets: the number of targets.
    :param entries: the number of entry nodes.
    :param slots: the number of slots of each target.
    :param domains: the number of failure domains.
    :param entry: fields of :class:`EntrySettings`.
    """

    def __init__(self, seed=1, targets=6, entries=3, slots=4, domains=3, **entry):
        self.random = random.Random(seed)
        self.loop = SimulatedLoop()
        self.targets = [SimulatedTarget(self.loop, f"t{i}", slots) for i in range(targets)]
        self.slots = slots
        links = {f"10.0.0.{i}:1": target for i, target in enumerate(self.targets)}
        self.members = [
            Member(
                target.name,
                1,
                0,
                MemberState.ALIVE,
                "x",
                address,
                f"fd-{i % domains}",
                Announcement(SERVICE, _UNUSED_ADDRESS, slots),
            )
            for i, (address, target) in enumerate(links.items())
        ]
        self.gossip = _Gossip(targets + entries)
        self.entries = [
            self._make_entry(i, f"fd-{i % domains}", links, EntrySettings(**entry))
            for i in range(entries)
        ]
        self.exchanges = []

    def _make_entry(self, index, domain, links, entry):
        listen = ListenSettings(_UNUSED_ADDRESS, _UNUSED_ADDRESS, _UNUSED_ADDRESS)
        settings = Settings(
            f"e{index}",
            domain,
            listen,
            PlatformSettings(_UNUSED_ADDRESS, _UNUSED_ADDRESS),
            entry=entry,
        )
        rng = random.Random(self.random.random())
        load_tracker = LoadTracker(
            self.loop,
            settings,
            _Roster(self.members),
            _Configuration(),
            self.gossip,
            _LeavingTargets(),
            rng,
        )
        dispatcher = Dispatcher(
            self.loop,
            settings,
            f"i{index}",
            load_tracker,
            None,
            _NoProbes(),
            None,
            _Log(),
            rng,
            _Configuration(),
        )
        dispatcher.link = links.get
        return dispatcher

    @property
    def counts(self):
        """The sum of the counts of all entry nodes."""
        return sum((entry.counts for entry in self.entries), Counter())

    def call(self, at, work_ms, entry=None, deadline_ms=2_000, method="GET", headers=()):
        """Schedule a call.

        :param at: when the caller sends it, in seconds from the start.
        :param work_ms: its run time at a target that is not slowed down.
        :param entry: the index of the entry node; None for a random one.
        :param deadline_ms: its deadline.
        :param method: the HTTP method.
        :param headers: the headers.
        :return: None.
        """
        entry_node = self.entries[
            self.random.randrange(len(self.entries)) if entry is None else entry
        ]

        def send():
            exchange = SimulatedExchange(self.loop, work_ms, deadline_ms, method, headers)
            self.exchanges.append(exchange)
            entry_node.dispatch(exchange)

        self.loop.call_later(at, send)

    def load(self, share, seconds, draw_work_ms, start=0.0, mean_ms=25.0, **fields):
        """Schedule calls that arrive as a Poisson process.

        :param share: the share of all slots that the calls occupy on average.
        :param seconds: for how long calls arrive.
        :param draw_work_ms: a function from the random numbers to the run time of a call in
            milliseconds.
        :param start: when the first calls may arrive, in seconds from the start.
        :param mean_ms: the mean run time from which the rate follows.
        :param fields: other arguments of :meth:`call`.
        :return: None.
        """
        rate = share * len(self.targets) * self.slots / (mean_ms / 1000)
        at = start + self.random.expovariate(rate)
        while at < start + seconds:
            self.call(at, draw_work_ms(self.random), **fields)
            at += self.random.expovariate(rate)

    def at(self, seconds, change):
        """Schedule a change, in seconds from the start."""
        self.loop.call_later(seconds, change)

    def run(self):
        """Run the simulation to its end and return its :class:`SimulationResult`."""
        self.loop.run()
        return SimulationResult.from_simulation(self)


class SimulationResult(NamedTuple):
    """The results of all calls of a simulation.

    :param p50: the median latency of successful calls, in milliseconds.
    :param p99: the 99th percentile of their latency, in milliseconds.
    :param goodput: the share of calls that succeeded.
    :param refused: how many calls were refused.
    :param short_p99: the 99th percentile of the latency of short calls, in milliseconds.
    :param counts: the counts of all entry nodes.
    :param runs: how many calls each target ran.
    """

    p50: float
    p99: float
    goodput: float
    refused: int
    short_p99: float
    counts: Counter
    runs: tuple

    @classmethod
    def from_simulation(cls, simulation):
        """Compute the results of a simulation that has ended."""
        for exchange in simulation.exchanges:
            assert exchange.answers == 1, "a caller got no answer or more than one"
        for target in simulation.targets:
            assert target.in_flight == 0, "a slot was not released"
        successful = [one for one in simulation.exchanges if one.is_successful]
        latencies_ms = sorted(one.milliseconds for one in successful)
        total = len(simulation.exchanges)
        return cls(
            p50=latencies_ms[len(latencies_ms) // 2] if latencies_ms else float("inf"),
            p99=latencies_ms[int(0.99 * len(latencies_ms))] if latencies_ms else float("inf"),
            goodput=len(latencies_ms) / max(1, total),
            short_p99=_p99_of_short_calls(successful),
            refused=sum(isinstance(one.result, Refusal) for one in simulation.exchanges),
            counts=simulation.counts,
            runs=tuple(target.runs for target in simulation.targets),
        )


def _p99_of_short_calls(exchanges):
    latencies_ms = sorted(
        one.milliseconds for one in exchanges if float(one.request.path) < _SHORT_WORK_MS
    )
    return latencies_ms[int(0.99 * len(latencies_ms))] if latencies_ms else float("inf")
