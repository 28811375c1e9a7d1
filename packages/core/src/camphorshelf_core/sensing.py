"""Decides which targets are probed for their load, within a budget that cannot be exceeded.

Load pattern: an entry node that sends too few calls to learn a target's load from the answers.
Without probes it would judge by reports that are seconds old; without the budget, probing grows
with the calls and the targets, and costs most when everything is failing.

When the budget is spent there is no probe: reports age, and routing leans on its own counts.
"""

from typing import NamedTuple

from .budget import TokenBucket

# IP and UDP headers; the budget is for what the network carries, not for the payload alone.
DATAGRAM_OVERHEAD = 28
PROBE_BYTES = 96
# Charged for each probe sent or answered before the work is done; bench/probe_cost.py measures
# the work itself, which stays below this.
PROBE_MICROSECONDS = 120
# A report younger than this is not worth a probe.
_FRESH_SECONDS = 0.05
# A probe unanswered for this long is lost.
_LOST_SECONDS = 1.0
_DRAWN = 3


class Probe(NamedTuple):
    """A probe to send."""

    number: int
    target: str
    address: str


class Sensing:
    """Spends the probing budget of one node, both for asking and for answering."""

    def __init__(self, settings, random, now):
        self._random = random
        self._settings = settings
        self._bytes = TokenBucket(settings.bytes_per_second, settings.burst_bytes, now)
        self._cpu = TokenBucket(
            settings.cpu_microseconds_per_second, settings.cpu_microseconds_per_second, now
        )
        self._started_at = now
        self._number = 0
        self._pending = {}
        self.sent = 0
        self.answered = 0
        self.lost = 0
        self.denied = 0
        self.spent_bytes = 0
        self.spent_microseconds = 0

    @property
    def pending(self):
        """How many probes wait for their answer."""
        return len(self._pending)

    def plan(self, candidates, now):
        """Choose a target to probe: the one of a few random ones with the oldest report.

        :param candidates: the targets of the service that a call is for.
        :param now: seconds on the monotonic clock.
        :return: the :class:`Probe`, or None.
        """
        self._expire(now)
        if not self._has_enough(now):
            self.denied += 1
            return None
        waiting = {probe.target for probe, _ in self._pending.values()}
        old = [
            one
            for one in candidates
            if (one.report_age is None or one.report_age > _FRESH_SECONDS)
            and one.target not in waiting
            and not one.leaving
        ]
        if not old:
            return None
        drawn = self._random.sample(old, min(_DRAWN, len(old)))
        oldest = max(drawn, key=_age)
        if not self._charge(now):
            return None
        self._number += 1
        probe = Probe(self._number, oldest.target, oldest.address)
        self._pending[probe.number] = (probe, now)
        self.sent += 1
        return probe

    def take_answer(self, number):
        """Match an answer to its probe.

        :param number: the probe's number.
        :return: the pair of the target's name and when it was asked, or None when nobody asked
            or the answer came too late.
        """
        entry = self._pending.pop(number, None)
        return None if entry is None else (entry[0].target, entry[1])

    def may_answer(self, now):
        """Decide whether to answer a peer's probe.

        :param now: seconds on the monotonic clock.
        :return: False when the budget is spent; the peer then lives with an older report.
        """
        if not self._charge(now):
            return False
        self.answered += 1
        return True

    def _has_enough(self, now):
        enough = self._bytes.available(now) >= PROBE_BYTES
        return enough and self._cpu.available(now) >= PROBE_MICROSECONDS

    def _charge(self, now):
        if not self._has_enough(now):
            self.denied += 1
            return False
        self._bytes.spend(PROBE_BYTES, now)
        self._cpu.spend(PROBE_MICROSECONDS, now)
        self.spent_bytes += PROBE_BYTES
        self.spent_microseconds += PROBE_MICROSECONDS
        self._check(now)
        return True

    def _check(self, now):
        # The promise to the users, asserted where it could break: whatever happened since the
        # start, no more was spent than burst and rate allow.
        seconds = now - self._started_at
        settings = self._settings
        limit = settings.burst_bytes + settings.bytes_per_second * seconds
        assert self.spent_bytes <= limit + 1, "probes exceeded their bytes"
        limit = settings.cpu_microseconds_per_second * (1 + seconds)
        assert self.spent_microseconds <= limit + 1, "probes exceeded their processor time"

    def _expire(self, now):
        lost = [
            number
            for number, (_, sent_at) in self._pending.items()
            if now - sent_at > _LOST_SECONDS
        ]
        for number in lost:
            del self._pending[number]
        self.lost += len(lost)


def _age(candidate):
    return float("inf") if candidate.report_age is None else candidate.report_age
