"""After which delay a refused caller should retry (Retry-After), with jitter.

Load pattern: saturation, where many callers are refused within a moment. With the same delay for
all of them the burst would repeat; a retry past their latency objective is of no use to most. So
each gets a random delay within what its objective leaves.
"""

# Earlier than this the load has hardly changed.
_MIN_SECONDS = 0.04
# Without a target there is nothing to wait for but its return; keeps callers from asking in a loop.
_NO_TARGET_SECONDS = 0.25
_MAX_SECONDS = 1.0
# A target that sheds at random, not for want of a slot, may take the request a moment later.
_SHED_SECONDS = 0.01


def retry_after_shed(random):
    """Choose the delay for a caller whose request the target itself shed.

    Load pattern: a service whose targets all shed a part of what they get, whatever their load.
    Retries between nodes are bounded for all services together; what a caller sends again isn't.

    :param random: the source of random numbers.
    :return: seconds.
    """
    return random.uniform(0.5, 1.5) * _SHED_SECONDS


def retry_after(wait_s, objective_left_s, work_s, random):
    """Choose the delay for a caller that this node refused.

    :param wait_s: the shortest queueing delay that any target expected; None without a target.
    :param objective_left_s: what is left of the caller's latency objective, in seconds.
    :param work_s: how long its work usually runs.
    :param random: the source of random numbers.
    :return: seconds.
    """
    if wait_s is None:
        return random.uniform(0.5, 1.0) * _NO_TARGET_SECONDS
    spare = objective_left_s - work_s * 1.5
    if spare > _MIN_SECONDS:
        # In time for its objective, when what waits now has mostly gone.
        return random.uniform(_MIN_SECONDS, max(_MIN_SECONDS, min(spare, wait_s * 1.5)))
    return min(_MAX_SECONDS, random.uniform(0.5, 1.5) * max(wait_s, _MIN_SECONDS))
