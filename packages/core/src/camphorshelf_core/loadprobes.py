"""Which hosts an entry node probes for the load of this moment before it sends a request.

Load pattern: many hosts that get a few requests a second each, and whose speed changes several
times a second. Told of each change by all, a node takes in hundreds of statuses for a handful of
choices; told once a second, it sends many requests to hosts that have slowed down since. Probed at
the moment of choice, a few hosts say what is true now, and one that is frozen or cut off is found
by its silence before a request is lost there.
"""

from .placement import BROKEN_SHARE, has_room

# The two that looked best when last heard, and one more drawn from the next few: probed by all
# entry nodes, the best two alone would get the whole load of a moment.
_BEST_PROBED = 2
_DRAWN_FROM = 6
# When the first three are slow or full, three more are probed.
MAX_PROBE_ROUNDS = 2
# The longest that a choice waits for the answers to its probes.
PROBE_WAIT_SECONDS = 0.01
# As fast as a host is when no neighbour takes its processor, with room for the grain of its figure.
_FAST = 1.1


def choose_probes(candidates, probed, random):
    """Choose the hosts to probe before one of the candidates is taken.

    :param candidates: a request's :class:`~camphorshelf_core.placement.Candidate`, the best first.
    :param probed: addresses that were probed for this request already.
    :param random: the source of random numbers.
    :return: a list of addresses; empty when the best one is known well enough, or all were probed.
    """
    if not candidates or candidates[0].is_fresh:
        return []
    unknown = [
        one.address
        for one in candidates
        if one.is_sound and not one.is_fresh and one.address not in probed
    ]
    chosen, others = unknown[:_BEST_PROBED], unknown[_BEST_PROBED:_DRAWN_FROM]
    if others:
        chosen.append(random.choice(others))
    return chosen


def put_unanswered_last(candidates, probed):
    """Move those that have not answered behind all others.

    :param candidates: candidates, the best first.
    :param probed: addresses that were probed for this request.
    :return: the candidates in their new order.
    """
    return sorted(candidates, key=lambda one: one.address in probed and not one.is_fresh)


def is_sufficient(view, domain, now):
    """Tell whether the answer of one host is good enough not to wait for the others'.

    The slowest of three answers after 5 to 10 ms on hosts with half a core, the first after 2;
    a near host that is fast and has a free slot is as good as any that may still answer.

    :param view: the :class:`~camphorshelf_core.hosts.HostView` of the host that has answered.
    :param domain: the own failure domain.
    :param now: seconds on the monotonic clock.
    :return: True or False.
    """
    status = view.status
    is_sound = status.failure_ratio < BROKEN_SHARE / 2 and status.warming_s == 0
    is_near_and_fast = status.domain == domain and status.slowness <= _FAST
    return is_sound and is_near_and_fast and has_room(view, now)
