"""Tracks which process of the target runs beside the node, and whether it accepts work.

Heartbeats of a target may arrive late, out of order or from an earlier process, and the node may
have been restarted beside a running target and know nothing of it. Relying on the wrong process
would send requests to a target that has announced that it is leaving.
"""

import math
from typing import NamedTuple

_MAX_ENDED = 64
# A heartbeat that was sent may be held up on its way for this long.
_MAX_HEARTBEAT_DELAY_SECONDS = 10.0


class Heartbeat(NamedTuple):
    """A target's periodic report to the node beside it.

    :param instance: the id of the target's process.
    :param started_ms: when that process started, in Unix milliseconds; None when not given.
    :param sequence: increases with each heartbeat of one process.
    :param service: the name of the target's service.
    :param address: where the target accepts requests, as ``ip:port``.
    :param slots: how many requests the target runs at the same time.
    :param leaving: whether the process is about to end and accepts no more work.
    :param warming_s: for how many more seconds the process is slow after its start.
    """

    instance: str
    started_ms: int | None
    sequence: int
    service: str
    address: str
    slots: int
    leaving: bool
    warming_s: float


class InstanceRecord:
    """The target's current process, as known from heartbeats and from the health path.

    :param started_at: when the node's process started, in seconds on the monotonic clock.
    """

    def __init__(self, started_at=-math.inf):
        self._started_at = started_at
        self._instance = ""
        self._started_ms = None
        self._sequence = -1
        self._leaving = False
        # Whether the process has said that it leaves by other means than its heartbeats. Heartbeats
        # that were sent before that may arrive later, and have no order relative to it.
        self._leaves_for_good = False
        # Whether a second heartbeat has overruled an unhealthy response of the health path.
        self._confirmed = False
        # Whether the process was first seen in an unhealthy response and has sent no healthy one.
        self._unhealthy = False
        # Whether the process is known to be of the node's service, which only heartbeats name.
        self._is_announced = False
        # Ids of processes whose heartbeats name another service, oldest first.
        self._foreign = []
        self._down = False
        # Ids of other processes that were replaced or have announced their end, oldest first.
        self._ended = []
        self._warm_at = 0.0
        self.service = ""
        self.slots = 0

    @property
    def instance(self):
        """The id of the current process; empty when none is known."""
        return self._instance

    @property
    def started_ms(self):
        """When the current process started, in Unix milliseconds; None when not given."""
        return self._started_ms

    @property
    def leaving(self):
        """Whether the process has announced that it is about to end and accepts no more work."""
        return self._leaving

    @property
    def leaves_for_good(self):
        """Whether the process has deregistered or has said in a response that it leaves."""
        return self._leaves_for_good

    @property
    def usable(self):
        """Whether requests may be sent to the process."""
        known = self._instance and (self._confirmed or not self._unhealthy)
        return bool(known) and self._is_announced and not self._leaving and not self._down

    @property
    def down(self):
        """Whether the target accepts no connections."""
        return self._down

    @property
    def process(self):
        """The id of the current process and when it started, for :meth:`is_current`."""
        return self._instance, self._started_ms

    def is_current(self, process):
        """Tell whether a process is still the current one.

        :param process: a former value of :attr:`process`.
        :return: True or False.
        """
        instance, started_ms = process
        is_same_start = None in (started_ms, self._started_ms) or started_ms == self._started_ms
        return instance == self._instance and is_same_start

    def warming_s(self, now):
        """Compute for how long the process stays slow after its start.

        :param now: seconds on the monotonic clock.
        :return: seconds.
        """
        return max(0.0, self._warm_at - now)

    def record_heartbeat(self, heartbeat, now):
        """Record a heartbeat unless a newer one is known.

        :param heartbeat: the :class:`Heartbeat`.
        :param now: seconds on the monotonic clock.
        :return: whether it was recorded.
        """
        if self._is_outdated(heartbeat):
            return False
        if self._is_other_process(heartbeat):
            self._replace(heartbeat.instance)
            self._unhealthy = False
        elif self._unhealthy and self._sequence >= 0 and not heartbeat.leaving:
            self._confirmed = self._confirmed or self._is_sent_after_start(now)
        self._instance = heartbeat.instance
        self._is_announced = True
        if heartbeat.started_ms is not None:
            self._started_ms = heartbeat.started_ms
        self._sequence = heartbeat.sequence
        self._leaving = heartbeat.leaving or self._leaves_for_good
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        self._warm_at = now + heartbeat.warming_s
        return True

    def record_foreign(self, instance):
        """Record that a process has sent a heartbeat that names another service.

        :param instance: the process's id.
        :return: None.
        """
        self._foreign = [*self._foreign[1 - _MAX_ENDED :], instance]
        if instance == self._instance:
            self._is_announced = False

    def record_leaving(self, instance, started_ms=None):
        """Record that a process has deregistered or has said in a response that it is about to end.

        :param instance: the process's id.
        :param started_ms: when the process started, in Unix milliseconds; None when not given.
        :return: whether it is the current process.
        """
        if instance != self._instance and self._instance:
            self._add_ended(instance)
            return False
        if None not in (started_ms, self._started_ms) and started_ms < self._started_ms:
            return False
        self._instance = instance
        self._leaving = True
        self._leaves_for_good = True
        return True

    def record_healthy(self, instance):
        """Record a healthy response of the health path.

        A node that starts beside a running target learns the process's id from this response, up to
        one heartbeat interval before the next heartbeat. Later on, a process that replaces a known
        one gets no work before its first heartbeat: the address of a process that has ended may be
        assigned to one of another service.

        :param instance: the id in the response.
        :return: whether it names another process than the one known.
        """
        self._down = False
        if self._instance == instance:
            self._unhealthy = False
            return False
        if instance in self._ended:
            return False
        self._replace(instance)
        self._unhealthy = False
        return True

    def record_unhealthy(self, instance):
        """Record an unhealthy response of the health path.

        For a process that is already known, heartbeats take precedence: its health check may be
        wrong. A process that is not known yet may be leaving, and this node may have acknowledged
        that before its own restart. So the process gets no work until a second heartbeat, which was
        certainly sent after that restart, says that it is not leaving.

        :param instance: the id in the response; empty when the response has none.
        :return: None.
        """
        self._down = False
        if instance and instance != self._instance and instance not in self._ended:
            self._replace(instance)
            self._unhealthy = True

    def record_other_instance(self, instance):
        """Record that another process than the current one responded at the target's address.

        :param instance: the id in the response; empty when the response has none.
        :return: None.
        """
        if instance and instance != self._instance and instance not in self._ended:
            self._replace(instance)
            self._unhealthy = False

    def record_unreachable(self):
        """Record that the target accepts no connections.

        :return: None.
        """
        self._down = True

    def _is_sent_after_start(self, now):
        # Only the node's earlier process can have acknowledged that the target leaves. A heartbeat
        # that was sent after the start is not outdated by that.
        return now - self._started_at >= _MAX_HEARTBEAT_DELAY_SECONDS

    def _is_outdated(self, heartbeat):
        if heartbeat.instance in self._ended:
            return None in (heartbeat.started_ms, self._started_ms) or (
                heartbeat.started_ms <= self._started_ms
            )
        if None not in (heartbeat.started_ms, self._started_ms):
            if heartbeat.started_ms != self._started_ms:
                return heartbeat.started_ms < self._started_ms
        return heartbeat.instance == self._instance and heartbeat.sequence <= self._sequence

    def _is_other_process(self, heartbeat):
        if heartbeat.instance != self._instance:
            return True
        known = None not in (heartbeat.started_ms, self._started_ms)
        return known and heartbeat.started_ms != self._started_ms

    def _replace(self, instance):
        if self._instance and self._instance != instance:
            self._add_ended(self._instance)
        if instance in self._ended:
            self._ended.remove(instance)
        self._is_announced = not self._instance and instance not in self._foreign
        self._instance = instance
        self._sequence = -1
        self._leaving = False
        self._leaves_for_good = False
        self._confirmed = False
        self._down = False
        self._warm_at = 0.0

    def _add_ended(self, instance):
        if instance not in self._ended:
            self._ended = [*self._ended[1 - _MAX_ENDED :], instance]
