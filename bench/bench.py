"""Measures what camphorshelf adds to a call, directly and through it in the same run.

Two nodes, each beside one target of its own service; callers ask each node for the other's
service, so that every call takes both hops. Slices of direct calls and of calls through the nodes
alternate; an added time is the difference of the two percentiles. Prints ``name value unit``.
"""

import os
import random
import statistics
import sys
import time
from pathlib import Path
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from load import Closed, Shot, fire, poisson, saturate

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins.deployment import Deployment, NodePlan  # noqa: E402

_SEEDS = tuple(range(1, 1 + int(os.environ.get("BENCH_SEEDS", "5"))))
_SECONDS = float(os.environ.get("BENCH_SECONDS", "8"))
_SLICE_SECONDS = 0.5
_WARM_UP_SECONDS = 1.0
_SATURATED_SECONDS = 4.0
_SATURATED_ROUNDS = 3
_IDLE_SECONDS = 5.0
_CALLS_PER_NODE = 52
_CALLERS_PER_NODE = 8
_MICROSECONDS = 1_000_000
_LONGEST_MICROSECONDS = 60 * _MICROSECONDS
_DIGITS = 3
_PATH = "/tags/7?work_ms=0"

_PLANS = (
    NodePlan("left", "registry", "fd-a", slots=32),
    NodePlan("right", "counter", "fd-b", slots=32),
)
_ROUTES = {"left": "counter", "right": "registry"}
_TARGETS = {"counter": "right", "registry": "left"}


class Round(NamedTuple):
    """The added times of one seed in milliseconds and what it cost the nodes."""

    p50: float
    p99: float
    direct_p99: float
    cpu_ms: float
    failed: int


def main():
    """Run the bench and print its figures."""
    deployment = Deployment(_PLANS, log_level="INFO")
    try:
        _measure(deployment)
    finally:
        deployment.close()


def _measure(deployment):
    for name, service in _ROUTES.items():
        deployment.wait_served(name, service)
    _print("idle_cpu_percent", _idle_percent(deployment), "percent")
    _print("node_rss_idle_mb", _rss(deployment), "MB")
    _print_rounds(deployment, _CALLS_PER_NODE, "")
    rates = [_saturate(deployment) for _ in range(_SATURATED_ROUNDS)]
    saturated = statistics.median(rates)
    _print("calls_per_s_saturated", saturated, "1/s")
    _print("calls_per_s_saturated_min", min(rates), "1/s")
    _print("calls_per_s_saturated_max", max(rates), "1/s")
    _print_rounds(deployment, saturated / 2, "_half")
    _print("node_rss_mb", _rss(deployment), "MB")


def _print_rounds(deployment, rate, suffix):
    rounds = [_run_round(deployment, rate, seed) for seed in _SEEDS]
    for name in ("p50", "p99"):
        values = [getattr(one, name) for one in rounds]
        _print(f"added_{name}_ms{suffix}", statistics.median(values), "ms")
        _print(f"added_{name}_ms{suffix}_min", min(values), "ms")
        _print(f"added_{name}_ms{suffix}_max", max(values), "ms")
    _print(f"direct_p99_ms{suffix}", statistics.median(one.direct_p99 for one in rounds), "ms")
    _print(f"cpu_ms_per_call{suffix}", statistics.median(one.cpu_ms for one in rounds), "ms")
    _print(f"failed_calls{suffix}", sum(one.failed for one in rounds), "calls")


def _run_round(deployment, rate, seed):
    shots = _shots(deployment, rate, random.Random(seed))
    before = _cpu_seconds(deployment)
    outcomes = fire(shots)
    spent = _cpu_seconds(deployment) - before
    histograms = {tag: HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS) for tag in "wdt"}
    for outcome in outcomes:
        histograms[outcome.tag].record_value(max(1, int(outcome.seconds * _MICROSECONDS)))
    direct, through = histograms["d"], histograms["t"]
    return Round(
        p50=_milliseconds(through, 50) - _milliseconds(direct, 50),
        p99=_milliseconds(through, 99) - _milliseconds(direct, 99),
        direct_p99=_milliseconds(direct, 99),
        cpu_ms=spent * 1000 / sum(outcome.tag != "d" for outcome in outcomes),
        failed=sum(outcome.status != 200 for outcome in outcomes),
    )


def _shots(deployment, rate, random):
    shots = []
    for name, service in _ROUTES.items():
        ways = {
            "d": deployment.nodes[_TARGETS[service]].target,
            "t": deployment.nodes[name].callers,
        }
        for moment in poisson(rate, _WARM_UP_SECONDS + 2 * _SECONDS, random):
            tag = "d" if int(moment / _SLICE_SECONDS) % 2 else "t"
            if moment < _WARM_UP_SECONDS:
                shots.append(Shot(moment, ways[tag], service, _PATH, "w"))
            else:
                shots.append(Shot(moment, ways[tag], service, _PATH, tag))
    return shots


def _saturate(deployment):
    loops = [
        Closed(deployment.nodes[name].callers, service, _PATH, _CALLERS_PER_NODE, seconds)
        for name, service in _ROUTES.items()
        for seconds in (_SATURATED_SECONDS,)
    ]
    counts = saturate(loops)
    return sum(one.answered / one.seconds for one in counts) / len(_ROUTES)


def _idle_percent(deployment):
    before = _cpu_seconds(deployment)
    time.sleep(_IDLE_SECONDS)
    return (_cpu_seconds(deployment) - before) / _IDLE_SECONDS / len(_ROUTES) * 100


def _cpu_seconds(deployment):
    total = 0
    for name in _ROUTES:
        text = Path(f"/proc/{deployment.pid(f'node-{name}')}/schedstat").read_text()
        total += int(text.split()[0])
    return total / 1e9


def _rss(deployment):
    sizes = []
    for name in _ROUTES:
        status = Path(f"/proc/{deployment.pid(f'node-{name}')}/status").read_text()
        sizes += [int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")]
    return max(sizes) / 1024


def _milliseconds(histogram, percentile):
    return histogram.get_value_at_percentile(percentile) / 1000


def _print(name, value, unit):
    print(f"{name} {value:.3f} {unit}", flush=True)


if __name__ == "__main__":
    main()
