"""Whom an entry node asks for the load of this moment before it sends a request.

Load pattern: some 80 hosts or more that get a few requests a second each, and whose speed changes
every 300 ms. Told of each change by all, a node takes in hundreds of statuses for a handful of
choices; told once a second, it sends one request in ten to a host that has slowed down since.
Asked at the moment of choice, three hosts answer within 2 to 10 ms with what is true now, two
requests in a hundred go to a slow host, and one that is frozen or cut off is found by its silence
before a request is lost there.
"""

from .placement import BROKEN_SHARE, has_room

# A status is as good as new for so long: a host's speed holds for some 300 ms.
FRESH_SECONDS = 0.04
# The two that looked best when last heard, and one more drawn from the next few: asked by all
# entry nodes, the best two alone would get the whole load of a moment. With a quarter of the hosts
# slow, three are all slow once in 64 choices.
_BEST_ASKED = 2
_DRAWN_FROM = 6
# When the first three are slow or full, three more; a third round finds seldom better.
MAX_ROUNDS = 2
# The answer of a near host takes 1 to 2 ms, that of one in another domain 4, and 5 to 10 where a
# host has half a core. The longest wait for the slowest of three is a sixteenth of 160 ms of work.
WAIT_SECONDS = 0.01
# As fast as a host is when no neighbour takes its processor, with room for the grain of its figure.
_FAST = 1.1


def whom_to_ask(candidates, asked, random):
    """Choose the hosts to ask before one of the candidates is taken.

    :param candidates: a request's :class:`~camphorshelf_core.placement.Candidate`, the best first.
    :param asked: addresses that were asked for this request already.
    :param random: the source of random numbers.
    :return: a list of addresses; empty when the best one is known well enough, or all were asked.
    """
    if not candidates or candidates[0].is_fresh:
        return []
    unknown = [
        one.address
        for one in candidates
        if one.is_sound and not one.is_fresh and one.address not in asked
    ]
    chosen, others = unknown[:_BEST_ASKED], unknown[_BEST_ASKED:_DRAWN_FROM]
    if others:
        chosen.append(random.choice(others))
    return chosen


def put_silent_last(candidates, asked):
    """Move those that have not answered behind all others.

    :param candidates: candidates, the best first.
    :param asked: addresses that were asked for this request.
    :return: the candidates in their new order.
    """
    return sorted(candidates, key=lambda one: one.address in asked and not one.is_fresh)


def is_good(view, domain, freshness):
    """Tell whether the answer of one host is good enough not to wait for the others'.

    The slowest of three answers after 5 to 10 ms on hosts with half a core, the first after 2;
    a near host that is fast and has a free slot is as good as any that may still answer.

    :param view: the :class:`~camphorshelf_core.hosts.HostView` of the host that has answered.
    :param domain: the own failure domain.
    :param freshness: the :class:`~camphorshelf_core.placement.Freshness` of statuses.
    :return: True or False.
    """
    status = view.status
    is_sound = status.failing < BROKEN_SHARE / 2 and status.warming_s == 0
    is_near_and_fast = status.domain == domain and status.slowness <= _FAST
    return is_sound and is_near_and_fast and has_room(view, freshness)
