"""Decides which target takes a call.

Load patterns: load that shifts faster than reports travel, one slow target among good ones, a
target that fails at once and so looks idle, and a failure domain that gets more than its share.
Without it (see ``baselines``) a slow target keeps its full share of the calls, a failing one
attracts even more, and entry nodes that believe the same old report send to the same target.

Each target gets a score: the milliseconds that a call is expected to take there. The score is
made of signals with their ages; the best of a few random targets wins, so that entry nodes with
the same view still spread out.
"""

from typing import NamedTuple

# Latencies of healthy targets differ by chance, more so with long work among short. Below this
# ratio to the median they count as equal; else calls would chase noise from target to target.
_NOISE_RATIO = 1.5
# What an old measurement of slowness loses in trust per this many seconds: long enough that a
# slow target gets one trial call every few seconds, not a share of the work.
_LATENCY_HALF_LIFE = 5.0
# A call sent to a busy but not full target shares its processor; this is the weight of that.
_SHARING = 0.5
# How many times its latency a failing call costs, as it has to be made again elsewhere.
_FAILURE_COST = 8.0
_FALLBACK_LATENCY_MS = 1.0


class Candidate(NamedTuple):
    """What an entry node knows of one target; ages are seconds, None where nothing is known.

    ``weight`` is the share of its slots that the target should carry: the operators' weight
    times its ramp after a start or return. ``failure_share`` is that of its recent answers.
    """

    target: str
    address: str
    failure_domain: str
    slots: int
    own_in_flight: int = 0
    others_in_flight: float = 0.0
    reported: int = 0
    report_age: float | None = None
    reported_latency_ms: float | None = None
    own_latency_ms: float | None = None
    own_latency_age: float = 0.0
    overdue: int = 0
    failure_share: float = 0.0
    weight: float = 1.0
    leaving: bool = False
    ejected: bool = False


class Choice(NamedTuple):
    """The chosen target and what spoke for it."""

    candidate: Candidate
    score: float
    expected_ms: float
    has_free_slot: bool
    reason: str


def make_policy(settings, failure_domain, random):
    """Make the function that chooses a target.

    :param settings: the :class:`~camphorshelf_core.settings.EntrySettings`.
    :param failure_domain: the entry node's own.
    :param random: a ``random.Random``.
    :return: a function from the candidates and the names to leave out to a :class:`Choice`,
        or None when no target takes work.
    """

    def choose(candidates, exclude=()):
        usable = usable_candidates(candidates, exclude)
        if not usable:
            return None
        typical = typical_latency(candidates)
        half_life = settings.report_half_life * typical / 1000
        crowd = mean_others_in_flight(candidates, half_life)

        def score(candidate):
            cost = expected_ms(candidate, typical, crowd, half_life)
            if candidate.failure_domain != failure_domain:
                cost += settings.domain_cost_ms
            return cost

        drawn = sample_targets(usable, failure_domain, settings.choices, random)
        # In random order: equal scores are common when idle, and the first one drawn wins.
        random.shuffle(drawn)
        best = min(drawn, key=score)
        load = estimate_in_flight(best, crowd, half_life)
        return Choice(
            candidate=best,
            score=score(best),
            expected_ms=typical,
            has_free_slot=load + 1 <= best.slots * best.weight,
            reason=f"best of {len(drawn)} drawn from {len(usable)}",
        )

    return choose


def sample_targets(known, failure_domain, count, random):
    """Draw some targets at random, half of them near where there are as many.

    The near ones are looked at each time, and the far ones often enough to take the spill before
    the near ones are full.

    :param known: candidates or members.
    :param failure_domain: the entry node's own.
    :param count: how many to sample_targets.
    :param random: a ``random.Random``.
    :return: a new list.
    """
    if len(known) <= count:
        return list(known)
    near = [one for one in known if one.failure_domain == failure_domain]
    drawn = random.sample(near, min(len(near), count // 2))
    taken = set(map(id, drawn))
    rest = [one for one in known if id(one) not in taken]
    return drawn + random.sample(rest, count - len(drawn))


def usable_candidates(candidates, exclude=()):
    """Leave out the targets that take no work now.

    Ejected targets are left out only while others remain: a call that fails at an ejected
    target is no worse than one that is refused for want of any.

    :param candidates: all candidates of the service.
    :param exclude: names of targets tried before.
    :return: a list.
    """
    willing = [
        one
        for one in candidates
        if not one.leaving and one.weight > 0 and one.target not in exclude
    ]
    healthy = [one for one in willing if not one.ejected]
    return healthy or willing


def typical_latency(candidates):
    """Find the median latency of the service's targets.

    The median, not the least: a target that fails or lies its way to a tiny latency must not
    make all others look slow.

    :param candidates: all candidates of the service.
    :return: milliseconds.
    """
    known = sorted(filter(None, (_latency(one) for one in candidates if not one.ejected)))
    if len(known) == 2:
        # One of the two may be the slow one, and must not set the measure.
        return known[0]
    return known[len(known) // 2] if known else _FALLBACK_LATENCY_MS


def mean_others_in_flight(candidates, half_life):
    """Find how many calls of others a target has on average, fresh reports counting more.

    :param candidates: all candidates of the service.
    :param half_life: seconds in which a report loses half its weight.
    :return: a number of calls.
    """
    total = weights = 0.0
    for one in candidates:
        trust = _trust(one.report_age, half_life)
        total += trust * one.others_in_flight
        weights += trust
    return total / weights if weights > 1e-9 else 0.0


def estimate_in_flight(candidate, crowd, half_life):
    """Estimate a target's calls of this moment.

    As a report ages the estimate moves from what it said to the service's average: an old
    report then neither attracts nor repels, and no herd forms around it.

    :param candidate: the target.
    :param crowd: the average from :func:`mean_others_in_flight`.
    :param half_life: seconds in which a report loses half its weight.
    :return: a number of calls.
    """
    trust = _trust(candidate.report_age, half_life)
    return candidate.own_in_flight + crowd + trust * (candidate.others_in_flight - crowd)


def expected_ms(candidate, typical, crowd, half_life):
    """Estimate how long a call would take at a target.

    :param candidate: the target.
    :param typical: the median latency of the service.
    :param crowd: the average number of others' calls.
    :param half_life: seconds in which a report loses half its weight.
    :return: milliseconds.
    """
    slots = max(candidate.slots * candidate.weight, 0.01)
    load = estimate_in_flight(candidate, crowd, half_life)
    waiting = max(0.0, load + 1 - slots)
    speed = typical * _slowness(candidate, typical)
    # Each overdue call is a sign of a target that has just slowed down; no answer tells of it yet.
    speed *= 1 + candidate.overdue
    cost = speed * (1 + _SHARING * load / slots + waiting / slots)
    return cost * (1 + _FAILURE_COST * candidate.failure_share)


def _slowness(candidate, typical):
    # Never below 1: being fast is no reason to get more than a fair share, as a target that
    # fails at once or reports nonsense is the fastest of all.
    latency = _latency(candidate)
    return 1.0 if latency is None else max(1.0, latency / (typical * _NOISE_RATIO))


def _latency(candidate):
    # The greater of what is reported and what was seen from here, so that a report too good to
    # be true is overruled by the calls that suffered. What was seen loses trust with age.
    seen, told = candidate.own_latency_ms, candidate.reported_latency_ms or None
    if seen is None or told is None:
        return told if seen is None else seen
    trust = 0.5 ** (candidate.own_latency_age / _LATENCY_HALF_LIFE)
    return max(told, told + trust * (seen - told))


def _trust(age, half_life):
    return 0.0 if age is None else 0.5 ** (age / half_life)
