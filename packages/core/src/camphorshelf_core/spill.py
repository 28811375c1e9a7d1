"""Decides when a call is sent on to another target ("spilled") instead of waiting for a slot.

Load can change faster than reports arrive, so a call may be queued at a busy target while another
one has a free slot. A spill costs a round trip, however: with short calls and many slots the next
slot is free before that. The entry node therefore sends the maximum wait with the call.
"""

_SMOOTHING = 0.1
_INITIAL_ROUND_TRIP_MS = 1.0
# More than one, because a spill always costs a round trip and the next target may be full as well.
_MAX_WAIT_ROUND_TRIPS = 1.5


class RoundTripEstimate:
    """The smoothed round-trip time to other nodes."""

    def __init__(self):
        self._milliseconds = _INITIAL_ROUND_TRIP_MS

    @property
    def milliseconds(self):
        """The smoothed round-trip time in milliseconds."""
        return self._milliseconds

    @property
    def longest_wait_ms(self):
        """How long a call may wait for a slot before it is spilled, in milliseconds."""
        return self._milliseconds * _MAX_WAIT_ROUND_TRIPS

    def record(self, milliseconds):
        """Record the round-trip time of a message that was answered without waiting.

        :param milliseconds: the time from sending the message to its answer.
        :return: None.
        """
        self._milliseconds += _SMOOTHING * (milliseconds - self._milliseconds)


def can_start_within(load, longest_wait_ms):
    """Check whether a target is expected to have a free slot for a call in time.

    :param load: the current :class:`~camphorshelf_core.load.LoadReport` of the target.
    :param longest_wait_ms: how long the call may wait, in milliseconds; None if only its deadline
        limits the wait.
    :return: True or False.
    """
    if longest_wait_ms is None:
        return True
    if load.in_flight < load.slots and not load.queued:
        return True
    wait = (load.queued + 1) * load.latency_ms / max(load.slots, 1)
    return wait <= longest_wait_ms
