"""Decides when an idempotent request in flight is hedged: sent to a second target as well.

A host may slow down while it runs a request, which the choice of the target can't foresee, and a
target may accept a request and never answer, which would keep the caller waiting until its
timeout. Hedges are charged to the retry budget, so they are sent when they are most likely to
help: at the last moment at which another target can still answer within the latency objective,
and again when the answer is long overdue.

``hedge.py`` times the hedges of the entry nodes' own interface by a latency quantile instead.
"""

# Margin on the second target's mean time that covers its usual variation.
_WORK_MARGIN = 1.3
# A hedge sent earlier than this multiple of the expected time mostly duplicates an answer that is
# about to arrive.
_EARLIEST_FACTOR = 1.25
# After this multiple of the expected time the request is presumed lost.
_PRESUMED_LOST_FACTOR = 3.0
_MIN_DELAY_SECONDS = 0.05


def hedge_delays(expected_s, work_s, objective_left_s, left_s):
    """Compute the delays after which hedging a request is considered.

    :param expected_s: the time in seconds that the first target was expected to take.
    :param work_s: the mean time of such a request in seconds at a slowness of 1.0.
    :param objective_left_s: what is left of the latency objective, in seconds.
    :param left_s: seconds until the request's timeout.
    :return: a tuple of delays from now in seconds, ascending; empty if a hedge is of no use.
    """
    delays_s = []
    latest_s = objective_left_s - work_s * _WORK_MARGIN
    earliest_s = max(_MIN_DELAY_SECONDS, expected_s * _EARLIEST_FACTOR)
    if latest_s >= earliest_s:
        delays_s.append(latest_s)
    lost_after_s = max(earliest_s, expected_s * _PRESUMED_LOST_FACTOR)
    if lost_after_s + work_s < left_s and (not delays_s or lost_after_s > delays_s[0]):
        delays_s.append(lost_after_s)
    return tuple(delays_s)
