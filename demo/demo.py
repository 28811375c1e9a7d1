"""Starts a small deployment, serves calls through it and says what happened."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins.caller import call  # noqa: E402
from standins.deployment import Deployment, NodePlan  # noqa: E402

_CALLS = 200


def main():
    """Run the demo and exit 0 when every call was served."""
    plans = (
        NodePlan("a1", "counter", "fd-a"),
        NodePlan("b1", "counter", "fd-b"),
        NodePlan("c1", "orders", "fd-c"),
    )
    deployment = Deployment(plans)
    try:
        print("started: a platform stand-in, 3 nodes, 3 targets")
        for service in ("counter", "orders"):
            deployment.wait_served("a1", service)
        served = _serve_lookups(deployment.nodes["a1"].callers)
        print(f"lookups through a1: {_CALLS} sent, {served} served")
    finally:
        deployment.close()
    sys.exit(0 if served == _CALLS else 1)


def _serve_lookups(address):
    answers = [call(address, "GET", "counter", f"/tags/{number}") for number in range(_CALLS)]
    return sum(answer.status == 200 for answer in answers)


if __name__ == "__main__":
    main()
