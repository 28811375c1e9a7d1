"""Measures how long a confirmed version takes to be in force at all nodes, by number of nodes.

Real processes run on one machine; each round is a plan and a confirm. The time is measured from the
sending of the confirm, and from its answer, until the last node reports that the version is in
force. Nodes are polled one after another over their administration listeners, which adds to the
figures.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins.deployment import Deployment, NodePlan  # noqa: E402
from standins.operator import (  # noqa: E402
    administration,
    change,
    confirm,
    plan,
    version_at,
    wait_version,
)

_ROUNDS = 10
_TEAM = "flock"
_SETTINGS = administration({_TEAM: ("counter",)})


def main(counts):
    """Print one line for each figure and number of nodes."""
    for count in counts:
        sent, answered = _measure(count)
        for name, values in (("sent", sent), ("answered", answered)):
            values.sort()
            print(f"in_force_{count}_nodes_from_{name}_median_ms {values[len(values) // 2]:.0f} ms")
            print(f"in_force_{count}_nodes_from_{name}_max_ms {values[-1]:.0f} ms", flush=True)


def _measure(count):
    plans = [NodePlan("n0", "counter", "fd-0", settings=_SETTINGS)]
    plans += [
        NodePlan(f"n{number}", None, f"fd-{number % 3}", settings=_SETTINGS)
        for number in range(1, count)
    ]
    deployment = Deployment(plans)
    try:
        return _run_rounds(deployment)
    finally:
        deployment.close()


def _run_rounds(deployment):
    names = list(deployment.nodes)
    version = change(deployment, "n0", _TEAM, {"service": "counter", "owner": _TEAM})
    wait_version(deployment, names, version)
    sent, answered = [], []
    for number in range(_ROUNDS):
        node = names[number % len(names)]
        weight = {"service": "counter", "target": "n0", "weight": 50 + number}
        _, planned = plan(deployment, node, _TEAM, weight)
        started = time.monotonic()
        _, confirmed = confirm(deployment, node, _TEAM, planned["plan"])
        done = time.monotonic()
        for name in names:
            while version_at(deployment, name) < confirmed["version"]:
                time.sleep(0.002)
        sent.append((time.monotonic() - started) * 1000)
        answered.append((time.monotonic() - done) * 1000)
    return sent, answered


if __name__ == "__main__":
    main([int(one) for one in sys.argv[1:]] or (5, 20, 40))
