"""Decides which target takes a call."""

import itertools
from typing import NamedTuple


class Candidate(NamedTuple):
    """What an entry node knows of one target."""

    target: str
    address: str
    failure_domain: str
    own_in_flight: int
    reported_in_flight: int
    slots: int
    leaving: bool = False


def make_policy(settings, failure_domain, random):
    """Make the function that chooses a target.

    :param settings: the :class:`~camphorshelf_core.settings.EntrySettings`.
    :param failure_domain: the entry node's own.
    :param random: a ``random.Random``.
    :return: a function from the candidates to the chosen one, or None.
    """
    rank = _make_rank(settings.policy, random)

    def choose(candidates):
        usable = [candidate for candidate in candidates if not candidate.leaving]
        return rank(usable) if usable else None

    return choose


def _make_rank(policy, random):
    counter = itertools.count()
    if policy == "random":
        return random.choice
    if policy == "round_robin":
        return lambda usable: usable[next(counter) % len(usable)]
    if policy == "least_reported":
        return lambda usable: min(usable, key=lambda one: one.reported_in_flight)
    return lambda usable: min(random.sample(usable, min(2, len(usable))), key=_load)


def _load(candidate):
    return (candidate.own_in_flight + candidate.reported_in_flight) / max(candidate.slots, 1)
