"""Chooses how long a caller that was refused by an entry node should wait before it retries.

Handles saturation, where many callers are refused within a moment. With the same delay for all of
them the burst would repeat, and for most callers a retry after their latency objective is useless.
So each gets a random delay within the time that its objective leaves.
"""

# In less time than this the load hardly changes.
_MIN_SECONDS = 0.04
# Without any target a caller can only wait for one to return; keeps callers from polling in a loop.
_NO_TARGET_SECONDS = 0.25
_MAX_SECONDS = 1.0
# Keeps the callers of an organisation over its quota from polling in a loop.
_MIN_QUOTA_SECONDS = 0.1
# How long a node takes to start again.
_RESTART_SECONDS = 1.0
# A target that sheds requests at random, and not for lack of a slot, may accept a retry right away.
_SHED_SECONDS = 0.01


def retry_after_shed(random):
    """Choose the delay for a caller whose request was shed by the target itself.

    Handles a service whose targets all shed a part of their requests, whatever their load. Retries
    by nodes draw on one budget for all services; retries by the caller don't use it up.

    :param random: the source of random numbers.
    :return: seconds.
    """
    return random.uniform(0.5, 1.5) * _SHED_SECONDS


def retry_after_quota(wait_s, random):
    """Choose the delay for a caller whose organisation is over its quota.

    Handles an organisation that sends many times its quota. Its callers are refused within a
    moment, and most retries that come before the quota has filled again are in vain.

    :param wait_s: the time until the quota's owner expects a token, in seconds.
    :param random: the source of random numbers.
    :return: seconds.
    """
    return min(_MAX_SECONDS, max(wait_s, _MIN_QUOTA_SECONDS)) * random.uniform(1.0, 3.0)


def retry_after_stop(exit_s, random):
    """Choose the delay for a caller that was refused by a node that stops.

    Handles callers that can only use the node on their own host. Until that has started again, each
    retry would be refused; afterwards all of them would come at once.

    :param exit_s: the time until the node exits at the latest, in seconds.
    :param random: the source of random numbers.
    :return: seconds.
    """
    return max(0.0, exit_s) + random.uniform(0.5, 1.5) * _RESTART_SECONDS


def retry_after(wait_s, objective_left_s, work_s, random, start_wait_s=0.0):
    """Choose the delay for a caller whose request was refused by this node.

    Until a target may get another request, a retry would only be refused again, even if that takes
    longer than the latency objective.

    :param wait_s: the shortest queueing delay of all targets, in seconds; None without a target.
    :param objective_left_s: the time left of the caller's latency objective, in seconds.
    :param work_s: how long such a request usually runs, in seconds.
    :param random: the source of random numbers.
    :param start_wait_s: the shortest time until a target with a limited rate may get another
        request, in seconds; 0.0 if there is a target without a limit.
    :return: seconds.
    """
    if start_wait_s > 0:
        start_wait_s *= random.uniform(1.0, 1.5)
    return max(start_wait_s, _retry_for_slot(wait_s, objective_left_s, work_s, random))


def _retry_for_slot(wait_s, objective_left_s, work_s, random):
    if wait_s is None:
        return random.uniform(0.5, 1.0) * _NO_TARGET_SECONDS
    slack_s = objective_left_s - work_s * 1.5
    if slack_s > _MIN_SECONDS:
        # The retry meets its objective, and most of the queued requests have gone by then.
        return random.uniform(_MIN_SECONDS, max(_MIN_SECONDS, min(slack_s, wait_s * 1.5)))
    return min(_MAX_SECONDS, random.uniform(0.5, 1.5) * max(wait_s, _MIN_SECONDS))
