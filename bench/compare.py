"""Compares the nodes of two checkouts in one run, slice by slice on the same load.

``compare.py BASE`` starts the same small deployment twice, from the checkout at BASE and from
this one, and alternates short slices of calls between them and the bare targets. On a shared
machine only figures of the same run can be compared. Prints ``name value unit``.
"""

import os
import random
import statistics
import sys
from pathlib import Path

from load import ScheduledCall, poisson, send_scheduled

from bench import (
    PLANS,
    ROUTES,
    TARGETS,
    make_histogram,
    measure_capacity,
    milliseconds,
    print_figure,
    read_cpu_seconds,
    read_max_memory_mb,
)
from standins.deployment import Deployment

_SEEDS = tuple(range(1, 1 + int(os.environ.get("BENCH_SEEDS", "5"))))
_SECONDS = float(os.environ.get("BENCH_SECONDS", "12"))
_SLICE_SECONDS = 0.25
_WARM_UP_SECONDS = 1.0
_RATES = (52, 400)
_SATURATED_ROUNDS = 4
_WAYS = ("direct", "base", "new")
_PATH = "/tags/7?work_ms=0"


def main(base):
    """Run the comparison and print its figures."""
    here = Path(__file__).resolve().parent.parent
    deployments = {}
    try:
        for way, root in (("base", Path(base)), ("new", here)):
            paths = [str(root / "packages" / name / "src") for name in ("core", "node")]
            deployments[way] = Deployment(PLANS, log_level="INFO", node_paths=paths)
        for deployment in deployments.values():
            for name, service in ROUTES.items():
                deployment.wait_served(name, service)
        for rate in _RATES:
            _compare(deployments, rate)
        _compare_saturated(deployments)
    finally:
        for deployment in deployments.values():
            deployment.close()


def _compare(deployments, rate):
    added = {(way, q): [] for way in deployments for q in (50, 99)}
    costs = {way: [] for way in deployments}
    for seed in _SEEDS:
        calls = _make_calls(deployments, rate, random.Random(seed))
        before = {way: read_cpu_seconds(deployments[way]) for way in deployments}
        histograms = {way: make_histogram() for way in _WAYS}
        outcomes = send_scheduled(calls)
        for outcome in outcomes:
            if outcome.at >= _WARM_UP_SECONDS:
                histograms[outcome.tag].record_value(max(1, int(outcome.seconds * 1e6)))
        for way, deployment in deployments.items():
            count = sum(outcome.tag == way for outcome in outcomes)
            costs[way].append((read_cpu_seconds(deployment) - before[way]) * 1000 / count)
            for q in (50, 99):
                direct = milliseconds(histograms["direct"], q)
                added[way, q].append(milliseconds(histograms[way], q) - direct)
    for way in deployments:
        for q in (50, 99):
            values = added[way, q]
            print_figure(f"{way}_added_p{q}_ms_{rate}", statistics.median(values), "ms")
            print_figure(f"{way}_added_p{q}_ms_{rate}_min", min(values), "ms")
        print_figure(f"{way}_cpu_ms_per_call_{rate}", statistics.median(costs[way]), "ms")


def _make_calls(deployments, rate, random):
    calls = []
    for name, service in ROUTES.items():
        addresses = {way: one.nodes[name].callers for way, one in deployments.items()}
        addresses["direct"] = deployments["new"].nodes[TARGETS[service]].target
        for moment in poisson(rate, _WARM_UP_SECONDS + len(_WAYS) * _SECONDS, random):
            way = _WAYS[int(moment / _SLICE_SECONDS) % len(_WAYS)]
            calls.append(ScheduledCall(moment, addresses[way], service, _PATH, way))
    return calls


def _compare_saturated(deployments):
    rates = {way: [] for way in deployments}
    for _ in range(_SATURATED_ROUNDS):
        for way, deployment in deployments.items():
            rates[way].append(measure_capacity(deployment))
    for way, values in rates.items():
        print_figure(f"{way}_calls_per_s_saturated", statistics.median(values), "1/s")
        print_figure(f"{way}_calls_per_s_saturated_max", max(values), "1/s")
        print_figure(f"{way}_node_rss_mb", read_max_memory_mb(deployments[way]), "MB")


if __name__ == "__main__":
    main(sys.argv[1])
