"""Decides when a call goes on to another target instead of waiting for a slot.

Load pattern: load that shifts faster than reports travel. Without it a call queues behind a wrong
guess while another target has a slot free. But going on costs a round trip, so the entry node says
how long a call may wait at most: with short work and many slots the next slot is free before a
message has come back, and going on would be the slower choice.
"""

_SMOOTHING = 0.1
_FIRST_MS = 1.0
# Going on costs its round trip for certain, while the next target may be full as well.
_MARGIN = 1.5


class RoundTripEstimate:
    """The smoothed time of a message to another node and back."""

    def __init__(self):
        self._milliseconds = _FIRST_MS

    @property
    def milliseconds(self):
        """The smoothed time."""
        return self._milliseconds

    @property
    def longest_wait_ms(self):
        """How long a call may wait for a slot before it had better go on."""
        return self._milliseconds * _MARGIN

    def record(self, milliseconds):
        """Take in how long a message took that the other node answered at once.

        :param milliseconds: from sending to the answer.
        :return: None.
        """
        self._milliseconds += _SMOOTHING * (milliseconds - self._milliseconds)


def can_start_within(load, longest_wait_ms):
    """Tell whether a target has a slot for a call soon enough.

    :param load: the target's :class:`~camphorshelf_core.load.LoadReport` of this moment.
    :param longest_wait_ms: how long the call may wait, None for as long as its deadline allows.
    :return: True or False.
    """
    if longest_wait_ms is None:
        return True
    if load.in_flight < load.slots and not load.queued:
        return True
    wait = (load.queued + 1) * load.latency_ms / max(load.slots, 1)
    return wait <= longest_wait_ms
