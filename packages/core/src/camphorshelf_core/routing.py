"""Decides which target takes a call."""

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


def choose_target(candidates, failure_domain, random):
    """Pick the less loaded of two random candidates.

    :param candidates: the targets of the service.
    :param failure_domain: the entry node's own.
    :param random: a ``random.Random``.
    :return: the chosen :class:`Candidate`, or None when none takes work.
    """
    usable = [candidate for candidate in candidates if not candidate.leaving]
    if not usable:
        return None
    pair = random.sample(usable, min(2, len(usable)))
    return min(pair, key=_load)


def _load(candidate):
    return (candidate.own_in_flight + candidate.reported_in_flight) / max(candidate.slots, 1)
