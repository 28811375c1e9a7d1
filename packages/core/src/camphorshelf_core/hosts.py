"""What each host tells the others of itself, and what a node holds of the others.

Load pattern: a target's speed and load change several times a second, so a report that is a
second old is as likely wrong as right. In small systems each host pushes its changes to all. In
large ones the words that a node takes in would grow with the hosts, those that it uses would not:
there load is probed at the moment of choice, and a failure detector watches who is alive.
"""

import string
from typing import NamedTuple

# Pushed to more hosts than this, most reports of load are never used. The two bounds give
# hysteresis: each change of the mode is told to all hosts.
_PUSH_MAX_HOSTS = 30
_PUSH_RESUME_MAX_HOSTS = 24
# How often a host that pushes its load repeats its status, at least.
_REPEAT_SECONDS = 0.2
_REPEATS_PER_SECOND = 150
_SILENT_PERIODS = 3.25
# Past this a host that stopped repeating its status counts as gone.
GONE_SECONDS = 3.0
# A suspicion says that the host has not answered for about so long.
_ACCUSATION_SECONDS = 0.5
# A suspected host that has not contradicted for so long counts as gone.
SUSPICION_SECONDS = 1.5
# A host that has not answered a probe for so long is chosen last until it is heard again.
_ANSWER_SECONDS = 0.1
# For how long a probed load is fresh enough to choose by.
FRESH_SECONDS = 0.04
# An incarnation is a number in symbols that sort as their values do: the microsecond of the start,
# and chance, so that no two hosts that start together share one.
_SYMBOLS = "".join(sorted(string.ascii_letters + string.digits + "-_"))
_SYMBOL_BITS = 6
_SYMBOL_COUNT = 12
_CHANCE_SYMBOLS = 4
RANDOM_BITS = 20


def is_address(text):
    """Tell whether a text is an address as hosts tell theirs.

    :param text: what was read.
    :return: whether it is a text of the form ``ip:port``.
    """
    if not isinstance(text, str):
        return False
    ip, _, port = text.rpartition(":")
    return bool(ip) and port.isdigit()


def make_incarnation(started_us, chance):
    """Name a process of a node; one that starts later at the same address compares greater.

    :param started_us: microseconds since the epoch.
    :param chance: a random number of :data:`RANDOM_BITS` bits.
    :return: the incarnation.
    """
    return _to_symbols(started_us << RANDOM_BITS | chance, _SYMBOL_COUNT)


def make_newer_incarnation(other, chance):
    """Name a process so that it compares greater than one that ran before at its address.

    :param other: the incarnation of that one, whose clock was ahead.
    :param chance: a random number of :data:`RANDOM_BITS` bits; several may outbid the same one.
    :return: the incarnation.
    """
    return other + _to_symbols(chance, _CHANCE_SYMBOLS)


def should_push_load(hosts, is_pushing):
    """Tell whether each host should push its load to all others.

    :param hosts: how many others there are.
    :param is_pushing: whether it does so now.
    :return: True or False; when it is false, who wants to know has to probe.
    """
    return hosts <= (_PUSH_MAX_HOSTS if is_pushing else _PUSH_RESUME_MAX_HOSTS)


def push_interval_seconds(hosts):
    """Tell how often a host that pushes its load repeats its status.

    :param hosts: how many others it tells.
    :return: seconds.
    """
    return max(_REPEAT_SECONDS, hosts / _REPEATS_PER_SECOND)


class HostStatus(NamedTuple):
    """One host's word on itself.

    :param host: its name.
    :param incarnation: drawn anew at each start of its node; a later one compares greater.
    :param sequence: grows with each status of one incarnation.
    :param domain: its failure domain.
    :param address: where its node takes links, as ``ip:port``.
    :param service: the service of the target beside it; empty when unknown.
    :param instance: the running target's id; empty when there is none.
    :param accepting: whether its node lets new work in.
    :param warming_s: for how long the target stays slow after its start.
    :param limit: how many requests may run at once.
    :param running: how many run.
    :param queued: how many wait for one of those to end.
    :param slowness: how long work takes there now, 1.0 as usual.
    :param work_s: mean time of a request there, as if the slowness were 1.0; 0.0 unknown.
    :param failure_ratio: share of recent requests that failed.
    :param config_version: the configuration in force there; 0 for none.
    :param lacks_store_access: whether the store refuses or does not answer its node.
    :param revision: grows with each change of what a short status leaves out.
    :param push_interval_s: the longest time between two statuses that it pushes; 0.0 when it is to be
        probed.
    :param crashes: pairs of a request's fingerprint and how often the target crashed under it.
    :param start_wait_s: when a cold target may get one request more; 0.0 for at once.
    :param evacuation_version: the version of the last change of evacuations known there.
    """

    host: str
    incarnation: str
    sequence: int
    domain: str
    address: str
    service: str
    instance: str
    accepting: bool
    warming_s: float
    limit: int
    running: int
    queued: int
    slowness: float
    work_s: float
    failure_ratio: float
    config_version: int
    lacks_store_access: bool
    revision: int
    push_interval_s: float
    crashes: tuple = ()
    start_wait_s: float = 0.0
    evacuation_version: int = 0


class HostView:
    """One other host as this node sees it."""

    __slots__ = ("status", "heard_at", "probed_at", "suspected_at", "requests_since_status")

    def __init__(self):
        self.status = None
        self.heard_at = None
        # When the probe that waits for an answer was sent; None when there is none.
        self.probed_at = None
        # Since when the failure detector takes the host for dead; None when it does not.
        self.suspected_at = None
        # Own requests sent there since its last status, which cannot count them yet.
        self.requests_since_status = 0

    @property
    def pushes_load(self):
        """Whether the host tells each change of its load by itself."""
        return self.status.push_interval_s > 0

    def apply(self, status, now):
        """Take in a status unless it is older than the one held.

        :param status: the :class:`HostStatus`.
        :param now: seconds on the monotonic clock.
        :return: whether it was newer.
        """
        if self.status is not None and _order(status) <= _order(self.status):
            return False
        self.status = status
        self.heard_at = now
        self.probed_at = None
        self.suspected_at = None
        self.requests_since_status = 0
        return True

    def suspect(self, incarnation, now):
        """Take the host for dead unless it was heard while it did not answer the accuser.

        :param incarnation: the process that did not answer.
        :param now: seconds on the monotonic clock.
        :return: whether this is news.
        """
        if self.suspected_at is not None or self.status.incarnation != incarnation:
            return False
        if now - self.heard_at < _ACCUSATION_SECONDS:
            return False
        self.suspected_at = now
        return True

    def is_probe_overdue(self, now):
        """Tell whether the host owes the answer to a probe for too long.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self.probed_at is not None and now - self.probed_at > _ANSWER_SECONDS

    def is_load_fresh(self, now):
        """Tell whether the load that is held is that of this moment.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self.pushes_load or now - self.heard_at <= FRESH_SECONDS

    def is_silent(self, now):
        """Tell whether the host is used only when no other is left.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        if self.suspected_at is not None or self.is_probe_overdue(now):
            return True
        return self.pushes_load and now - self.heard_at > self.status.push_interval_s * _SILENT_PERIODS

    def is_gone(self, now):
        """Tell whether the host gets no requests at all.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        if self.suspected_at is not None and now - self.suspected_at > SUSPICION_SECONDS:
            return True
        longest = max(GONE_SECONDS, self.status.push_interval_s * _SILENT_PERIODS)
        return self.pushes_load and now - self.heard_at > longest

    def is_usable(self, now):
        """Tell whether the target beside the host may be sent work.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self.status.accepting and bool(self.status.instance) and not self.is_gone(now)


def _to_symbols(number, count):
    shifts = range((count - 1) * _SYMBOL_BITS, -1, -_SYMBOL_BITS)
    return "".join(_SYMBOLS[number >> shift & len(_SYMBOLS) - 1] for shift in shifts)


def _order(status):
    return status.incarnation, status.sequence
