"""Simple routing policies to compare the default one with (setting ``entry.policy``)."""

import itertools

from .routing import Choice, make_policy, usable_candidates


def make_chosen_policy(settings, failure_domain, random):
    """Return the policy that is named in the settings.

    :param settings: the :class:`~camphorshelf_core.settings.EntrySettings`.
    :param failure_domain: the entry node's own failure domain.
    :param random: a ``random.Random``.
    :return: a function like the one that :func:`~camphorshelf_core.routing.make_policy` returns.
    """
    if settings.policy == "ours":
        return make_policy(settings, failure_domain, random)
    pick = _PICK_FACTORIES[settings.policy](random)

    def choose(candidates, exclude=()):
        # The baselines ignore ejections: ejection is part of what they are compared with.
        unfiltered = [candidate._replace(ejected=False) for candidate in candidates]
        usable = usable_candidates(unfiltered, exclude)
        if not usable:
            return None
        return Choice(pick(usable), 0.0, 0.0, False, settings.policy)

    return choose


def _make_random(random):
    return random.choice


def _make_round_robin(random):
    counter = itertools.count(random.randrange(1_000))
    return lambda usable: usable[next(counter) % len(usable)]


def _make_least_reported(random):
    # The reported load counts in full, however old the report is.
    return lambda usable: min(
        usable, key=lambda candidate: (candidate.reported_calls, random.random())
    )


_PICK_FACTORIES = {
    "random": _make_random,
    "round_robin": _make_round_robin,
    "least_reported": _make_least_reported,
}
