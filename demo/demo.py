"""Starts a small deployment, removes one target under load and reports the results."""

import json
import os
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from load import Load  # noqa: E402

from standins.deployment import Deployment, NodePlan  # noqa: E402
from standins.operator import administration, change, token_of  # noqa: E402

_TEAM = "head-office"
_WARM_UP_SECONDS = 4.0
_LEAVE_SECONDS = 6.0
# The guarantee in docs/PROMISES.md: a leaving target gets no new call later than this after the
# plan is confirmed.
_GRACE_SECONDS = 3.0
_SETTINGS = administration({_TEAM: ("counter", "orders")})
_PLANS = tuple(
    NodePlan(f"{service}-{number}", service, f"south-{number}", settings=_SETTINGS)
    for service in ("counter", "orders")
    for number in (1, 2, 3)
)


def main():
    """Run the demo; exit with status 0 if no call failed, none ran twice and the target left."""
    deployment = Deployment(_PLANS)
    load = Load()
    try:
        failures = _run_scenario(deployment, load)
    finally:
        load.stop()
        deployment.close()
    print("all checks passed" if not failures else "FAILED: " + "; ".join(failures))
    sys.exit(1 if failures else 0)


def _run_scenario(deployment, load):
    for node in deployment.nodes:
        for service in ("counter", "orders"):
            deployment.wait_served(node, service)
    owners = [{"service": service, "owner": _TEAM} for service in ("counter", "orders")]
    change(deployment, "counter-1", _TEAM, *owners)
    print("started: a platform stand-in, 6 nodes and 6 targets in 3 failure domains")
    for node in deployment.nodes.values():
        load.add_orders(node)
        if node.name.startswith("counter"):
            load.add_lookups(node)
    time.sleep(_WARM_UP_SECONDS)
    planned = _run_cli(deployment, "plan", "orders/orders-2 leave", "--json")
    for effect in planned["effect"]:
        print(f"plan: {effect}")
    confirmed = _run_cli(deployment, "confirm", planned["plan"], "--json")
    confirmed_at = time.monotonic()
    print(f"confirm: version {confirmed['version']} is in force while the load continues")
    time.sleep(_LEAVE_SECONDS)
    load.stop()
    return _report_results(deployment, load, confirmed_at)


def _report_results(deployment, load, confirmed_at):
    runs = {}
    for name in deployment.nodes:
        for key, count in deployment.runs(name).items():
            runs[key] = runs.get(key, 0) + count
    repeated = sum(count > 1 for count in runs.values())
    last_answered_at = load.orders.last_by_target.get("orders-2")
    last_answer_after = None if last_answered_at is None else last_answered_at - confirmed_at
    _print_stats("lookups", load.lookups)
    _print_stats("keyed orders", load.orders)
    print(f"orders that ran: {len(runs)}, ran twice: {repeated}")
    for name, percentile in (("p50", 50), ("p99", 99)):
        added = load.lookups.added_ms(load.direct, percentile)
        print(f"latency added to a lookup, {name}: {added:.2f} ms")
    if last_answer_after is not None:
        print(f"orders-2 answered its last order {last_answer_after:+.2f} s after the confirm")
    checks = {
        "a call failed": load.lookups.failed or load.orders.failed,
        "an order ran twice": repeated,
        "an answered order did not run": len(runs) < load.orders.calls - load.orders.failed,
        "orders-2 never answered an order": last_answer_after is None,
        "orders-2 answered an order after the grace period": last_answer_after is not None
        and last_answer_after > _GRACE_SECONDS,
    }
    return [name for name, is_failed in checks.items() if is_failed]


def _print_stats(name, stats):
    print(f"{name}: {stats.calls} calls, {stats.failed} failed, {stats.resent} resent")


def _run_cli(deployment, *arguments):
    """Run the command line tool as an operator does; return its parsed JSON output."""
    environment = {
        **os.environ,
        "CAMPHORSHELF_NODE": deployment.nodes["counter-1"].admin,
        "CAMPHORSHELF_TOKEN": token_of(_TEAM),
    }
    program = Path(sys.executable).with_name("camphorshelf")
    completed = subprocess.run(
        [program, *arguments], env=environment, stdout=subprocess.PIPE, check=True, text=True
    )
    return json.loads(completed.stdout)


if __name__ == "__main__":
    main()
