"""Simulates a shortened ordinary day: hosts restart one after another and some fail under load.

Runs twelve hosts with the services of the smaller deployment. Callers send lookups and keyed orders
through random nodes and honour Retry-After. Prints the outcomes, and exits with status 1 if an
order ran twice, an answered order did not run, or an order that was refused as NOT_RUN did.
"""

import random
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins.caller import call  # noqa: E402
from standins.deployment import Deployment, NodePlan  # noqa: E402

_SERVICES = (("counter", 6), ("orders", 3), ("registry", 3))
_CALLERS = 4
_MAX_TRIES = 40
_MAX_WAIT = 1.0
_EVENT_SECONDS = 1.0
_KILL_EACH = 20
_DEADLINE = ("Deadline-Ms", "3000")


class Callers:
    """Threads that send calls until they are stopped, and the outcomes of these calls."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._seed = seed
        self._stop = threading.Event()
        self._threads = []
        self.lookups = Counter()
        self.orders = {}
        self.tries = Counter()

    def start(self):
        """Start the threads."""
        for index in range(_CALLERS):
            for work in (self._look_up, self._order):
                thread = threading.Thread(target=work, args=(index,))
                thread.start()
                self._threads.append(thread)

    def stop(self):
        """Stop sending and wait for the outstanding calls."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _look_up(self, index):
        rng = random.Random(f"{self._seed}-lookup-{index}")
        while not self._stop.is_set():
            outcome = self._try_all(rng, "GET", "counter", "/tags?work_ms=3", ())
            self.lookups[outcome] += 1
            time.sleep(0.01)

    def _order(self, index):
        rng = random.Random(f"{self._seed}-order-{index}")
        number = 0
        while not self._stop.is_set():
            number += 1
            key = f"o{self._seed}-{index}-{number}"
            headers = (("Idempotency-Key", key),)
            path = f"/orders?work_ms=5&key={key}"
            self.orders[key] = self._try_all(rng, "POST", "orders", path, headers)
            time.sleep(0.02)

    def _try_all(self, rng, method, service, path, headers):
        outcome = "NOT_RUN"
        for _ in range(_MAX_TRIES):
            outcome, wait = self._try(rng, method, service, path, headers, outcome)
            if outcome == "served" or wait is None:
                return outcome
            time.sleep(min(wait, _MAX_WAIT))
        return outcome

    def _try(self, rng, method, service, path, headers, before):
        node = rng.choice(list(self._deployment.nodes.values()))
        try:
            body = b"order" if method == "POST" else b""
            answer = call(node.callers, method, service, path, (*headers, _DEADLINE), body)
        except (OSError, EOFError):
            # The entry node has ended, so the outcome of the call is unknown.
            self.tries["entry lost"] += 1
            return "OUTCOME_UNKNOWN", 0.05
        if answer.status == 200:
            return "served", None
        ran, code = answer.headers["camphorshelf-ran"], answer.headers["camphorshelf-code"]
        self.tries[f"{code} {ran}"] += 1
        wait = int(answer.headers.get("retry-after-ms", 50)) / 1000
        if method == "POST" and ran != "NOT_RUN" and "retry-after" not in answer.headers:
            return ran, None
        return ("OUTCOME_UNKNOWN" if "OUTCOME_UNKNOWN" in (before, ran) else ran), wait


def measure(events=60, seed=1):
    """Restart one host per second; every twentieth is killed instead."""
    plans = [
        NodePlan(f"{service}-{number}", service, f"fd-{number % 3}")
        for service, count in _SERVICES
        for number in range(count)
    ]
    deployment = Deployment(plans)
    try:
        for plan in plans:
            deployment.wait_served(plan.name, "orders")
        callers = Callers(deployment, seed)
        callers.start()
        time.sleep(1)
        _run_day(deployment, events, random.Random(seed))
        time.sleep(1)
        callers.stop()
        wrong = _report(callers, deployment.all_runs(), events)
    finally:
        deployment.close()
    sys.exit(1 if wrong else 0)


def _run_day(deployment, events, rng):
    names = list(deployment.nodes)
    for event in range(events):
        name = rng.choice(names)
        if event % _KILL_EACH == _KILL_EACH - 1:
            _kill(deployment, name)
        else:
            _restart(deployment, name)
        deployment.start_node(name)
        deployment.start_target(name)
        time.sleep(_EVENT_SECONDS)


def _kill(deployment, name):
    for process in (f"target-{name}", f"node-{name}"):
        deployment.signal(process, signal.SIGKILL)
        deployment.wait_end(process)


def _restart(deployment, name):
    """Stop a host gracefully: the target leaves and ends when it is idle, then the node stops."""
    for process in (f"target-{name}", f"node-{name}"):
        deployment.signal(process, signal.SIGTERM)
        deployment.wait_end(process)


def _report(callers, runs, events):
    orders = Counter(callers.orders.values())
    doubled = sum(count > 1 for count in runs.values())
    lost = sum(runs[key] == 0 for key, outcome in callers.orders.items() if outcome == "served")
    lied = sum(runs[key] > 0 for key, outcome in callers.orders.items() if outcome == "NOT_RUN")
    print(f"events={events} killed={events // _KILL_EACH}")
    print(f"lookups {dict(callers.lookups)}")
    print(f"orders {dict(orders)}")
    print(f"tries refused or lost {dict(callers.tries.most_common())}")
    print(f"doubled={doubled} answered_without_run={lost} not_run_but_ran={lied}")
    return doubled + lost + lied


if __name__ == "__main__":
    fire.Fire(measure)
