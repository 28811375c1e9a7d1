"""Simple routing policies that the scenarios compare ours with (setting ``entry.policy``)."""

import itertools

from .routing import Choice, make_policy, usable_candidates


def make_chosen_policy(settings, failure_domain, random):
    """Make the policy that the settings name.

    :param settings: the :class:`~camphorshelf_core.settings.EntrySettings`.
    :param failure_domain: the entry node's own.
    :param random: a ``random.Random``.
    :return: a function as from :func:`~camphorshelf_core.routing.make_policy`.
    """
    if settings.policy == "ours":
        return make_policy(settings, failure_domain, random)
    pick = _PICKS[settings.policy](random)

    def choose(candidates, exclude=()):
        # A simple policy knows nothing of health: that is one of the parts it is compared with.
        unaware = [one._replace(ejected=False) for one in candidates]
        usable = usable_candidates(unaware, exclude)
        if not usable:
            return None
        return Choice(pick(usable), 0.0, 0.0, False, settings.policy)

    return choose


def _make_random(random):
    return random.choice


def _make_round_robin(random):
    turns = itertools.count(random.randrange(1_000))
    return lambda usable: usable[next(turns) % len(usable)]


def _make_least_reported(random):
    # Others plus own calls at the time of the report, at face value whatever its age.
    return lambda usable: min(usable, key=lambda one: (one.reported, random.random()))


_PICKS = {
    "random": _make_random,
    "round_robin": _make_round_robin,
    "least_reported": _make_least_reported,
}
