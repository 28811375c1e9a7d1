"""Waits until peers have received what a stopping node has written to them."""

_POLL_SECONDS = 0.05
# A peer that has acknowledged nothing for this long is not waited for.
_STALL_SECONDS = 1.0


def wait_for_delivery(loop, measure, deadline, on_done):
    """Wait until nothing is left to deliver, while what is left changes.

    A write ends when the kernel has accepted the data. If the process exits before the peer's host
    has acknowledged it, and the peer sends anything after that, the kernel answers with a reset and
    drops the rest of the data.

    :param loop: the node's loop.
    :param measure: returns what is left: a number, 0 when nothing is.
    :param deadline: when to stop waiting, in seconds on the loop's clock.
    :param on_done: called without arguments.
    :return: None.
    """
    left, changed_at = measure(), loop.now()

    def check():
        nonlocal left, changed_at
        now, before, left = loop.now(), left, measure()
        if left != before:
            changed_at = now
        if left and now < deadline and now - changed_at < _STALL_SECONDS:
            loop.call_later(_POLL_SECONDS, check)
        else:
            on_done()

    check()
