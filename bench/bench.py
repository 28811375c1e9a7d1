"""Measures the latency that camphorshelf adds to a call, against direct calls in the same run.

Two nodes run, each on the host of one target with its own service. Callers ask each node for the
other's service, so that every call takes both hops. Slices of direct calls and of calls through the
nodes alternate; an added latency is the difference of the two percentiles. Prints ``name value
unit``.
"""

import os
import random
import statistics
import sys
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from load import ClosedLoop, ScheduledCall, poisson, run_closed_loops, send_scheduled

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

PLANS = (
    NodePlan("left", "registry", "fd-a", slots=32),
    NodePlan("right", "counter", "fd-b", slots=32),
)
ROUTES = {"left": "counter", "right": "registry"}
TARGETS = {"counter": "right", "registry": "left"}


class Round(NamedTuple):
    """The added latencies of one seed in milliseconds, and the processor time of the nodes."""

    p50: float
    p99: float
    direct_p99: float
    cpu_ms: float
    failed: Counter


def main():
    """Run the benchmark and print its figures."""
    deployment = Deployment(PLANS, log_level="INFO")
    try:
        _measure(deployment)
    finally:
        deployment.close()


def _measure(deployment):
    for name, service in ROUTES.items():
        deployment.wait_served(name, service)
    print_figure("machine_load", os.getloadavg()[0], "processes")
    print_figure("idle_cpu_percent", _idle_percent(deployment), "percent")
    print_figure("node_rss_idle_mb", read_max_memory_mb(deployment), "MB")
    _print_rounds(deployment, _CALLS_PER_NODE, "")
    rates = [measure_capacity(deployment) for _ in range(_SATURATED_ROUNDS)]
    saturated = statistics.median(rates)
    print_figure("calls_per_s_saturated", saturated, "1/s")
    print_figure("calls_per_s_saturated_min", min(rates), "1/s")
    print_figure("calls_per_s_saturated_max", max(rates), "1/s")
    _print_rounds(deployment, saturated / 2, "_half")
    print_figure("node_rss_mb", read_max_memory_mb(deployment), "MB")
    print_figure("machine_load_at_end", os.getloadavg()[0], "processes")


def _print_rounds(deployment, rate, suffix):
    rounds = [_run_round(deployment, rate, seed) for seed in _SEEDS]
    for name in ("p50", "p99"):
        values = [getattr(one, name) for one in rounds]
        print_figure(f"added_{name}_ms{suffix}", statistics.median(values), "ms")
        print_figure(f"added_{name}_ms{suffix}_min", min(values), "ms")
        print_figure(f"added_{name}_ms{suffix}_max", max(values), "ms")
    print_figure(
        f"direct_p99_ms{suffix}", statistics.median(one.direct_p99 for one in rounds), "ms"
    )
    print_figure(f"cpu_ms_per_call{suffix}", statistics.median(one.cpu_ms for one in rounds), "ms")
    codes = sum((one.failed for one in rounds), Counter())
    print_figure(f"failed_calls{suffix}", sum(codes.values()), "calls")
    for code, count in sorted(codes.items()):
        print_figure(f"failed_calls{suffix}_code_{code}", count, "calls")


def _run_round(deployment, rate, seed):
    calls = _make_calls(deployment, rate, random.Random(seed))
    before = read_cpu_seconds(deployment)
    outcomes = send_scheduled(calls)
    spent = read_cpu_seconds(deployment) - before
    histograms = {tag: make_histogram() for tag in "wdt"}
    for outcome in outcomes:
        histograms[outcome.tag].record_value(max(1, int(outcome.seconds * _MICROSECONDS)))
    direct, through = histograms["d"], histograms["t"]
    return Round(
        p50=milliseconds(through, 50) - milliseconds(direct, 50),
        p99=milliseconds(through, 99) - milliseconds(direct, 99),
        direct_p99=milliseconds(direct, 99),
        cpu_ms=spent * 1000 / sum(outcome.tag != "d" for outcome in outcomes),
        failed=Counter(outcome.code for outcome in outcomes if outcome.status != 200),
    )


def _make_calls(deployment, rate, random):
    calls = []
    for name, service in ROUTES.items():
        ways = {
            "d": deployment.nodes[TARGETS[service]].target,
            "t": deployment.nodes[name].callers,
        }
        for moment in poisson(rate, _WARM_UP_SECONDS + 2 * _SECONDS, random):
            tag = "d" if int(moment / _SLICE_SECONDS) % 2 else "t"
            if moment < _WARM_UP_SECONDS:
                calls.append(ScheduledCall(moment, ways[tag], service, _PATH, "w"))
            else:
                calls.append(ScheduledCall(moment, ways[tag], service, _PATH, tag))
    return calls


def measure_capacity(deployment):
    """Measure how many calls a second each node handles, as entry node and as its target's node."""
    loops = [
        ClosedLoop(deployment.nodes[name].callers, service, _PATH, _CALLERS_PER_NODE, seconds)
        for name, service in ROUTES.items()
        for seconds in (_SATURATED_SECONDS,)
    ]
    counts = run_closed_loops(loops)
    return sum(one.answered / one.seconds for one in counts) / len(ROUTES)


def _idle_percent(deployment):
    before = read_cpu_seconds(deployment)
    time.sleep(_IDLE_SECONDS)
    return (read_cpu_seconds(deployment) - before) / _IDLE_SECONDS / len(ROUTES) * 100


def read_cpu_seconds(deployment):
    """Read the processor time that all nodes have used."""
    total = 0
    for name in ROUTES:
        text = Path(f"/proc/{deployment.pid(f'node-{name}')}/schedstat").read_text()
        total += int(text.split()[0])
    return total / 1e9


def read_max_memory_mb(deployment):
    """Read the largest node's memory in MB."""
    sizes = []
    for name in ROUTES:
        status = Path(f"/proc/{deployment.pid(f'node-{name}')}/status").read_text()
        sizes += [int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")]
    return max(sizes) / 1024


def make_histogram():
    """Make a histogram of microseconds."""
    return HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS)


def milliseconds(histogram, percentile):
    """Read a percentile of a histogram."""
    return histogram.get_value_at_percentile(percentile) / 1000


def print_figure(name, value, unit):
    """Print one figure on a line of its own."""
    print(f"{name} {value:.3f} {unit}", flush=True)


if __name__ == "__main__":
    main()
