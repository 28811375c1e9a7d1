"""When an idempotent request in flight is hedged: sent to a second target as well.

Load pattern: a host that slows down under work it has already begun, for some 300 ms at a time,
and a target that loses a request and never answers. The choice of the target cannot foresee the
one, and the caller would wait out its whole time for the other. A hedge is charged to the retry
budget, so it is sent when it is most likely to help: at the last moment at which another target
can still answer within the latency objective, and again when the answer is long overdue.

The latency quantile that times the hedges of the product's own interface is in ``hedge.py``.
"""

# The other target's time is a mean; with a third more, four of five requests are in time.
_WORK_MARGIN = 1.3
# Sooner, the answer is probably just on its way: with a spread of 0.3 of the work four of five
# have come by then.
_EARLIEST_FACTOR = 1.25
# Past this many times the expected time the request has most likely been lost.
_LOST_FACTOR = 3.0
_MIN_DELAY_SECONDS = 0.05


def hedge_delays(expected_s, work_s, objective_left_s, left_s):
    """Tell when to consider hedging a request.

    :param expected_s: seconds that the first target was expected to take.
    :param work_s: mean time of such a request where the slowness is 1.0.
    :param objective_left_s: what is left of the latency objective, in seconds.
    :param left_s: seconds until nobody waits for it any more.
    :return: a tuple of seconds from now, in order; empty when a hedge is of no use.
    """
    delays = []
    last_moment = objective_left_s - work_s * _WORK_MARGIN
    earliest = max(_MIN_DELAY_SECONDS, expected_s * _EARLIEST_FACTOR)
    if last_moment >= earliest:
        delays.append(last_moment)
    lost = max(earliest, expected_s * _LOST_FACTOR)
    if lost + work_s < left_s and (not delays or lost > delays[0]):
        delays.append(lost)
    return tuple(delays)
