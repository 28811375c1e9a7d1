"""Plays two services whose targets all restart cold under full load; one calls the other.

No network: every decision is made by the modules of the core, on a clock of its own. Hosts know
each other's load of the moment, as after a probe.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from typing import NamedTuple

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.jobs import Job, LatePolicy
from camphorshelf_core.placement import rank_targets
from camphorshelf_core.retryafter import retry_after
from camphorshelf_core.warmup import WarmUp, WarmUpBounds
from standins.hosts import make_status, make_view

_BOUNDS = WarmUpBounds(1.5, 8.0)
_SLOTS = 9
_COLD_PACE = 2.0
_HOP_SECONDS = 0.002
_PROBE_SECONDS = 0.05
_WORD_SECONDS = 0.1
_MAX_OFFERS = 3
# Callers come back after a refusal at most after this share of the time that they have left.
_PATIENCE = 1 / 3


class Kind(NamedTuple):
    """A kind of request.

    :param name: its name.
    :param service: who runs it.
    :param priority: 0 goes first.
    :param work_s: mean time at a warm target.
    :param objective_s: its latency objective.
    :param deadline_s: how long its caller waits.
    :param retries: how often its caller comes back after a refusal.
    :param calls: how many calls such a request makes one after another, where it makes any.
    :param call: the kind of these calls, or None.
    :param calling_share: the share that makes them.
    """

    name: str
    service: str
    priority: int
    work_s: float
    objective_s: float
    deadline_s: float
    retries: int
    calls: int = 0
    call: object = None
    calling_share: float = 0.0


CHECK = Kind("check", "registry", 2, 0.064, 0.212, 0.849, 0)
REGISTER = Kind("register", "registry", 0, 0.18, 0.532, 1.0, 1)
REORDER = Kind("reorder", "orders", 1, 0.33, 1.032, 2.0, 1, 2, CHECK, 0.7)


class Settings(NamedTuple):
    """The fleet and its load.

    :param targets: how many targets each service has.
    :param per_s: requests a second of each kind.
    :param cold_s: how long a target is cold after its start.
    :param rate_per_s: what a cold target bears.
    :param crash_per_s: more arrivals than this in a second crash a cold target.
    :param down_s: how long a crashed target stays away.
    :param restart_at: when all targets restart; None for never.
    """

    targets: dict = {"orders": 37, "registry": 9}
    per_s: dict = {REORDER: 162.0, REGISTER: 41.0}
    cold_s: float = 3.0
    rate_per_s: float = 7.0
    crash_per_s: float = 18.5
    down_s: float = 2.0
    restart_at: float | None = None


class Outcome(NamedTuple):
    """What became of a caller's request.

    :param kind: its name.
    :param came_at: when it came first.
    :param last_try_s: seconds from its caller's last try until its end.
    :param result: ``in time``, ``late``, ``refused``, ``failed`` or ``deadline``.
    """

    kind: str
    came_at: float
    last_try_s: float
    result: str


class ColdFleet:
    """All hosts of the two services."""

    def __init__(self, settings, seed=1, is_limited=True):
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self.outcomes = []
        self.crashes = Counter()
        self.arrivals = {}
        self._is_limited = is_limited
        self._events = []
        self._order = itertools.count()
        self.hosts = {
            service: [Host(self, f"{service}-{number}", service) for number in range(count)]
            for service, count in settings.targets.items()
        }

    @property
    def rate_per_s(self):
        """The rate that the nodes know of; None when they know of none."""
        return self.settings.rate_per_s if self._is_limited else None

    def at(self, moment, action):
        """Do something at a moment."""
        heapq.heappush(self._events, (moment, next(self._order), action))

    def play(self, seconds):
        """Let requests come for a time, and work off what is under way."""
        for kind, per_s in self.settings.per_s.items():
            moment = 0.0
            while (moment := moment + self.random.expovariate(per_s)) < seconds:
                self.at(moment, lambda kind=kind: Request(self, kind, None, self._finish).start())
        if self.settings.restart_at is not None:
            self.at(self.settings.restart_at, self._restart_all)
        while self._events and self._events[0][0] < seconds + 5.0:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.outcomes

    def served_share(self, kind, since, until):
        """Tell which share of the requests that came in a time were answered."""
        came = [one for one in self.outcomes if one.kind == kind and since <= one.came_at < until]
        return sum(one.result in ("in time", "late") for one in came) / len(came)

    def in_time_share(self, kind, since, until):
        """Tell which share of the requests that came in a time were answered in time."""
        came = [one for one in self.outcomes if one.kind == kind and since <= one.came_at < until]
        return sum(one.result == "in time" for one in came) / len(came)

    def _finish(self, request, result):
        seconds = self.now - request.tried_at
        self.outcomes.append(Outcome(request.kind.name, request.came_at, seconds, result))

    def _restart_all(self):
        for hosts in self.hosts.values():
            for host in hosts:
                host.restart(0.0)


class Host:
    """A node and the target beside it."""

    def __init__(self, fleet, name, service):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.cold_until = 0.0
        self.down_until = 0.0
        self._recent = deque()
        self._running = {}
        self._pace_at = None
        self.warm_up = WarmUp(-10.0)
        self.warm_up.configure(fleet.rate_per_s, fleet.settings.cold_s, _BOUNDS, 0.0)
        fleet.at(0.0, self._tell)
        self.admission = AdmissionQueue(_SLOTS, self.warm_up)

    @property
    def status(self):
        """What others hear of it."""
        admission = self.admission
        return make_status(
            self.name,
            service=self.service,
            accepting=self.fleet.now >= self.down_until,
            limit=admission.limit,
            running=admission.running,
            queued=admission.queued,
            work_s=admission.work_s,
            start_wait_s=self.warm_up.wait_s(self.fleet.now),
            slowness=_COLD_PACE if self.fleet.now < self.cold_until else 1.0,
        )

    def offer(self, job):
        """Let a job in, queue or reject it."""
        if self.fleet.now < self.down_until:
            return None
        result = self.admission.offer(job, self.fleet.now)
        self._keep_pace()
        return result

    def run(self, job, request, on_end):
        """Let the target work on a job that was let in."""
        fleet, now = self.fleet, self.fleet.now
        self._recent.append(now)
        while self._recent[0] <= now - 1.0:
            self._recent.popleft()
        self._running[job] = on_end
        if now < self.cold_until and len(self._recent) > fleet.settings.crash_per_s:
            fleet.crashes[self.service] += 1
            self.restart(fleet.settings.down_s)
            return
        pace = _COLD_PACE if now < self.cold_until else 1.0
        work = request.kind.work_s * pace * max(0.3, fleet.random.gauss(1.0, 0.3))
        request.work(self, work, lambda result: self._end(job, result))

    def restart(self, down_s):
        """End the target, and start it again cold."""
        now = self.fleet.now
        running, self._running = self._running, {}
        self.admission.close(now)
        self.down_until = now + down_s
        self.cold_until = self.down_until + self.fleet.settings.cold_s
        self._recent.clear()
        for job, on_end in running.items():
            self.admission.finish(job, now)
            on_end("failed")
        self.warm_up.record_replaced(now)
        self.fleet.at(self.down_until + _PROBE_SECONDS, self._tell)

    def _tell(self):
        now = self.fleet.now
        if now < self.down_until:
            return
        self.warm_up.record_response(max(0.0, self.cold_until - now), now)
        if self.admission.closed:
            self.admission.open(now)
        self.fleet.at(now + _WORD_SECONDS, self._tell)

    def _end(self, job, result):
        on_end = self._running.pop(job, None)
        if on_end is None:
            return
        self.admission.finish(job, self.fleet.now)
        self._keep_pace()
        on_end(result)

    def _keep_pace(self):
        wait = self.admission.next_dispatch_s(self.fleet.now)
        if wait is None or self._pace_at is not None:
            return
        self._pace_at = self.fleet.now + wait + 0.0005
        self.fleet.at(self._pace_at, self._on_paced)

    def _on_paced(self):
        self._pace_at = None
        self.admission.dispatch(self.fleet.now)
        self._keep_pace()


class Request:
    """A request on its way: its caller's tries, and its calls while it runs."""

    def __init__(self, fleet, kind, origin, on_done, expires_at=None):
        self.fleet = fleet
        self.kind = kind
        self.origin = origin
        self.came_at = self.tried_at = fleet.now
        self._on_done = on_done
        self._expires_at = fleet.now + kind.deadline_s
        if expires_at is not None:
            self._expires_at = min(self._expires_at, expires_at)
        self._objective_at = fleet.now + kind.objective_s
        self._retries = kind.retries
        self._calls = kind.calls if fleet.random.random() < kind.calling_share else 0
        self._offers = 0
        self._tried = set()
        self._is_done = False

    def start(self):
        """Offer it to the best targets in turn."""
        self.tried_at = self.fleet.now
        self._offers = 0
        self._tried = set()
        self._offer_next(None)

    def work(self, host, seconds, on_end):
        """Run at a target for a time, with the calls in between."""
        left = self._calls
        part = seconds / (left + 1)
        fleet = self.fleet

        def go_on():
            nonlocal left
            if fleet.now >= self._expires_at:
                on_end("deadline")
            elif left == 0:
                on_end("served")
            else:
                left -= 1
                call = Request(fleet, self.kind.call, host, called, self._expires_at)
                call.start()

        def called(_call, result):
            if result in ("in time", "late"):
                fleet.at(fleet.now + part, go_on)
            else:
                on_end("failed")

        fleet.at(fleet.now + part, go_on)

    def _offer_next(self, shortest):
        fleet, kind, now = self.fleet, self.kind, self.fleet.now
        hosts = {host.name: host for host in fleet.hosts[kind.service]}
        views = [make_view(host.status, now) for host in hosts.values()]
        views = [view for view in views if view.is_usable(now)]
        left = self._objective_at - now
        candidates = [
            one
            for one in rank_targets(views, kind.work_s, now, "a", left)
            if one.address not in self._tried
        ]
        in_time = [one for one in candidates if now + one.expected_s <= self._objective_at]
        if in_time and self._offers < _MAX_OFFERS:
            chosen, policy = in_time[0], LatePolicy.REJECT
        elif candidates and self._offers <= _MAX_OFFERS:
            self._offers = _MAX_OFFERS
            chosen, policy = candidates[0], LatePolicy.QUEUE
        else:
            self._refuse(shortest)
            return
        self._offers += 1
        self._tried.add(chosen.address)
        fleet.at(now + _HOP_SECONDS, lambda: self._send(hosts[chosen.address], policy, shortest))

    def _send(self, host, policy, shortest):
        fleet, kind = self.fleet, self.kind
        if fleet.now >= self._expires_at:
            self._done("deadline")
            return
        job = Job(
            kind.priority,
            self._objective_at,
            self._expires_at,
            kind.work_s,
            policy,
            lambda: host.run(job, self, self._on_ran),
            lambda wait: self._offer_next(wait if shortest is None else min(wait, shortest)),
        )
        result = host.offer(job)
        if result is None or not result.admitted:
            waits = [one for one in (shortest, result and result.wait_s) if one is not None]
            self._offer_next(min(waits) if waits else None)

    def _on_ran(self, result):
        if result != "served":
            self._done(result)
        elif self.fleet.now <= self._objective_at:
            self._done("in time")
        elif self.fleet.now <= self._expires_at:
            self._done("late")
        else:
            self._done("deadline")

    def _refuse(self, shortest):
        fleet, now = self.fleet, self.fleet.now
        wait = retry_after(shortest, self._objective_at - now, self.kind.work_s, fleet.random)
        if self._retries and now + wait < self._expires_at:
            self._retries -= 1
            fleet.at(now + min(wait, (self._expires_at - now) * _PATIENCE), self.start)
        else:
            self._done("refused")

    def _done(self, result):
        if not self._is_done:
            self._is_done = True
            self._on_done(self, result)
