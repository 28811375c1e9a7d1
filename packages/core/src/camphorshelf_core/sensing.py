"""Decides which targets are probed for their load, within a fixed budget.

Handles an entry node that sends too few calls to learn the load of its targets from the answers.
Without probes it would rely on reports that are seconds old. Without a budget, probing would grow
with the calls and the targets, and cost most when everything is failing.

When the budget is spent no probe is sent: the reports age, and routing relies on the node's own
counts.
"""

from typing import NamedTuple

from .budget import TokenBucket

# IP and UDP headers: the budget covers all bytes on the network, not just the payload.
DATAGRAM_OVERHEAD = 28
PROBE_BYTES = 96
# Charged for each probe sent or answered, before the work is done. It exceeds the cost: 32 us for
# the sender of a probe, with its answer, and 16 us for the other node, system calls included.
PROBE_MICROSECONDS = 120
# A target with a younger report isn't probed.
_MIN_REPORT_AGE_SECONDS = 0.05
# A probe without an answer after this time is lost.
_PROBE_TIMEOUT_SECONDS = 1.0
_SAMPLED_TARGETS = 3


class Probe(NamedTuple):
    """A probe to send, with its number, the target's name and the address of its node."""

    number: int
    target: str
    address: str


class ProbeScheduler:
    """Spends one node's probing budget, on its own probes and on answers to those of others.

    :param settings: the :class:`~camphorshelf_core.settings.SensingSettings`.
    :param random: the source of random numbers.
    :param now: seconds on the monotonic clock.
    """

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
        """How many probes wait for an answer."""
        return len(self._pending)

    def next_probe(self, candidates, now):
        """Return the next probe to send: of a few random targets, the one with the oldest report.

        :param candidates: the targets of the service that a call is for.
        :param now: seconds on the monotonic clock.
        :return: the :class:`Probe`, or None when the budget is spent or all reports are fresh.
        """
        self._expire(now)
        if not self._check_available(now):
            self.denied += 1
            return None
        awaited = {probe.target for probe, _ in self._pending.values()}
        stale = [
            candidate
            for candidate in candidates
            if (candidate.report_age is None or candidate.report_age > _MIN_REPORT_AGE_SECONDS)
            and candidate.target not in awaited
            and not candidate.leaving
        ]
        if not stale:
            return None
        sampled = self._random.sample(stale, min(_SAMPLED_TARGETS, len(stale)))
        oldest = max(sampled, key=_report_age)
        if not self._charge(now):
            return None
        self._number += 1
        probe = Probe(self._number, oldest.target, oldest.address)
        self._pending[probe.number] = (probe, now)
        self.sent += 1
        return probe

    def match_answer(self, number):
        """Match an answer to its probe.

        :param number: the probe's number.
        :return: the pair of the target's name and when the probe was sent, or None when the number
            is unknown or the answer came too late.
        """
        entry = self._pending.pop(number, None)
        return None if entry is None else (entry[0].target, entry[1])

    def charge_answer(self, now):
        """Charge the budget for the answer to another node's probe.

        :param now: seconds on the monotonic clock.
        :return: whether the answer may be sent. If not, the budget is spent and the other node
            keeps its older report.
        """
        if not self._charge(now):
            return False
        self.answered += 1
        return True

    def _check_available(self, now):
        has_bytes = self._bytes.available(now) >= PROBE_BYTES
        return has_bytes and self._cpu.available(now) >= PROBE_MICROSECONDS

    def _charge(self, now):
        if not self._check_available(now):
            self.denied += 1
            return False
        self._bytes.spend(PROBE_BYTES, now)
        self._cpu.spend(PROBE_MICROSECONDS, now)
        self.spent_bytes += PROBE_BYTES
        self.spent_microseconds += PROBE_MICROSECONDS
        self._assert_budget_kept(now)
        return True

    def _assert_budget_kept(self, now):
        # The budget is a guarantee to the users: since the start, no more may have been spent than
        # the burst and the rate allow.
        elapsed_s = now - self._started_at
        settings = self._settings
        limit = settings.burst_bytes + settings.bytes_per_second * elapsed_s
        assert self.spent_bytes <= limit + 1, "probes exceeded their byte budget"
        limit = settings.cpu_microseconds_per_second * (1 + elapsed_s)
        assert self.spent_microseconds <= limit + 1, "probes exceeded their processor time budget"

    def _expire(self, now):
        lost = [
            number
            for number, (_, sent_at) in self._pending.items()
            if now - sent_at > _PROBE_TIMEOUT_SECONDS
        ]
        for number in lost:
            del self._pending[number]
        self.lost += len(lost)


def _report_age(candidate):
    return float("inf") if candidate.report_age is None else candidate.report_age
