"""Where a request goes: to the target that will probably finish it first.

Load pattern: hosts shared with noisy neighbours, where a target slows down for short times, unlike
targets, and targets that fail some of their requests. Sending by load alone keeps a slow host as
busy as a fast one; here its slowness, its own pace and what waits there are put together into one
expected time.
"""

import math
from typing import NamedTuple

# How much slower a full target counts than an empty one, so that a burst finds room everywhere.
_CROWDING = 0.2
# How much slower a target counts that has just started; its node tells for how long.
_WARMING = 2.0
# A failed request costs its caller the answer, or another try and the time of both.
_FAILURE_WEIGHT = 4.0
# From here on a target gets no work while another one fails less.
BROKEN_SHARE = 0.5
# Traffic between failure domains is paid for. Where a near target has a free slot and answers well
# within the latency objective, a faster one elsewhere is of no use to the caller; otherwise the
# near one is preferred between equals.
_COMFORT = 0.5
_FAR_FACTOR = 1.08
_FAR_SECONDS = 0.002
_PACE_BOUNDS = (0.5, 12.0)
# A probed load that is older says nothing: the host counts as usual until it is probed again.
_LOAD_SECONDS = 0.6
_USUAL_SLOWNESS = 1.0
_COST_STEP = 1.5
_LEAST_COST_SECONDS = 0.001
# Slots that a target which pushes its load must have free beyond the one that is taken.
_SPARE_SLOTS = 1


class Candidate(NamedTuple):
    """A target that a request may be sent to.

    :param address: its node's address for links.
    :param expected_s: seconds to the answer, by what is known now.
    :param cost_s: the same with what else speaks against the target: the seconds that its failures
        and a distance that is paid for are worth.
    :param wait_s: the part of that which is spent waiting for a slot.
    :param is_fresh: whether its load is known as of this moment.
    :param is_sound: whether it was heard lately and does not fail most of its requests.
    """

    address: str
    expected_s: float
    cost_s: float
    wait_s: float
    is_fresh: bool
    is_sound: bool


def rank(views, work_s, now, domain, objective_left_s):
    """Order the targets of a service by the time to the answer, near ones that are good first.

    :param views: the :class:`~camphorshelf_core.hosts.HostView` of the service's accepting hosts.
    :param work_s: the mean time of such a request where the slowness is 1.0.
    :param now: seconds on the monotonic clock.
    :param domain: the own failure domain.
    :param objective_left_s: what is left of the latency objective, in seconds.
    :return: a list of :class:`Candidate`, the best first.
    """
    usual = _usual_work(views)
    near, sound, doubtful = [], [], []
    for view in views:
        status = view.status
        wait, run = estimate(view, work_s, usual, now)
        is_near = status.domain == domain
        expected = wait + run if is_near else wait + run + _FAR_SECONDS
        # A failing target still answers as fast as it ever does: what fails there must not make a
        # request look late everywhere when all targets of its service fail a part.
        cost = (expected if is_near else expected * _FAR_FACTOR) * (
            1 + _FAILURE_WEIGHT * status.failure_ratio
        )
        is_sound = not view.is_silent(now) and status.failure_ratio < BROKEN_SHARE
        is_fresh = view.is_load_fresh(now)
        candidate = Candidate(status.address, expected, cost, wait, is_fresh, is_sound)
        if not is_sound:
            doubtful.append(candidate)
        elif is_near and cost <= _COMFORT * objective_left_s and has_room(view, now):
            near.append(candidate)
        else:
            sound.append(candidate)
    # A silent or broken target may still answer, but a caller that is sent there while another
    # target is sound waits for its time-out.
    for group in (sound, doubtful):
        group.sort(key=_by_cost)
    # One that is known to be good now needs no probe of another that may be better.
    near.sort(key=_by_freshness)
    return near + sound + doubtful


def estimate(view, work_s, usual_work_s, now):
    """Foretell a request's time at one target.

    :param view: the target's :class:`~camphorshelf_core.hosts.HostView`.
    :param work_s: the mean time of such a request where the slowness is 1.0.
    :param usual_work_s: mean time of the service's requests at its targets; 0.0 unknown.
    :param now: seconds on the monotonic clock.
    :return: seconds of waiting and seconds of running.
    """
    status = view.status
    slowness = status.slowness if _is_load_known(view, now) else _USUAL_SLOWNESS
    pace = slowness
    if status.work_s > 0 and usual_work_s > 0:
        least, most = _PACE_BOUNDS
        pace *= min(most, max(least, status.work_s / usual_work_s))
    if status.warming_s > 0:
        pace *= _WARMING
    limit = max(1, status.limit)
    outstanding = _outstanding(view, now)
    mean = status.work_s or work_s
    wait = status.start_wait_s if _is_load_known(view, now) else 0.0
    if outstanding >= limit:
        wait = max(wait, (outstanding - limit + 1) / limit * mean * slowness)
    run = work_s * pace * (1 + _CROWDING * min(1.0, outstanding / limit))
    return wait, run


def has_room(view, now):
    """Tell whether a target has a free slot for one more request.

    :param view: its :class:`~camphorshelf_core.hosts.HostView`.
    :param now: seconds on the monotonic clock.
    :return: True or False.
    """
    # What is pushed may be a tenth of a second old, and several entry nodes see the same free slot.
    spare = _SPARE_SLOTS if view.pushes_load else 0
    status = view.status
    is_open = status.accepting and status.start_wait_s <= 0
    return is_open and _outstanding(view, now) + spare < status.limit


def _is_load_known(view, now):
    return view.pushes_load or now - view.heard_at <= _LOAD_SECONDS


def _outstanding(view, now):
    if not _is_load_known(view, now):
        return 0
    return view.status.running + view.status.queued + view.requests_since_status


def _usual_work(views):
    known = sorted(view.status.work_s for view in views if view.status.work_s > 0)
    # The median: one very slow target must not make the others look fast.
    return known[len(known) // 2] if known else 0.0


def _by_cost(candidate):
    if candidate.is_fresh:
        return candidate.cost_s
    # Unprobed targets that differ little count as equal and keep their random order: otherwise all
    # entry nodes would probe the same few.
    cost_s = max(_LEAST_COST_SECONDS, candidate.cost_s)
    return _COST_STEP ** math.ceil(math.log(cost_s, _COST_STEP))


def _by_freshness(candidate):
    return not candidate.is_fresh, _by_cost(candidate)
