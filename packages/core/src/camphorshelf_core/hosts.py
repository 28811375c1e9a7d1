"""Host statuses, and what a node knows of the other hosts.

A target's speed and load change several times a second, so a status that is a second old is
likely to be wrong. In small systems each host pushes its changes to all others. In large systems
the statuses that a node receives would grow with the number of hosts while those that it uses
would not, so load is probed when a target is chosen, and a failure detector tracks which hosts
are alive.
"""

import string
from functools import lru_cache
from ipaddress import ip_address
from typing import NamedTuple

# With more other hosts than this, most pushed statuses are never used. The two thresholds give
# hysteresis, because every change of mode is announced to all hosts.
_PUSH_MAX_HOSTS = 30
_PUSH_RESUME_MAX_HOSTS = 24
# The shortest interval at which a pushing host repeats its status. The interval grows so that the
# host sends at most about this many repeated statuses per second to all receivers together.
_MIN_PUSH_INTERVAL_SECONDS = 0.2
_MAX_PUSHES_PER_SECOND = 150
# A pushing host is silent when nothing was received from it for this many push intervals.
_SILENT_INTERVALS = 3.25
# A pushing host counts as gone when nothing was received from it for this long.
GONE_SECONDS = 3.0
# A suspicion means that the host has not responded to probes for about this long.
_SUSPICION_SILENCE_SECONDS = 0.5
# A suspected host that has not refuted the suspicion for this long counts as gone.
SUSPICION_SECONDS = 1.5
# A host that has not responded to a probe for this long is chosen last until its next status.
_PROBE_TIMEOUT_SECONDS = 0.1
# A probed load is used for routing for this long.
FRESH_SECONDS = 0.04
# An incarnation is a number encoded in characters whose sort order is that of their values, so that
# incarnations can be compared as strings. Its high bits are the start time in microseconds; its low
# bits are random, so that two processes that start in the same microsecond differ.
_SYMBOLS = "".join(sorted(string.ascii_letters + string.digits + "-_"))
_SYMBOL_BITS = 6
_SYMBOL_COUNT = 12
_RANDOM_SYMBOL_COUNT = 4
_MAX_PORT = 65_535
_MAX_ADDRESS_LENGTH = 64
# The addresses of a fleet arrive again and again, in each status.
_MAX_CACHED_ADDRESSES = 8_192
RANDOM_BITS = 20


def is_address(text):
    """Tell whether a value is an address in the form that hosts send.

    :param text: a decoded value of any type.
    :return: whether it is a string of the form ``ip:port`` with a port that can be connected to.
    """
    return isinstance(text, str) and len(text) <= _MAX_ADDRESS_LENGTH and _parses_as_address(text)


@lru_cache(_MAX_CACHED_ADDRESSES)
def _parses_as_address(text):
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT):
        return False
    try:
        ip_address(ip)
    except ValueError:
        return False
    return True


def make_incarnation(started_us, random_bits):
    """Make the incarnation of a node's process; a later start gives a greater incarnation.

    :param started_us: the process's start time in microseconds since the epoch.
    :param random_bits: a random number of :data:`RANDOM_BITS` bits.
    :return: the incarnation.
    """
    return _encode_symbols(started_us << RANDOM_BITS | random_bits, _SYMBOL_COUNT)


def make_newer_incarnation(other, random_bits):
    """Make an incarnation that compares greater than that of an earlier process.

    This is needed when the earlier process at the same address ran with a clock that was ahead.

    :param other: the earlier process's incarnation.
    :param random_bits: a random number of :data:`RANDOM_BITS` bits; it keeps apart several
        processes that each supersede the same incarnation.
    :return: the incarnation.
    """
    return other + _encode_symbols(random_bits, _RANDOM_SYMBOL_COUNT)


def should_push_load(hosts, is_pushing):
    """Tell whether each host should push its load to all others.

    :param hosts: the number of other hosts.
    :param is_pushing: whether this host pushes its load now.
    :return: True to push; False when other hosts have to probe for the load.
    """
    return hosts <= (_PUSH_MAX_HOSTS if is_pushing else _PUSH_RESUME_MAX_HOSTS)


def push_interval_seconds(hosts):
    """Compute the interval at which a host that pushes its load repeats its status.

    :param hosts: the number of hosts that it pushes to.
    :return: the interval in seconds.
    """
    return max(_MIN_PUSH_INTERVAL_SECONDS, hosts / _MAX_PUSHES_PER_SECOND)


class HostStatus(NamedTuple):
    """The status that a host reports of itself and of its target.

    :param host: the host's name.
    :param incarnation: identifies the process of its node; a later process has a greater one.
    :param sequence: increases with each status of one incarnation.
    :param domain: the host's failure domain.
    :param address: where its node accepts links, as ``ip:port``.
    :param service: the service of its target; empty when unknown.
    :param instance: the id of the running target process; empty when there is none.
    :param accepting: whether its node accepts new requests.
    :param warming_s: for how many more seconds the target is slow after its start.
    :param limit: how many requests may run at the same time.
    :param running: how many requests run.
    :param queued: how many requests wait for a running one to end.
    :param slowness: how long requests to the target take now, relative to usual (1.0).
    :param work_s: the mean run time of a request at a slowness of 1.0, in seconds; 0.0 when
        unknown.
    :param failure_ratio: the share of recent requests that failed, 0.0 to 1.0.
    :param config_version: the version of the configuration in force on the host; 0 for none.
    :param lacks_store_access: whether the store refuses its node's calls or doesn't respond.
    :param revision: increases with each change of a field that a short status leaves out.
    :param push_interval_s: the longest time between two statuses that it pushes, in seconds; 0.0
        when it doesn't push and has to be probed.
    :param crashes: pairs of a request's fingerprint and how often the target crashed while
        running it.
    :param start_wait_s: seconds until a cold target may get another request; 0.0 for at once.
    :param evacuation_version: the version of the last change of evacuations that the host
        knows.
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
    """What this node knows of one other host."""

    __slots__ = ("status", "heard_at", "probed_at", "suspected_at", "requests_since_status")

    def __init__(self):
        self.status = None
        self.heard_at = None
        # When the probe that still awaits its response was sent; None when there is none.
        self.probed_at = None
        # Since when the host is suspected of having failed; None when it is not.
        self.suspected_at = None
        # Requests that this node sent to the host since the host's last status, which doesn't
        # include them.
        self.requests_since_status = 0

    @property
    def pushes_load(self):
        """Whether the host pushes each change of its load."""
        return self.status.push_interval_s > 0

    def apply(self, status, now):
        """Apply a status if it is newer than the one held.

        :param status: the :class:`HostStatus`.
        :param now: seconds on the monotonic clock.
        :return: whether it was newer.
        """
        if self.status is not None and _status_order(status) <= _status_order(self.status):
            return False
        self.status = status
        self.heard_at = now
        self.probed_at = None
        self.suspected_at = None
        self.requests_since_status = 0
        return True

    def suspect(self, incarnation, now):
        """Suspect the host, unless this node received a status from it since the failed probes.

        :param incarnation: the incarnation of the process that did not respond.
        :param now: seconds on the monotonic clock.
        :return: whether the host was not suspected before and is now.
        """
        if self.suspected_at is not None or self.status.incarnation != incarnation:
            return False
        if now - self.heard_at < _SUSPICION_SILENCE_SECONDS:
            return False
        self.suspected_at = now
        return True

    def is_probe_overdue(self, now):
        """Tell whether the response to a probe is late.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self.probed_at is not None and now - self.probed_at > _PROBE_TIMEOUT_SECONDS

    def is_load_fresh(self, now):
        """Tell whether the load held is recent enough to compare hosts by.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self.pushes_load or now - self.heard_at <= FRESH_SECONDS

    def is_silent(self, now):
        """Tell whether the host is used only when no other one is usable.

        This holds for a host that is suspected, whose response to a probe is late, or that has
        stopped pushing.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        if self.suspected_at is not None or self.is_probe_overdue(now):
            return True
        return (
            self.pushes_load
            and now - self.heard_at > self.status.push_interval_s * _SILENT_INTERVALS
        )

    def is_gone(self, now):
        """Tell whether the host counts as failed and gets no requests at all.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        if self.suspected_at is not None and now - self.suspected_at > SUSPICION_SECONDS:
            return True
        max_silence = max(GONE_SECONDS, self.status.push_interval_s * _SILENT_INTERVALS)
        return self.pushes_load and now - self.heard_at > max_silence

    def is_usable(self, now):
        """Tell whether requests may be sent to the host's target.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self.status.accepting and bool(self.status.instance) and not self.is_gone(now)


def _encode_symbols(number, count):
    shifts = range((count - 1) * _SYMBOL_BITS, -1, -_SYMBOL_BITS)
    return "".join(_SYMBOLS[number >> shift & len(_SYMBOLS) - 1] for shift in shifts)


def _status_order(status):
    return status.incarnation, status.sequence
