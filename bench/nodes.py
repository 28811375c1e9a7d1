"""Measures the cost of control for real nodes and targets without any calls."""

import os
import re
import sys
import time
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins.caller import call  # noqa: E402
from standins.deployment import Deployment, NodePlan  # noqa: E402

_SETTLE_SECONDS = 15
_MEASURE_SECONDS = 30
_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
_MEGABYTE = 1024 * 1024


def measure(sizes=(5, 20, 60)):
    """Print one line per size: processor time, memory, bytes and calls to the store."""
    for count in sizes if isinstance(sizes, tuple) else (sizes,):
        _measure_one(count)


def _measure_one(count):
    plans = [
        NodePlan(f"n{index}", f"service-{index // 9}", f"fd-{index % 3}") for index in range(count)
    ]
    started = time.monotonic()
    deployment = Deployment(plans)
    try:
        _wait_known(deployment, count)
        known = time.monotonic() - started
        start_counts = deployment.counts()
        time.sleep(_SETTLE_SECONDS)
        before = _sample(deployment)
        counts = deployment.counts()
        time.sleep(_MEASURE_SECONDS)
        after = _sample(deployment)
        later = deployment.counts()
    finally:
        deployment.close()
    costs = sorted(_costs(before[name], after[name]) for name in before)
    cpu = [cost[0] for cost in costs]
    sent = sorted(cost[1] for cost in costs)
    memory = sorted(one["memory"] / _MEGABYTE for one in after.values())
    print(
        f"nodes={count} all_known_s={known:.1f}"
        f" cpu_percent_p50={cpu[count // 2]:.2f} cpu_percent_max={cpu[-1]:.2f}"
        f" rss_mb_p50={memory[count // 2]:.1f} rss_mb_max={memory[-1]:.1f}"
        f" sent_bytes_per_s_p50={sent[count // 2]:.0f} sent_bytes_per_s_max={sent[-1]:.0f}"
        f" start_writes={start_counts['writes']} start_rows={start_counts['rows']}"
        f" platform_reads_per_s={(later['reads'] - counts['reads']) / _MEASURE_SECONDS:.2f}"
        f" platform_rows_per_s={(later['rows'] - counts['rows']) / _MEASURE_SECONDS:.2f}"
        f" platform_writes_per_s={(later['writes'] - counts['writes']) / _MEASURE_SECONDS:.2f}",
        flush=True,
    )


def _wait_known(deployment, count):
    for node in deployment.nodes.values():
        deployment.wait_until(
            lambda node=node: _gauge(node, "roster_members") == count, seconds=120
        )


def _sample(deployment):
    return {name: _sample_node(deployment, name) for name in deployment.nodes}


def _sample_node(deployment, name):
    pid = deployment.pid(f"node-{name}")
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return {
        "cpu": (int(fields[11]) + int(fields[12])) / _TICKS,
        "memory": int(fields[21]) * _PAGE,
        "sent": _gauge(deployment.nodes[name], "gossip_sent_bytes"),
    }


def _gauge(node, name):
    text = call(node.admin, "GET", "admin", "/metrics").body.decode()
    found = re.search(rf"^camphorshelf_{name}\S* ([0-9.e+]+)$", text, re.MULTILINE)
    return float(found.group(1))


def _costs(before, after):
    cpu = 100 * (after["cpu"] - before["cpu"]) / _MEASURE_SECONDS
    return cpu, (after["sent"] - before["sent"]) / _MEASURE_SECONDS


if __name__ == "__main__":
    fire.Fire(measure)
