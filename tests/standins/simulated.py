"""A seeded event loop that plays calls over the entry node's own code, without a network.

Time is a number, a target is slots and a queue, a link is a delay. What decides (routing, spills,
retries, hedges, health, probes) is the code that runs in production.
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
_SHORT_MS = 50.0
_NOWHERE = "127.0.0.1:1"


class _Timer:
    def __init__(self, when, callback):
        self.when = when
        self.callback = callback

    def cancel(self):
        self.callback = None


class SimulatedLoop:
    """The interface of the node's loop on simulated time."""

    def __init__(self):
        self._now = 100.0
        self._timers = []
        self._order = itertools.count()

    def now(self):
        """The simulated moment."""
        return self._now

    def call_later(self, seconds, callback):
        """Call back at a simulated moment."""
        timer = _Timer(self._now + max(0.0, seconds), callback)
        heapq.heappush(self._timers, (timer.when, next(self._order), timer))
        return timer

    def run(self):
        """Run until nothing is left to do."""
        while self._timers:
            when, _, timer = heapq.heappop(self._timers)
            self._now = when
            if timer.callback is not None:
                timer.callback()


class SimulatedTarget:
    """A target and its node: exact slots, a queue, and faults to set."""

    def __init__(self, loop, name, slots):
        self._loop = loop
        self._slots = slots
        self._queue = deque()
        self._in_flight = 0
        self._latency_ms = 0.0
        self.name = name
        self.factor = 1.0
        self.failing = False
        self.lies = False
        self.report_period = 0.0
        self._old_report = None
        self.runs = 0

    @property
    def report(self):
        """The load report of this moment."""
        at_ms = self._loop.now() * 1000
        if self.lies:
            return LoadReport(0, 0, self._slots, 0.1, at_ms=at_ms)
        old = self._old_report
        if old is not None and at_ms - old.at_ms < self.report_period * 1000:
            return old
        self._old_report = self.true_load
        return self._old_report

    @property
    def true_load(self):
        """The load of this moment, whatever is reported."""
        load = (self._in_flight, len(self._queue), self._slots, self._latency_ms)
        return LoadReport(*load, at_ms=self._loop.now() * 1000)

    @property
    def in_flight(self):
        """Calls that hold a slot."""
        return self._in_flight

    def call(self, message, on_done):
        """The interface of a peer link."""
        work = _Work(self, message, on_done)
        self._loop.call_later(_NETWORK_SECONDS, work.arrive)
        return lambda: self._loop.call_later(_NETWORK_SECONDS, work.cancel)

    def offer(self, work):
        if self._in_flight < self._slots and not self._queue:
            self._start(work)
        elif not can_start_within(self.true_load, work.message.longest_wait_ms):
            work.answer(Refusal(Code.TARGET_BUSY, "busy"))
        elif len(self._queue) < self._slots * _QUEUE_PER_SLOT:
            self._queue.append(work)
        else:
            work.answer(Refusal(Code.QUEUE_FULL, "full", retry_after_ms=1000))

    def release(self):
        self._in_flight -= 1
        while self._queue and self._in_flight < self._slots:
            work = self._queue.popleft()
            if not work.cancelled:
                self._start(work)

    def _start(self, work):
        self._in_flight += 1
        self.runs += 1
        seconds = float(work.message.path) / 1000 * self.factor
        if self.failing:
            seconds = 0.0001
        work.start(seconds)

    def note_latency(self, milliseconds):
        self._latency_ms += 0.1 * (milliseconds - self._latency_ms)


class _Work:
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
        self._target.note_latency(self._seconds * 1000)
        self._target.release()
        self.answer(Response(503 if self._target.failing else 200, (), b""))


class SimulatedExchange:
    """A caller's request and what became of it."""

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
        """Let faults end the simulation."""
        return callback

    def set_disconnect_handler(self, callback):
        """Remember what to do when the caller goes away."""
        self.hang_up = callback

    def answer(self, response):
        """Take the answer."""
        self._take(response)

    def refuse(self, refusal):
        """Take the refusal."""
        self._take(refusal)

    def _take(self, result):
        self.answers += 1
        self.result = result
        self.milliseconds = (self._loop.now() - self.started) * 1000

    @property
    def is_sufficient(self):
        """Whether the caller got a good answer."""
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
        """Tell nothing."""

    def observe_peer_version(self, address, version):
        """Hear nothing."""


class _Leavers:
    def is_leaving(self, target):
        """Let all stay."""
        return False

    def record_report(self, target, load):
        """Learn nothing."""


class _NoProbes:
    def probe_one(self, candidates):
        """Send none."""


class Simulation:
    """Some entry nodes and targets of one service."""

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
                Announcement(SERVICE, _NOWHERE, slots),
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
        listen = ListenSettings(_NOWHERE, _NOWHERE, _NOWHERE)
        settings = Settings(
            f"e{index}", domain, listen, PlatformSettings(_NOWHERE, _NOWHERE), entry=entry
        )
        chance = random.Random(self.random.random())
        keeper = LoadTracker(
            self.loop,
            settings,
            _Roster(self.members),
            _Configuration(),
            self.gossip,
            _Leavers(),
            chance,
        )
        dispatcher = Dispatcher(
            self.loop,
            settings,
            f"i{index}",
            keeper,
            None,
            _NoProbes(),
            None,
            _Log(),
            chance,
            _Configuration(),
        )
        dispatcher.link = links.get
        return dispatcher

    @property
    def counts(self):
        """What all entry nodes counted."""
        return sum((entry.counts for entry in self.entries), Counter())

    def call(self, at, work_ms, entry=None, deadline_ms=2_000, method="GET", headers=()):
        """Plan a call at a simulated moment (seconds from the start)."""
        chosen = self.entries[self.random.randrange(len(self.entries)) if entry is None else entry]

        def send():
            exchange = SimulatedExchange(self.loop, work_ms, deadline_ms, method, headers)
            self.exchanges.append(exchange)
            chosen.dispatch(exchange)

        self.loop.call_later(at, send)

    def load(self, share, seconds, work, start=0.0, mean_ms=25.0, **fields):
        """Plan Poisson arrivals that fill a share of all slots."""
        rate = share * len(self.targets) * self.slots / (mean_ms / 1000)
        at = start + self.random.expovariate(rate)
        while at < start + seconds:
            self.call(at, work(self.random), **fields)
            at += self.random.expovariate(rate)

    def at(self, seconds, change):
        """Plan a change at a simulated moment."""
        self.loop.call_later(seconds, change)

    def run(self):
        """Play everything and give the outcome."""
        self.loop.run()
        return Played.of(self)


class Played(NamedTuple):
    """What callers got."""

    p50: float
    p99: float
    goodput: float
    refused: int
    short_p99: float
    counts: Counter
    runs: tuple

    @classmethod
    def of(cls, simulation):
        """Sum up a simulation."""
        for exchange in simulation.exchanges:
            assert exchange.answers == 1, "a caller got no answer or two"
        for target in simulation.targets:
            assert target.in_flight == 0, "a slot was never freed"
        good_calls = [one for one in simulation.exchanges if one.is_sufficient]
        good = sorted(one.milliseconds for one in good_calls)
        total = len(simulation.exchanges)
        return cls(
            p50=good[len(good) // 2] if good else float("inf"),
            p99=good[int(0.99 * len(good))] if good else float("inf"),
            goodput=len(good) / max(1, total),
            short_p99=_quantile_of_short(good_calls),
            refused=sum(isinstance(one.result, Refusal) for one in simulation.exchanges),
            counts=simulation.counts,
            runs=tuple(target.runs for target in simulation.targets),
        )


def _quantile_of_short(exchanges):
    short = sorted(one.milliseconds for one in exchanges if float(one.request.path) < _SHORT_MS)
    return short[int(0.99 * len(short))] if short else float("inf")
