"""Chooses the hosts that an entry node probes for their current load before it sends a request.

Handles many hosts that get a few requests a second each and whose speed changes several times a
second. If all hosts pushed each change, a node would process hundreds of statuses for a handful of
decisions. If they pushed once a second, it would send many requests to hosts that have slowed down
since. Probed at the time of the decision, a few hosts report their current state, and a frozen or
unreachable host is noticed by its silence before a request is lost there.
"""

from .placement import MAX_FAILURE_SHARE, has_room

# The two best hosts by their last statuses are probed, and a random one of the next few: if all
# entry nodes probed only the best two, these would get all requests of that moment.
_BEST_HOSTS = 2
_RANKED_HOSTS = 6
_RANDOM_HOSTS = 1
# With at most FEW_SLOTS slots a target has none free most of the time, so more of them have to be
# asked: with six of 35 targets at half load, one request in a hundred meets no free slot; with
# three, one in six.
_BEST_HOSTS_FEW_SLOTS = 3
_RANKED_HOSTS_FEW_SLOTS = 16
_RANDOM_HOSTS_FEW_SLOTS = 3
# If the first three hosts are slow or full, three more are probed.
MAX_PROBE_ROUNDS = 2
# The longest wait for the answers to the probes of one decision.
PROBE_WAIT_SECONDS = 0.01
# The slowness of a host without noisy neighbours, with a margin for measurement error.
_MAX_NORMAL_SLOWNESS = 1.1


def choose_probes(candidates, probed, random, has_few_slots=False):
    """Choose the hosts to probe before one of the candidates is chosen.

    :param candidates: a request's :class:`~camphorshelf_core.placement.Candidate`, the best first.
    :param probed: the addresses that were already probed for this request.
    :param random: the source of random numbers.
    :param has_few_slots: whether the service's targets have at most
        :data:`~camphorshelf_core.slotlimit.FEW_SLOTS` slots.
    :return: a list of addresses; empty when the best candidate's status is fresh, or when all were
        probed.
    """
    if not candidates or candidates[0].is_fresh:
        return []
    stale = [
        candidate.address
        for candidate in candidates
        if candidate.is_healthy and not candidate.is_fresh and candidate.address not in probed
    ]
    best, ranked, count = _BEST_HOSTS, _RANKED_HOSTS, _RANDOM_HOSTS
    if has_few_slots:
        best, ranked = _BEST_HOSTS_FEW_SLOTS, _RANKED_HOSTS_FEW_SLOTS
        count = _RANDOM_HOSTS_FEW_SLOTS
    others = stale[best:ranked]
    return stale[:best] + random.sample(others, min(count, len(others)))


def put_unanswered_last(candidates, probed):
    """Move the candidates that haven't answered their probes to the end.

    :param candidates: the candidates, the best first.
    :param probed: the addresses that were probed for this request.
    :return: the candidates in their new order.
    """
    return sorted(
        candidates, key=lambda candidate: candidate.address in probed and not candidate.is_fresh
    )


def is_sufficient(view, domain, now):
    """Return whether one host's answer is good enough not to wait for the others.

    On hosts with half a processor core, the first of three answers takes 2 ms and the slowest one
    5 to 10 ms. A fast host in this node's failure domain with a free slot is as good as any host
    that may still answer.

    :param view: the :class:`~camphorshelf_core.hosts.HostView` of the host that answered.
    :param domain: this node's failure domain.
    :param now: seconds on the monotonic clock.
    :return: True or False.
    """
    status = view.status
    is_healthy = status.failure_ratio < MAX_FAILURE_SHARE / 2 and status.warming_s == 0
    is_local_and_fast = status.domain == domain and status.slowness <= _MAX_NORMAL_SLOWNESS
    return is_healthy and is_local_and_fast and has_room(view, now)
