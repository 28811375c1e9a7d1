"""When an idempotent request that is under way is given to a second target as well.

Load pattern: a host that slows down under work it has already begun, for some 300 ms at a time,
and a target that loses a request and never answers. The choice of the target cannot foresee the
one, and the caller would wait out its whole time for the other. A second run is paid for from the
budget of retries, so it is asked for when it is most likely to help: at the last moment at which
another target can still answer within the goal, and again when the answer is long overdue.

What it protects most is the lookup at a target that never answers.
"""

# The other target's time is a mean; with a third more, four of five requests are in time.
_MARGIN = 1.3
# Sooner, the answer is probably just on its way: with a spread of 0.3 of the work four of five
# have come by then.
_USUAL_FACTOR = 1.25
# Past this many times the expected time the request has most likely been lost.
_LOST_FACTOR = 3.0
_LEAST_SECONDS = 0.05


def second_try_times(expected_s, work_s, goal_left_s, left_s):
    """Tell when to look whether a second target should get a request.

    :param expected_s: seconds that the first target was expected to take.
    :param work_s: mean time of such a request where the slowness is 1.0.
    :param goal_left_s: seconds until the answer is due.
    :param left_s: seconds until nobody waits for it any more.
    :return: a tuple of seconds from now, in order; empty when it is of no use.
    """
    times = []
    last_moment = goal_left_s - work_s * _MARGIN
    soonest = max(_LEAST_SECONDS, expected_s * _USUAL_FACTOR)
    if last_moment >= soonest:
        times.append(last_moment)
    lost = max(soonest, expected_s * _LOST_FACTOR)
    if lost + work_s < left_s and (not times or lost > times[0]):
        times.append(lost)
    return tuple(times)
