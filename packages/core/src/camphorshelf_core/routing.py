"""Selects the target for a call by the lowest expected latency among a few random targets.

Each target gets a score: the milliseconds that a call is expected to take there, computed from
load reports, measured latencies and failures, weighted by their age. The target with the lowest
score of a random sample is selected, so that entry nodes with the same reports still choose
different targets.

Simpler policies (see ``baselines``) fail in four cases: load changes faster than reports arrive,
so that entry nodes with the same old report all send to the same target; a slow target keeps its
full share of the calls; a target that fails immediately looks idle and attracts more calls; and
one failure domain gets more than its share.
"""

from typing import NamedTuple

# Latencies of healthy targets differ by chance, more so if short and long calls are mixed. Below
# this ratio to the median they count as equal, so that calls don't follow the noise.
_NOISE_RATIO = 1.5
# Half-life of the weight of a measured latency: long enough that a slow target gets one trial call
# every few seconds and not a share of the calls.
_LATENCY_HALF_LIFE_SECONDS = 5.0
# Relative slowdown of a call when all slots of its target are in use: calls share the processor.
_BUSY_SLOWDOWN = 0.5
# Cost of a failed call in multiples of its latency: it has to be repeated at another target.
_FAILURE_COST = 8.0
_FALLBACK_LATENCY_MS = 1.0


class Candidate(NamedTuple):
    """What an entry node knows about one target.

    Ages are in seconds; None means that nothing is known. ``own_in_flight`` counts this node's
    calls at the target, ``others_in_flight`` those of other nodes. ``overdue`` counts this node's
    calls that take longer than expected. ``weight`` is the share of its slots that the target
    should use: the configured weight times the ramp after a start or return. ``failure_share`` is
    the share of failures among its recent answers. ``reported_calls`` counts the calls that the
    target's last report gives as in flight or queued.
    """

    target: str
    address: str
    failure_domain: str
    slots: int
    own_in_flight: int = 0
    others_in_flight: float = 0.0
    reported_calls: int = 0
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
    """The selected target, its score and why it was selected; times are in milliseconds.

    ``expected_ms`` is the median latency of the service's targets.
    """

    candidate: Candidate
    score: float
    expected_ms: float
    has_free_slot: bool
    reason: str


def make_policy(settings, failure_domain, random):
    """Make the function that selects a target.

    :param settings: the :class:`~camphorshelf_core.settings.EntrySettings`.
    :param failure_domain: the entry node's own failure domain.
    :param random: a ``random.Random``.
    :return: a function that takes the candidates and the names to exclude, and returns a
        :class:`Choice` or None if no target accepts calls.
    """

    def choose(candidates, exclude=()):
        usable = usable_candidates(candidates, exclude)
        if not usable:
            return None
        median_ms = typical_latency(candidates)
        half_life_s = settings.report_half_life * median_ms / 1000
        mean_others = mean_others_in_flight(candidates, half_life_s)

        def score(candidate):
            cost = expected_ms(candidate, median_ms, mean_others, half_life_s)
            if candidate.failure_domain != failure_domain:
                cost += settings.domain_cost_ms
            return cost

        sampled = sample_targets(usable, failure_domain, settings.choices, random)
        # Equal scores are common at low load, and min() returns the first one.
        random.shuffle(sampled)
        best = min(sampled, key=score)
        load = estimate_in_flight(best, mean_others, half_life_s)
        return Choice(
            candidate=best,
            score=score(best),
            expected_ms=median_ms,
            has_free_slot=load + 1 <= best.slots * best.weight,
            reason=f"lowest score of {len(sampled)} targets sampled from {len(usable)}",
        )

    return choose


def sample_targets(targets, failure_domain, count, random):
    """Sample targets at random, up to half of them from the node's own failure domain.

    Local targets are considered for every call, and remote ones often enough to receive calls
    before the local ones are full.

    :param targets: candidates or members.
    :param failure_domain: the entry node's own failure domain.
    :param count: the number of targets to sample.
    :param random: a ``random.Random``.
    :return: a new list.
    """
    if len(targets) <= count:
        return list(targets)
    local = [target for target in targets if target.failure_domain == failure_domain]
    sampled = random.sample(local, min(len(local), count // 2))
    sampled_ids = set(map(id, sampled))
    rest = [target for target in targets if id(target) not in sampled_ids]
    return sampled + random.sample(rest, count - len(sampled))


def usable_candidates(candidates, exclude=()):
    """Filter out the targets that accept no calls now.

    Ejected targets are returned if there are no others: a call that fails at an ejected target is
    no worse than a call that is refused because there is no target.

    :param candidates: all candidates of the service.
    :param exclude: names of targets that were tried before.
    :return: a list of :class:`Candidate`.
    """
    accepting = [
        candidate
        for candidate in candidates
        if not candidate.leaving and candidate.weight > 0 and candidate.target not in exclude
    ]
    healthy = [candidate for candidate in accepting if not candidate.ejected]
    return healthy or accepting


def typical_latency(candidates):
    """Compute the median latency of the service's targets.

    The median is used rather than the minimum, so that a target with a very low latency, because
    it fails immediately or reports a wrong value, doesn't make all others look slow.

    :param candidates: all candidates of the service.
    :return: milliseconds.
    """
    known = sorted(
        filter(None, (_latency(candidate) for candidate in candidates if not candidate.ejected))
    )
    if len(known) == 2:
        # Either of the two may be slow, so the lower latency is the reference.
        return known[0]
    return known[len(known) // 2] if known else _FALLBACK_LATENCY_MS


def mean_others_in_flight(candidates, half_life_s):
    """Compute the mean number of other nodes' calls per target, weighted by the reports' age.

    :param candidates: all candidates of the service.
    :param half_life_s: seconds in which a report loses half its weight.
    :return: a number of calls.
    """
    total = weights = 0.0
    for candidate in candidates:
        weight = _decay(candidate.report_age, half_life_s)
        total += weight * candidate.others_in_flight
        weights += weight
    return total / weights if weights > 1e-9 else 0.0


def estimate_in_flight(candidate, mean_others, half_life_s):
    """Estimate how many calls a target has in flight now.

    As a report ages, the estimate moves from the reported value to the service's mean. An old
    report of low load therefore doesn't make all entry nodes send to the same target.

    :param candidate: the :class:`Candidate`.
    :param mean_others: the mean returned by :func:`mean_others_in_flight`.
    :param half_life_s: seconds in which a report loses half its weight.
    :return: a number of calls.
    """
    weight = _decay(candidate.report_age, half_life_s)
    return (
        candidate.own_in_flight + mean_others + weight * (candidate.others_in_flight - mean_others)
    )


def expected_ms(candidate, median_ms, mean_others, half_life_s):
    """Estimate how long a call would take at a target.

    :param candidate: the :class:`Candidate`.
    :param median_ms: the median latency of the service, in milliseconds.
    :param mean_others: the mean number of other nodes' calls per target.
    :param half_life_s: seconds in which a report loses half its weight.
    :return: milliseconds, including the expected cost of failures.
    """
    slots = max(candidate.slots * candidate.weight, 0.01)
    load = estimate_in_flight(candidate, mean_others, half_life_s)
    waiting = max(0.0, load + 1 - slots)
    latency = median_ms * _slowness(candidate, median_ms)
    # Overdue calls indicate a slowdown that is not yet visible in measured latencies.
    latency *= 1 + candidate.overdue
    cost = latency * (1 + _BUSY_SLOWDOWN * load / slots + waiting / slots)
    return cost * (1 + _FAILURE_COST * candidate.failure_share)


def _slowness(candidate, median_ms):
    # At least 1: a very low latency must not attract more calls, since it can come from a target
    # that fails immediately or reports a wrong value.
    latency = _latency(candidate)
    return 1.0 if latency is None else max(1.0, latency / (median_ms * _NOISE_RATIO))


def _latency(candidate):
    # The greater of the reported latency and the one measured here, so that measurements override
    # a report that is too low. The weight of the measurement decreases with its age.
    measured, reported = candidate.own_latency_ms, candidate.reported_latency_ms or None
    if measured is None or reported is None:
        return reported if measured is None else measured
    weight = 0.5 ** (candidate.own_latency_age / _LATENCY_HALF_LIFE_SECONDS)
    return max(reported, reported + weight * (measured - reported))


def _decay(age, half_life_s):
    return 0.0 if age is None else 0.5 ** (age / half_life_s)
