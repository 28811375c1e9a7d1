"""Simulates two services whose targets all restart cold under full load; one calls the other.

There is no network and the clock is simulated, but every decision is made by the modules of the
core. Each host knows the current load of all others, as it would just after a probe.
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
from camphorshelf_core.startlimits import StartLimits
from camphorshelf_core.warmup import WarmUp, WarmUpBounds
from standins.hosts import make_status, make_view

_BOUNDS = WarmUpBounds(1.5, 8.0)
_SLOTS = 9
_COLD_SLOWNESS = 2.0
_NETWORK_SECONDS = 0.002
_PROBE_SECONDS = 0.05
_HEARTBEAT_SECONDS = 0.1
_MAX_OFFERS = 3
# After a refusal, callers retry within at most this share of the time before their deadline.
_MAX_RETRY_WAIT_SHARE = 1 / 3


class Kind(NamedTuple):
    """A kind of request.

    :param name: its name.
    :param service: the service that runs it.
    :param priority: its priority; 0 is the most urgent.
    :param work_s: its mean run time at a warm target, in seconds.
    :param objective_s: its latency objective in seconds.
    :param deadline_s: how long its caller waits, in seconds.
    :param retries: how often its caller retries after a refusal.
    :param calls: how many calls to another service such a request makes, one after another.
    :param call: the kind of these calls, or None.
    :param calling_share: the share of the requests that make these calls.
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
    :param per_s: requests per second of each kind.
    :param cold_s: how long a target is cold after its start, in seconds.
    :param rate_per_s: how many requests per second the nodes may start at a cold target.
    :param crash_per_s: how many requests may start within a second at a cold target before it
        crashes.
    :param down_s: how long a crashed target is down, in seconds.
    :param restart_at: when all targets restart, in seconds from the start; None for never.
    """

    targets: dict = {"orders": 37, "registry": 9}
    per_s: dict = {REORDER: 162.0, REGISTER: 41.0}
    cold_s: float = 3.0
    rate_per_s: float = 7.0
    crash_per_s: float = 18.5
    down_s: float = 2.0
    restart_at: float | None = None


class Outcome(NamedTuple):
    """The outcome of a caller's request.

    :param kind: the name of its :class:`Kind`.
    :param arrived_at: when its caller first sent it.
    :param last_try_s: seconds from its caller's last try to its end.
    :param result: ``in time``, ``late``, ``refused``, ``failed`` or ``deadline``.
    """

    kind: str
    arrived_at: float
    last_try_s: float
    result: str


class ColdFleet:
    """All hosts of the two services, on a simulated clock.

    :param settings: the :class:`Settings`.
    :param seed: the seed of the random numbers.
    :param is_limited: whether the nodes limit the rate of requests at cold targets.
    """

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
        """The limit of the nodes for requests per second at a cold target; None for no limit."""
        return self.settings.rate_per_s if self._is_limited else None

    def at(self, moment, action):
        """Schedule an action for a moment of the simulated clock."""
        heapq.heappush(self._events, (moment, next(self._order), action))

    def play(self, seconds):
        """Send requests for some seconds, wait for the last ones and return all outcomes."""
        for kind, per_s in self.settings.per_s.items():
            moment = 0.0
            while (moment := moment + self.random.expovariate(per_s)) < seconds:
                self.at(
                    moment,
                    lambda kind=kind: Request(self, kind, None, self._record_outcome).start(),
                )
        if self.settings.restart_at is not None:
            self.at(self.settings.restart_at, self._restart_all)
        while self._events and self._events[0][0] < seconds + 5.0:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.outcomes

    def served_share(self, kind, since, until):
        """Return the share of the requests first sent in a period that were answered."""
        arrived = [
            one for one in self.outcomes if one.kind == kind and since <= one.arrived_at < until
        ]
        return sum(one.result in ("in time", "late") for one in arrived) / len(arrived)

    def in_time_share(self, kind, since, until):
        """Return the share of the requests first sent in a period that met their objective."""
        arrived = [
            one for one in self.outcomes if one.kind == kind and since <= one.arrived_at < until
        ]
        return sum(one.result == "in time" for one in arrived) / len(arrived)

    def _record_outcome(self, request, result):
        seconds = self.now - request.last_try_at
        self.outcomes.append(Outcome(request.kind.name, request.arrived_at, seconds, result))

    def _restart_all(self):
        for hosts in self.hosts.values():
            for host in hosts:
                host.restart(0.0)


class Host:
    """A node and the target on the same host."""

    def __init__(self, fleet, name, service):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.cold_until = 0.0
        self.down_until = 0.0
        self._recent_starts = deque()
        self._running = {}
        self._dispatch_at = None
        self.warm_up = WarmUp(-10.0)
        self.warm_up.configure(fleet.rate_per_s, fleet.settings.cold_s, _BOUNDS, 0.0)
        fleet.at(0.0, self._send_heartbeat)
        self.admission = AdmissionQueue(_SLOTS, StartLimits(self.warm_up))

    @property
    def status(self):
        """The current :class:`HostStatus` of this host."""
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
            slowness=_COLD_SLOWNESS if self.fleet.now < self.cold_until else 1.0,
        )

    def offer(self, job):
        """Offer a job to the admission queue; return its result, None while the target is down."""
        if self.fleet.now < self.down_until:
            return None
        result = self.admission.offer(job, self.fleet.now)
        self._schedule_dispatch()
        return result

    def run(self, job, request, on_end):
        """Run an admitted job at the target; too many starts crash a cold target."""
        fleet, now = self.fleet, self.fleet.now
        self._recent_starts.append(now)
        while self._recent_starts[0] <= now - 1.0:
            self._recent_starts.popleft()
        self._running[job] = on_end
        if now < self.cold_until and len(self._recent_starts) > fleet.settings.crash_per_s:
            fleet.crashes[self.service] += 1
            self.restart(fleet.settings.down_s)
            return
        slowness = _COLD_SLOWNESS if now < self.cold_until else 1.0
        work = request.kind.work_s * slowness * max(0.3, fleet.random.gauss(1.0, 0.3))
        request.work(self, work, lambda result: self._end(job, result))

    def restart(self, down_s):
        """End the target, fail what it runs and start it cold after ``down_s`` seconds."""
        now = self.fleet.now
        running, self._running = self._running, {}
        self.admission.close(now)
        self.down_until = now + down_s
        self.cold_until = self.down_until + self.fleet.settings.cold_s
        self._recent_starts.clear()
        for job, on_end in running.items():
            self.admission.finish(job, now)
            on_end("failed")
        self.warm_up.record_replaced(now)
        self.fleet.at(self.down_until + _PROBE_SECONDS, self._send_heartbeat)

    def _send_heartbeat(self):
        now = self.fleet.now
        if now < self.down_until:
            return
        self.warm_up.record_response(max(0.0, self.cold_until - now), now)
        if self.admission.closed:
            self.admission.open(now)
        self.fleet.at(now + _HEARTBEAT_SECONDS, self._send_heartbeat)

    def _end(self, job, result):
        on_end = self._running.pop(job, None)
        if on_end is None:
            return
        self.admission.finish(job, self.fleet.now)
        self._schedule_dispatch()
        on_end(result)

    def _schedule_dispatch(self):
        wait = self.admission.next_dispatch_s(self.fleet.now)
        if wait is None or self._dispatch_at is not None:
            return
        self._dispatch_at = self.fleet.now + wait + 0.0005
        self.fleet.at(self._dispatch_at, self._dispatch)

    def _dispatch(self):
        self._dispatch_at = None
        self.admission.dispatch(self.fleet.now)
        self._schedule_dispatch()


class Request:
    """One request: its caller's tries, its offers to targets and the calls that it makes."""

    def __init__(self, fleet, kind, origin, on_done, expires_at=None):
        self.fleet = fleet
        self.kind = kind
        self.origin = origin
        self.arrived_at = self.last_try_at = fleet.now
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
        """Start a try of the caller: offer the request to the best targets one after another."""
        self.last_try_at = self.fleet.now
        self._offers = 0
        self._tried = set()
        self._offer_next(None)

    def work(self, host, seconds, on_end):
        """Run at a target for some seconds, which the calls to the other service divide equally."""
        remaining = self._calls
        part_s = seconds / (remaining + 1)
        fleet = self.fleet

        def continue_work():
            nonlocal remaining
            if fleet.now >= self._expires_at:
                on_end("deadline")
            elif remaining == 0:
                on_end("served")
            else:
                remaining -= 1
                call = Request(fleet, self.kind.call, host, on_call_done, self._expires_at)
                call.start()

        def on_call_done(_call, result):
            if result in ("in time", "late"):
                fleet.at(fleet.now + part_s, continue_work)
            else:
                on_end("failed")

        fleet.at(fleet.now + part_s, continue_work)

    def _offer_next(self, shortest_wait):
        fleet, kind, now = self.fleet, self.kind, self.fleet.now
        hosts = {host.name: host for host in fleet.hosts[kind.service]}
        views = [make_view(host.status, now) for host in hosts.values()]
        views = [view for view in views if view.is_usable(now)]
        objective_left = self._objective_at - now
        candidates = [
            one
            for one in rank_targets(views, kind.work_s, now, "a", objective_left)
            if one.address not in self._tried
        ]
        in_time = [one for one in candidates if now + one.expected_s <= self._objective_at]
        if in_time and self._offers < _MAX_OFFERS:
            chosen, policy = in_time[0], LatePolicy.REJECT
        elif candidates and self._offers <= _MAX_OFFERS:
            self._offers = _MAX_OFFERS
            chosen, policy = candidates[0], LatePolicy.QUEUE
        else:
            self._refuse(shortest_wait)
            return
        self._offers += 1
        self._tried.add(chosen.address)
        fleet.at(
            now + _NETWORK_SECONDS, lambda: self._send(hosts[chosen.address], policy, shortest_wait)
        )

    def _send(self, host, policy, shortest_wait):
        fleet, kind = self.fleet, self.kind
        if fleet.now >= self._expires_at:
            self._end_with("deadline")
            return
        job = Job(
            kind.priority,
            self._objective_at,
            self._expires_at,
            kind.work_s,
            policy,
            lambda: host.run(job, self, self._on_run_ended),
            lambda wait: self._offer_next(
                wait if shortest_wait is None else min(wait, shortest_wait)
            ),
        )
        result = host.offer(job)
        if result is None or not result.admitted:
            waits = [one for one in (shortest_wait, result and result.wait_s) if one is not None]
            self._offer_next(min(waits) if waits else None)

    def _on_run_ended(self, result):
        if result != "served":
            self._end_with(result)
        elif self.fleet.now <= self._objective_at:
            self._end_with("in time")
        elif self.fleet.now <= self._expires_at:
            self._end_with("late")
        else:
            self._end_with("deadline")

    def _refuse(self, shortest_wait):
        fleet, now = self.fleet, self.fleet.now
        wait = retry_after(shortest_wait, self._objective_at - now, self.kind.work_s, fleet.random)
        if self._retries and now + wait < self._expires_at:
            self._retries -= 1
            fleet.at(now + min(wait, (self._expires_at - now) * _MAX_RETRY_WAIT_SHARE), self.start)
        else:
            self._end_with("refused")

    def _end_with(self, result):
        if not self._is_done:
            self._is_done = True
            self._on_done(self, result)
