"""Which process of the target runs beside the node, and whether it wants work.

A target's heartbeats may come late, out of order, or from a process before the present one; the
node itself may have been restarted beside a living target and know nothing. Acting on the wrong
one sends work to a target that has said it leaves.
"""

from typing import NamedTuple

_ENDED_KEPT = 64


class Heartbeat(NamedTuple):
    """What a target says of itself.

    :param instance: names the target's process.
    :param started_ms: when that process started, Unix milliseconds; None when it doesn't say.
    :param sequence: grows with each heartbeat of one process.
    :param service: its service's name.
    :param address: where it takes requests, as ``ip:port``.
    :param slots: how many requests it works on at once.
    :param leaving: whether it is about to end and wants no more work.
    :param warming_s: for how long it will be slow after its start.
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
    """The target's present process, as told by heartbeats and by the health path."""

    def __init__(self):
        self._instance = ""
        self._started_ms = None
        self._sequence = -1
        self._leaving = False
        self._confirmed = False
        self._doubted = False
        self._down = False
        self._ended = []
        self._warm_at = 0.0
        self.service = ""
        self.slots = 0

    @property
    def instance(self):
        """The id of the process that requests are for; empty when none is known."""
        return self._instance

    @property
    def started_ms(self):
        """When that process started, Unix milliseconds; None when it doesn't say."""
        return self._started_ms

    @property
    def leaving(self):
        """Whether it wants no more work."""
        return self._leaving

    @property
    def usable(self):
        """Whether requests may be handed to it."""
        known = self._instance and (self._confirmed or not self._doubted)
        return bool(known) and not self._leaving and not self._down

    @property
    def down(self):
        """Whether it does not take connections."""
        return self._down

    def warming_s(self, now):
        """Tell for how long it stays slow.

        :param now: seconds on the monotonic clock.
        :return: seconds.
        """
        return max(0.0, self._warm_at - now)

    def record_heartbeat(self, heartbeat, now):
        """Take in a heartbeat unless a newer one is known.

        :param heartbeat: the :class:`Heartbeat`.
        :param now: seconds on the monotonic clock.
        :return: whether it was taken in.
        """
        if self._is_older(heartbeat):
            return False
        if self._is_other_process(heartbeat):
            self._replace(heartbeat.instance)
            self._doubted = False
        elif self._doubted and self._sequence >= 0 and not heartbeat.leaving:
            # The health path said no when this node started. One heartbeat that says "ready"
            # may have been sent before that; the second was sent after it.
            self._confirmed = True
        self._instance = heartbeat.instance
        if heartbeat.started_ms is not None:
            self._started_ms = heartbeat.started_ms
        self._sequence = heartbeat.sequence
        self._leaving = heartbeat.leaving
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        self._warm_at = now + heartbeat.warming_s
        return True

    def record_leaving(self, instance, started_ms=None):
        """Take in that a process goes for good.

        :param instance: its id.
        :param started_ms: when it started, where it says so.
        :return: whether it is the present one.
        """
        if instance != self._instance and self._instance:
            self._note_ended(instance)
            return False
        if None not in (started_ms, self._started_ms) and started_ms < self._started_ms:
            return False
        self._instance = instance
        self._leaving = True
        return True

    def record_healthy(self, instance):
        """Take in that the health path answered well.

        A node that starts beside a living target learns the id from it, up to one heartbeat
        earlier.

        :param instance: the id in the answer.
        :return: whether it is another process than the one known.
        """
        self._down = False
        if self._instance == instance:
            self._doubted = False
            return False
        if instance in self._ended:
            return False
        self._replace(instance)
        self._doubted = False
        return True

    def record_unhealthy(self, instance):
        """Take in that the health path said no.

        A target that has been heard by heartbeat is believed by it: its health may be wrong.
        One that is not known yet may be leaving, and this node may have acknowledged that before
        it was restarted, so it gets no work until two heartbeats say that it stays.

        :param instance: the id in the answer, empty when it gave none.
        :return: None.
        """
        self._down = False
        if instance and instance != self._instance and instance not in self._ended:
            self._replace(instance)
            self._doubted = True

    def record_other_instance(self, instance):
        """Take in that the address answered for another process than the one asked for.

        :param instance: the id in the answer, empty when it gave none.
        :return: None.
        """
        if instance and instance != self._instance and instance not in self._ended:
            self._replace(instance)
            self._doubted = False

    def record_unreachable(self):
        """Take in that the target takes no connections.

        :return: None.
        """
        self._down = True

    def _is_older(self, heartbeat):
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
            self._note_ended(self._instance)
        if instance in self._ended:
            self._ended.remove(instance)
        self._instance = instance
        self._sequence = -1
        self._leaving = False
        self._confirmed = False
        self._down = False
        self._warm_at = 0.0

    def _note_ended(self, instance):
        if instance not in self._ended:
            self._ended = [*self._ended[1 - _ENDED_KEPT :], instance]
