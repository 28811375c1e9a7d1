"""Ranks the targets of a service by the expected time to finish a request.

The expected time combines a target's current slowness, its usual speed and its queue. Balancing by
load alone would keep a slow host as busy as a fast one. Hosts differ in speed, slow down for short
periods because of noisy neighbours, and some fail a part of their requests.
"""

import math
from typing import NamedTuple

# Relative slowdown assumed for a full target, so that every target keeps free slots for a burst.
_FULL_TARGET_SLOWDOWN = 0.2
# Relative slowdown assumed for a target that has just started, for as long as its node reports.
_WARM_UP_SLOWDOWN = 2.0
# Weight of the failure ratio in a target's cost: a failed request costs its caller the answer, or
# a retry and the time of both attempts.
_FAILURE_WEIGHT = 4.0
# A target that fails this share of its requests or more is used only if no healthy one is left.
MAX_FAILURE_SHARE = 0.5
# Traffic between failure domains costs money. A local target with a free slot is preferred if its
# cost is within this share of the latency objective, since a faster remote target is then of no
# use to the caller. Otherwise the local target is preferred among equals.
_LOCAL_OBJECTIVE_SHARE = 0.5
_CROSS_DOMAIN_COST_FACTOR = 1.08
_CROSS_DOMAIN_SECONDS = 0.002
_RELATIVE_WORK_BOUNDS = (0.5, 12.0)
# A probed load that is older is ignored: default values apply until the host is probed again.
_MAX_LOAD_AGE_SECONDS = 0.6
_DEFAULT_SLOWNESS = 1.0
_COST_ROUNDING_FACTOR = 1.5
_MIN_COST_SECONDS = 0.001
# A target that pushes its load has room only if this many slots stay free beside the request's.
_SPARE_SLOTS = 1


class Candidate(NamedTuple):
    """A target that a request may be sent to.

    :param address: the address of its node for links between nodes.
    :param expected_s: the expected time to the answer, in seconds.
    :param cost_s: the expected time plus penalties for failures and for another failure domain,
        in seconds.
    :param wait_s: the part of the expected time spent waiting for a slot, in seconds.
    :param is_fresh: whether its reported load is current.
    :param is_healthy: whether its host was heard from recently and the target doesn't fail most of
        its requests.
    """

    address: str
    expected_s: float
    cost_s: float
    wait_s: float
    is_fresh: bool
    is_healthy: bool


def rank_targets(views, work_s, now, domain, objective_left_s):
    """Rank the targets of a service by cost; good local targets come first.

    :param views: the :class:`~camphorshelf_core.hosts.HostView` of the service's accepting hosts.
    :param work_s: the mean time of such a request in seconds at a slowness of 1.0.
    :param now: seconds on the monotonic clock.
    :param domain: the failure domain of this node.
    :param objective_left_s: what is left of the latency objective, in seconds.
    :return: a list of :class:`Candidate`, the best first.
    """
    usual_work_s = _median_work_s(views)
    local, healthy, unhealthy = [], [], []
    for view in views:
        status = view.status
        wait, run = estimate_times(view, work_s, usual_work_s, now)
        is_local = status.domain == domain
        expected = wait + run if is_local else wait + run + _CROSS_DOMAIN_SECONDS
        # Failures raise the cost and not the expected time: otherwise requests would seem late at
        # every target when all targets of a service fail a part of their requests.
        cost = (expected if is_local else expected * _CROSS_DOMAIN_COST_FACTOR) * (
            1 + _FAILURE_WEIGHT * status.failure_ratio
        )
        is_healthy = not view.is_silent(now) and status.failure_ratio < MAX_FAILURE_SHARE
        is_fresh = view.is_load_fresh(now)
        candidate = Candidate(status.address, expected, cost, wait, is_fresh, is_healthy)
        if not is_healthy:
            unhealthy.append(candidate)
        elif is_local and cost <= _LOCAL_OBJECTIVE_SHARE * objective_left_s and has_room(view, now):
            local.append(candidate)
        else:
            healthy.append(candidate)
    # Silent or failing targets come last: they may still answer, but a caller would risk waiting
    # for its timeout while a healthy target is available.
    for group in (healthy, unhealthy):
        group.sort(key=_by_cost)
    # Candidates with a fresh load come first: choosing a target that is known to be good saves
    # probing another that may be better.
    local.sort(key=_by_freshness)
    return local + healthy + unhealthy


def estimate_times(view, work_s, usual_work_s, now):
    """Estimate how long a request would wait and run at one target.

    :param view: the target's :class:`~camphorshelf_core.hosts.HostView`.
    :param work_s: the mean time of such a request in seconds at a slowness of 1.0.
    :param usual_work_s: the median over the service's targets of their mean request times, in
        seconds; 0.0 if unknown.
    :param now: seconds on the monotonic clock.
    :return: the waiting time and the running time, both in seconds.
    """
    status = view.status
    slowness = status.slowness if _is_load_known(view, now) else _DEFAULT_SLOWNESS
    relative_time = slowness
    if status.work_s > 0 and usual_work_s > 0:
        min_ratio, max_ratio = _RELATIVE_WORK_BOUNDS
        relative_time *= min(max_ratio, max(min_ratio, status.work_s / usual_work_s))
    if status.warming_s > 0:
        relative_time *= _WARM_UP_SLOWDOWN
    limit = max(1, status.limit)
    outstanding = _outstanding(view, now)
    mean_s = status.work_s or work_s
    wait = status.start_wait_s if _is_load_known(view, now) else 0.0
    if outstanding >= limit:
        wait = max(wait, (outstanding - limit + 1) / limit * mean_s * slowness)
    run = work_s * relative_time * (1 + _FULL_TARGET_SLOWDOWN * min(1.0, outstanding / limit))
    return wait, run


def shortest_start_wait(views, now):
    """Compute how long no target of a service may get another request.

    :param views: the :class:`~camphorshelf_core.hosts.HostView` of the service's accepting hosts.
    :param now: seconds on the monotonic clock.
    :return: seconds; 0.0 if some target has no limited rate, or none is known.
    """
    waits = [
        (
            max(0.0, view.status.start_wait_s - (now - view.heard_at))
            if _is_load_known(view, now)
            else 0.0
        )
        for view in views
    ]
    return min(waits, default=0.0)


def has_room(view, now):
    """Check whether a target has a free slot for one more request.

    :param view: the target's :class:`~camphorshelf_core.hosts.HostView`.
    :param now: seconds on the monotonic clock.
    :return: True or False.
    """
    # A pushed load may be 0.1 s old, and several entry nodes see the same free slot.
    spare = _SPARE_SLOTS if view.pushes_load else 0
    status = view.status
    is_open = status.accepting and status.start_wait_s <= 0
    return is_open and _outstanding(view, now) + spare < status.limit


def _is_load_known(view, now):
    return view.pushes_load or now - view.heard_at <= _MAX_LOAD_AGE_SECONDS


def _outstanding(view, now):
    if not _is_load_known(view, now):
        return 0
    return view.status.running + view.status.queued + view.requests_since_status


def _median_work_s(views):
    known = sorted(view.status.work_s for view in views if view.status.work_s > 0)
    # The median, so that one very slow target doesn't make the others look fast.
    return known[len(known) // 2] if known else 0.0


def _by_cost(candidate):
    if candidate.is_fresh:
        return candidate.cost_s
    # Without a fresh load, the cost is rounded up to a power of the factor. Similar targets then
    # keep their random order; otherwise all entry nodes would probe the same few.
    cost_s = max(_MIN_COST_SECONDS, candidate.cost_s)
    return _COST_ROUNDING_FACTOR ** math.ceil(math.log(cost_s, _COST_ROUNDING_FACTOR))


def _by_freshness(candidate):
    return not candidate.is_fresh, _by_cost(candidate)
