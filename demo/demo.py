"""Starts a small deployment, has one target leave under load and says what happened."""

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
_WARM_SECONDS = 4.0
_LEAVE_SECONDS = 6.0
# The number that docs/PROMISES.md holds: later than this after the confirm a leaving target
# gets no new call.
_GRACE_SECONDS = 3.0
_SETTINGS = administration({_TEAM: ("counter", "orders")})
_PLANS = tuple(
    NodePlan(f"{service}-{number}", service, f"south-{number}", settings=_SETTINGS)
    for service in ("counter", "orders")
    for number in (1, 2, 3)
)


def main():
    """Run the demo; exit 0 when nothing failed, nothing ran twice and the target left."""
    deployment = Deployment(_PLANS)
    load = Load()
    try:
        faults = _play(deployment, load)
    finally:
        load.stop()
        deployment.close()
    print("all went well" if not faults else "FAULTS: " + "; ".join(faults))
    sys.exit(1 if faults else 0)


def _play(deployment, load):
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
    time.sleep(_WARM_SECONDS)
    planned = _run(deployment, "plan", "orders/orders-2 leave", "--json")
    for sentence in planned["effect"]:
        print(f"plan: {sentence}")
    confirmed = _run(deployment, "confirm", planned["plan"], "--json")
    confirmed_at = time.monotonic()
    print(f"confirm: version {confirmed['version']} is in force, with the load going on")
    time.sleep(_LEAVE_SECONDS)
    load.stop()
    return _report(deployment, load, confirmed_at)


def _report(deployment, load, confirmed_at):
    runs = {}
    for name in deployment.nodes:
        for key, count in deployment.runs(name).items():
            runs[key] = runs.get(key, 0) + count
    doubled = sum(count > 1 for count in runs.values())
    last = load.orders.last_by_target.get("orders-2")
    left_after = None if last is None else last - confirmed_at
    _print_tally("lookups", load.lookups)
    _print_tally("keyed orders", load.orders)
    print(f"orders that ran: {len(runs)}, ran twice: {doubled}")
    for name, percentile in (("50", 50), ("99", 99)):
        added = load.lookups.added_ms(load.direct, percentile)
        print(f"time added to a lookup for {name} of 100: {added:.2f} ms")
    if left_after is not None:
        print(f"orders-2 answered its last order {left_after:+.2f} s after the confirm")
    checks = {
        "a call failed": load.lookups.failed or load.orders.failed,
        "an order ran twice": doubled,
        "an answered order did not run": len(runs) < load.orders.calls - load.orders.failed,
        "orders-2 never got work": left_after is None,
        "orders-2 still got work": left_after is not None and left_after > _GRACE_SECONDS,
    }
    return [name for name, wrong in checks.items() if wrong]


def _print_tally(name, tally):
    print(f"{name}: {tally.calls} calls, {tally.failed} failed, {tally.sent_again} sent again")


def _run(deployment, *arguments):
    """Run the operators' program as an operator would."""
    environment = {
        **os.environ,
        "CAMPHORSHELF_NODE": deployment.nodes["counter-1"].admin,
        "CAMPHORSHELF_TOKEN": token_of(_TEAM),
    }
    program = Path(sys.executable).with_name("camphorshelf")
    done = subprocess.run(
        [program, *arguments], env=environment, stdout=subprocess.PIPE, check=True, text=True
    )
    return json.loads(done.stdout)


if __name__ == "__main__":
    main()
