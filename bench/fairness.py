"""Measures what each organisation gets of the slots when one of them floods the service.

``fairness.py trial`` runs real nodes and targets on this machine, with the organisations in the
configuration and without them, and prints the share of each organisation's requests that was
served and the whole throughput. ``fairness.py local`` computes, for services of several sizes, how
far shares kept by each target alone differ from shares kept over the whole service.
"""

import heapq
import itertools
import random
import sys
import time
from collections import Counter
from pathlib import Path

import fire
from load import ScheduledCall, poisson, send_scheduled

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from camphorshelf_core.admissionqueue import AdmissionQueue  # noqa: E402
from camphorshelf_core.fairshares import FairShares, Weights  # noqa: E402
from camphorshelf_core.jobs import Job, LatePolicy  # noqa: E402
from standins.relays import RelayDeployment, RelayPlan, make_document  # noqa: E402

_LARGE = "large"
_OBJECTIVE_SECONDS = 0.5
_DEADLINE_MS = 1000
_WARM_UP_SECONDS = 3.0
# The lookups of the deployment with organisations.
_WORK_SECONDS = 0.233
_LOOKUP_OBJECTIVE_SECONDS = 0.943
_ORGANISATIONS = 72
_EXPONENT = 1.2
# The served share of an organisation with fewer requests says little.
_MIN_SENT = 20


def trial(
    large=400.0,
    small=5.0,
    small_count=8,
    targets=3,
    slots=4,
    work_ms=60,
    seconds=20,
    runs=2,
    weights=None,
    domains=1,
):
    """Send the load to real nodes, alternately without and with organisations, and print a table.

    :param large: the requests a second of the organisation that floods.
    :param small: the requests a second of each other organisation.
    :param small_count: how many others there are.
    :param targets: the number of targets, each with a node that callers send to.
    :param slots: the slots of each target.
    :param work_ms: how long each request runs, in milliseconds.
    :param seconds: how long the load lasts after a warm-up of 3 s.
    :param runs: how often each variant runs.
    :param weights: ``rate_per_s`` of the one and of the others, as a pair; None for no rates.
    :param domains: the number of failure domains.
    :return: None.
    """
    names = [_LARGE, *(f"small-{number}" for number in range(small_count))]
    rates = {name: large if name == _LARGE else small for name in names}
    print(
        "| run | shares | large | small: mean | least | most | in time: large | small"
        " | served/s | in time/s |\n| --- | --- |" + " ---: |" * 8
    )
    for run in range(runs):
        for has_shares in (False, True):
            limits = (
                dict(zip(names, [weights[0]] + [weights[1]] * small_count, strict=True))
                if (weights)
                else {}
            )
            document = _document(names if has_shares else [], limits)
            plans = [
                RelayPlan(f"n{number}", "counter", f"fd-{number % domains}", slots)
                for number in range(targets)
            ]
            deployment = RelayDeployment(plans, document)
            try:
                deployment.wait_ready()
                deployment.wait_until(lambda d=deployment: all(_is_served(d, n) for n in d.names))
                time.sleep(1.0)
                outcomes = _send(deployment, rates, work_ms, seconds, run)
                _print_row(run, has_shares, names, outcomes, seconds)
            finally:
                deployment.close()


def _document(names, limits):
    document = make_document(1, {"/look/": {"service": "counter", "kind": "idempotent"}})
    for name in names:
        spec = {"api_keys": [f"key-{name}"], "rate_per_s": limits.get(name, 0)}
        document["resources"].append({"type": "tenants", "meta": {"name": name}, "spec": spec})
    return document


def _is_served(deployment, name):
    # With more time than the load's requests have, the node would take those as sent long ago.
    headers = (("Key", f"key-{_LARGE}"),)
    return deployment.send(name, "GET", "/look/warm", headers, wait_ms=_DEADLINE_MS).status == 200


def _send(deployment, rates, work_ms, seconds, seed):
    rng = random.Random(seed)
    addresses = [deployment.address("callers", name) for name in deployment.names]
    calls = []
    for name, rate in rates.items():
        for number, at in enumerate(poisson(rate, seconds + _WARM_UP_SECONDS, rng)):
            headers = (
                ("Request-Id", f"{name}-{number}"),
                ("Deadline-Ms", str(_DEADLINE_MS)),
                ("Key", f"key-{name}"),
            )
            path = f"/look/x?work_ms={work_ms}"
            address = rng.choice(addresses)
            calls.append(ScheduledCall(at, address, "shop", path, name, headers=headers))
    return [one for one in send_scheduled(calls) if one.at >= _WARM_UP_SECONDS]


def _print_row(run, has_shares, names, outcomes, seconds):
    sent = Counter(one.tag for one in outcomes)
    served = Counter(one.tag for one in outcomes if one.status == 200)
    in_time = Counter(
        one.tag for one in outcomes if one.status == 200 and one.seconds <= _OBJECTIVE_SECONDS
    )
    shares = sorted(served[name] / sent[name] for name in names if name != _LARGE)
    mean = sum(shares) / len(shares)
    small_sent = sent.total() - sent[_LARGE]
    cells = (
        served[_LARGE] / sent[_LARGE],
        mean,
        shares[0],
        shares[-1],
        in_time[_LARGE] / sent[_LARGE],
        (in_time.total() - in_time[_LARGE]) / small_sent,
    )
    print(
        f"| {run} | {'yes' if has_shares else 'no'} | "
        + " | ".join(f"{cell:.2f}" for cell in cells)
        + f" | {served.total() / seconds:.1f} | {in_time.total() / seconds:.1f} |",
        flush=True,
    )
    statuses = Counter((one.tag == _LARGE, one.status) for one in outcomes)
    print(f"<!-- {sorted(statuses.items())} -->", flush=True)


def local(services=(4, 5, 21, 30), slots=9, seconds=60, seeds=3, has_rates=True, rank=0, factor=6):
    """Simulate services whose shares are kept by target, and over the whole service; print a table.

    72 organisations send loads by a power law with the exponent 1.2, together 0.8 of what the
    service can serve. From a sixth of the time on, one sends several times its usual load.

    :param services: the numbers of targets.
    :param slots: the slots of each target.
    :param seconds: the simulated time.
    :param seeds: how many random loads of each service.
    :param has_rates: whether each organisation has its usual load as its rate; all weigh the same
        if not.
    :param rank: the place, by size, of the organisation that sends more; 0 for the largest.
    :param factor: how many times its usual load it sends.
    :return: None.
    """
    print(
        "| targets | shares kept by | served: all | the one that bursts | the others | least of the"
        " others | decisions that differ |\n| ---: | --- |" + " ---: |" * 5
    )
    for count in services:
        loads = [
            _Load(count, slots, seconds, seed, has_rates, rank, factor) for seed in range(seeds)
        ]
        for scope in ("none", "target", "service"):
            results = [_Service(load, scope).play() for load in loads]
            cells = [sum(column) / seeds for column in zip(*results, strict=True)]
            print(f"| {count} | {scope} | " + " | ".join(f"{cell:.3f}" for cell in cells) + " |")
            sys.stdout.flush()


class _Load:
    """Random requests to one service."""

    def __init__(self, count, slots, seconds, seed, has_rates, rank, factor):
        self.count, self.slots, self.seed = count, slots, seed
        rng = random.Random(seed)
        capacity_per_s = count * int(slots * 0.8) / _WORK_SECONDS
        sizes = [(number + 1) ** -_EXPONENT for number in range(_ORGANISATIONS)]
        rates = [0.8 * capacity_per_s * size / sum(sizes) for size in sizes]
        by_name = {_name(number): rate for number, rate in enumerate(rates)}
        self.weights = Weights(by_name if has_rates else {}, 1.0)
        self.burst = _name(rank)
        burst_at = seconds / 6
        self.requests = [
            (at, name) for name, rate in by_name.items() for at in poisson(rate, seconds, rng)
        ]
        extra = poisson(rates[rank] * (factor - 1), seconds - burst_at, rng)
        self.requests += [(burst_at + at, self.burst) for at in extra]
        self.requests.sort()
        self.counted_from = burst_at + 5.0


class _ComparedShares(FairShares):
    """Shares kept by one target, which count how often shares over the service decide otherwise."""

    def __init__(self, common):
        super().__init__()
        self._common = common
        self.decisions = self.differing = 0

    def record_demand(self, organisation, work_s, now):
        super().record_demand(organisation, work_s, now)
        self._common.record_demand(organisation, work_s, now)

    def charge(self, organisation, seconds, at):
        super().charge(organisation, seconds, at)
        self._common.charge(organisation, seconds, at)

    def over_level(self, organisation, work_s, now):
        level = super().over_level(organisation, work_s, now)
        self.decisions += 1
        self.differing += level != self._common.over_level(organisation, work_s, now)
        return level


class _CommonShares(FairShares):
    """Shares over all targets of a service, of which each has the same part of the slots.

    :param count: the number of targets.
    """

    def __init__(self, count):
        super().__init__()
        self._count = count

    def slots_within(self, now):
        return super().slots_within(now) / self._count


class _Service:
    """Simulates the targets of a service; the clock advances from event to event."""

    def __init__(self, load, scope):
        self._load = load
        self._rng = random.Random(load.seed)
        self._events, self._numbers = [], itertools.count()
        self._now = 0.0
        self.sent, self.served = Counter(), Counter()
        common = _CommonShares(load.count)
        common.configure(load.weights)
        self.queues = [AdmissionQueue(load.slots) for _ in range(load.count)]
        for queue in self.queues:
            queue.work_s = _WORK_SECONDS
            if scope == "service":
                queue.shares = common
            elif scope == "target":
                queue.shares = _ComparedShares(common)
                queue.shares.configure(load.weights)

    def play(self):
        """Play the load and return the figures of one row."""
        load = self._load
        for at, name in load.requests:
            while self._events and self._events[0][0] <= at:
                self._now, _, act = heapq.heappop(self._events)
                act()
            self._now = at
            self.sent[name] += at >= load.counted_from
            self._offer(name, (), at)
        sent, served = self.sent, self.served
        others = [name for name in sent if name != load.burst]
        shares = [served[name] / sent[name] for name in others if sent[name] >= _MIN_SENT]
        compared = [one.shares for one in self.queues if isinstance(one.shares, _ComparedShares)]
        decisions = sum(one.decisions for one in compared)
        return (
            served.total() / sent.total(),
            served[load.burst] / sent[load.burst],
            sum(served[name] for name in others) / sum(sent[name] for name in others),
            min(shares),
            sum(one.differing for one in compared) / max(1, decisions),
        )

    def _at(self, moment, act):
        heapq.heappush(self._events, (moment, next(self._numbers), act))

    def _offer(self, name, offered, sent_at):
        left = [queue for queue in self.queues if queue not in offered]
        pair = self._rng.sample(left, min(2, len(left)))
        queue = min(pair, key=lambda one: one.running + one.queued)
        due_at = sent_at + _LOOKUP_OBJECTIVE_SECONDS

        def refuse(_wait_s=0.0):
            # The entry node offers a refused request to one other target.
            if not offered and self._now + _WORK_SECONDS <= due_at:
                self._at(self._now, lambda: self._offer(name, (queue,), sent_at))

        def start():
            self._at(self._now + _WORK_SECONDS * self._rng.uniform(0.7, 1.3), finish)

        def finish():
            if self._now <= due_at and sent_at >= self._load.counted_from:
                self.served[name] += 1
            queue.finish(job, self._now)

        job = Job(2, due_at, due_at + 1.0, _WORK_SECONDS, LatePolicy.REJECT, start, refuse, name)
        if not queue.offer(job, self._now).admitted:
            refuse()


def _name(number):
    return f"o{number}"


if __name__ == "__main__":
    fire.Fire({"trial": trial, "local": local})
