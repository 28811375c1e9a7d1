"""Decides when a queued request should leave a target's queue and go to another target.

It answers long work among short work at targets with few slots. When both slots of a target are
taken by requests that run seven times as long as usual, or the target slows down to a quarter of
its speed, the requests in its queue wait for what may be half a second while slots of other targets
become free. A request that has waited longer than it was expected to is probably behind such work.
At a target with many slots one of them becomes free soon in any case.
"""

from .loadprobes import FEW_SLOTS

_WAIT_FACTOR = 1.5
_MIN_SECONDS = 0.015


def patience_s(wait_s, slots):
    """Compute how long a request stays in the queue before it should go elsewhere.

    :param wait_s: how long it was expected to wait when it was queued, in seconds.
    :param slots: the number of the target's slots.
    :return: seconds; None to stay until the request is started or too late.
    """
    return _WAIT_FACTOR * wait_s + _MIN_SECONDS if slots <= FEW_SLOTS else None
