"""Measures the cost of admission decisions, and compares admission with the baseline under load.

``python bench/gate.py cost`` prints the microseconds of one admission, by the number of callers and
the state of the queue; ``python bench/gate.py loads`` prints the outcomes of callers under each
load on a simulated clock, one row per seed.
"""

import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from camphorshelf_core.admission import POLICIES, Gate, PendingCall  # noqa: E402
from standins.gate_play import GatePlay, percentile, poisson, served  # noqa: E402

_CALLS = 20_000
_SLOTS = 10
_ROUNDS = 3
_SEEDS = (1, 2, 3, 4, 5)


def _measure(policy, callers, busy):
    gate = Gate(_SLOTS, random.Random(1), POLICIES[policy])
    names = [f"caller{number}" for number in range(max(1, callers))]
    running = []

    def make(number):
        name = names[number % len(names)]
        ticket = PendingCall(1e9, lambda: running.append(ticket), lambda _: None, caller=name)
        ticket.kind = "tags"
        return ticket

    fill = _SLOTS + 20 if busy else 0
    for number in range(fill):
        gate.offer(make(number), 0.0)
    now = 0.0
    started = time.perf_counter()
    for number in range(_CALLS):
        now += 0.0005
        gate.offer(make(number), now)
        gate.finish(running.pop(0), now)
    return (time.perf_counter() - started) / _CALLS * 1e6


def print_cost():
    """Print the cost of one offer and one finish, the best of interleaved rounds."""
    for busy in (False, True):
        for callers in (1, 100, 1_000):
            best = {}
            for _ in range(_ROUNDS):
                for policy in ("fifo", "ours"):
                    cost = _measure(policy, callers, busy)
                    best[policy] = min(best.get(policy, cost), cost)
            state = "queue of 20" if busy else "free slots"
            print(f"{state:12} {callers:5} callers  fifo {best['fifo']:5.1f} us", end="")
            print(f"  ours {best['ours']:5.1f} us")


def _skew(seed):
    heavy = poisson(3800, 1.0, seed, caller="heavy")
    light = poisson(200, 1.0, seed + 100, caller=lambda source: f"light{source.randrange(20)}")
    return heavy + light, lambda call: call.caller != "heavy", None


def _mixed(seed):
    reports = poisson(100, 2.0, seed, caller="r", work=0.2, deadline=2.0, kind="reports")
    lookups = poisson(400, 2.0, seed + 100, caller="s", work=0.002, deadline=0.1)
    return reports + lookups, lambda call: call.kind == "tags", None


def _saturation(seed):
    calls = poisson(4000, 2.0, seed, caller=lambda source: f"c{source.randrange(50)}")
    return calls, lambda call: True, None


def _neighbour(seed):
    calls = poisson(600, 4.0, seed, caller=lambda source: f"c{source.randrange(50)}", work=0.01)
    return calls, lambda call: 1.3 <= call.at < 3, lambda now: 3 if 1 <= now < 3 else 10


def print_loads():
    """Print the outcomes of the callers of interest, with admission and with the baseline."""
    loads = {"skew": _skew, "mixed": _mixed, "saturation": _saturation, "neighbour": _neighbour}
    for name, make in loads.items():
        for seed in _SEEDS:
            calls, matters, cores = make(seed)
            for policy in ("fifo", "ours"):
                outcomes = GatePlay(POLICIES[policy], cores=cores).play(calls)
                chosen = [one for one in outcomes if matters(one.call)]
                waits = [one.seconds * 1000 for one in served(chosen)]
                share = 100 * len(waits) / len(chosen)
                print(f"{name:10} seed {seed} {policy:4} served {share:5.1f} %", end="")
                print(f"  p50 {percentile(waits, 0.5):6.1f} p99 {percentile(waits, 0.99):6.1f} ms")


if __name__ == "__main__":
    {"cost": print_cost, "loads": print_loads}[sys.argv[1]]()
