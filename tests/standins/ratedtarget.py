"""Simulates a target that advertises rate limits, and the node beside it, on a simulated clock.

Requests are always waiting, so the node starts each one as early as it may. Responses take some
time on the way, so that one may be older than another that was read before it.
"""

import heapq
import itertools
import random

from camphorshelf_core.ratelimit import RateLimit
from standins.advertised import TOLD_SECONDS, Statement, find_full_windows

_STEP_SECONDS = 0.005
_SLOTS = 9
_WORK_SECONDS = (0.02, 0.3)
_TRANSIT_SECONDS = 0.03
_PROBE_SECONDS = 0.05


class RatedTarget:
    """One process of a target with its node.

    :param seed: the seed of the random run times.
    :param probes_advertise: whether the responses to probes advertise the limit as well.
    """

    def __init__(self, seed=1, probes_advertise=False):
        self._random = random.Random(seed)
        self._probes_advertise = probes_advertise
        self._order = itertools.count()
        self._events = []
        self._running = 0
        self._node = 0
        self._is_node_up = True
        self.now = 100.0
        self.per_s = None
        self.statements = []
        self.starts = []
        # When the node read the first response that advertises a limit.
        self.told_at = None
        self.limit = RateLimit(self.now, is_known=False)
        self._at(self.now, self._probe)

    def advertise(self, per_s):
        """Advertise another rate limit in all responses that are written from now on."""
        self.per_s = per_s
        self.statements.append(Statement(per_s, False, self.now, "i"))

    def pass_time(self, seconds, has_load=True):
        """Let time pass, and start requests as early as they may be."""
        end = self.now + seconds
        while self.now < end:
            self._run_events()
            while has_load and self._may_start():
                self._start()
            self.now += _STEP_SECONDS

    def restart_node(self, seconds):
        """End the node, and start another one after some seconds."""
        self._node += 1
        self._is_node_up = False
        self.pass_time(seconds)
        self._is_node_up = True
        self._running = 0
        self.limit = RateLimit(self.now, is_known=False)

    def suspend_node(self, seconds):
        """Suspend the node; it reads the responses that have come once it continues."""
        self._is_node_up = False
        self.pass_time(seconds)
        self._is_node_up = True

    def find_excess(self):
        """Return the windows in which the target got too many requests."""
        if self.told_at is None:
            return []
        counted = [at for at in self.starts if at >= self.told_at + TOLD_SECONDS]
        return list(find_full_windows("i", self.statements, counted))

    def _at(self, moment, action):
        heapq.heappush(self._events, (moment, next(self._order), action))

    def _run_events(self):
        while self._events and self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()

    def _may_start(self):
        return self._is_node_up and self._running < _SLOTS and self.limit.wait_s(self.now) <= 0

    def _start(self):
        sent_at, node = self.now, self._node
        self._running += 1
        self.starts.append(sent_at)
        self.limit.record_start(sent_at)
        self._at(
            sent_at + self._random.uniform(*_WORK_SECONDS), lambda: self._respond(sent_at, node)
        )

    def _respond(self, sent_at, node):
        per_s = self.per_s
        delay_s = self._random.uniform(0, _TRANSIT_SECONDS)
        self._at(self.now + delay_s, lambda: self._read(per_s, sent_at, node))

    def _read(self, per_s, sent_at, node):
        if node != self._node:
            return
        if not self._is_node_up:
            self._at(self.now + _STEP_SECONDS, lambda: self._read(per_s, sent_at, node))
            return
        self._running -= 1
        if per_s is None:
            self.limit.record_unadvertised(sent_at)
        else:
            self.limit.record_advertised(per_s, self.now)
            if self.told_at is None:
                self.told_at = self.now

    def _probe(self):
        if self._is_node_up and self._probes_advertise and self.per_s is not None:
            self.limit.record_advertised(self.per_s, self.now)
        self._at(self.now + _PROBE_SECONDS, self._probe)
