"""When an idempotent request in flight is hedged: sent to a second target as well.

Load pattern: a host that slows down under work it has already begun, and a target that accepts a
request and never answers. The choice of the target cannot foresee the one, and the caller would
wait until its timeout for the other. A hedge is charged to the retry budget, so it is sent when it
is most likely to help: at the last moment at which another target can still answer within the
latency objective, and again when the answer is long overdue.

The latency quantile that times the hedges of the product's own interface is in ``hedge.py``.
"""

# The other target's time is a mean; this covers its usual spread.
_WORK_MARGIN = 1.3
# A hedge sooner than this mostly duplicates an answer that is about to arrive.
_EARLIEST_FACTOR = 1.25
# Past this many times the expected time the request is presumed lost.
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
