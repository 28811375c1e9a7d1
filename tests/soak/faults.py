"""Injects random faults into real processes and checks the guarantees that callers see.

Five hosts run on loopback, each with a node and a target, and a store behind a proxy. Callers send
lookups and orders all the time while processes are killed, frozen, stopped and restarted, the store
is unreachable or slow, hides changes or loses its history, targets leave and crash, and new
configuration versions are published.
"""

import random
import signal
import sys
import threading
import time
from typing import NamedTuple

from soak.proxy import Proxy
from standins.caller import call
from standins.relays import RelayDeployment, RelayPlan, make_document

_HOSTS = (
    RelayPlan("a1", "counter", "fd-a"),
    RelayPlan("b1", "counter", "fd-b"),
    RelayPlan("c1", "counter", "fd-c"),
    RelayPlan("a2", "orders", "fd-a"),
    RelayPlan("b2", "orders", "fd-b"),
)
_CALLERS = 6
_RECOVERY_SECONDS = 15
_UNSENT_MARGIN = 0.05
_FIRST_VERSION = 10


class Outcome(NamedTuple):
    """The response or error that a caller got to one request."""

    request_id: str
    kind: str
    path: str
    status: object
    body: bytes


class Finding(NamedTuple):
    """A violated guarantee."""

    guarantee: str
    detail: object


class FaultRun:
    """A run of one seed."""

    def __init__(self, seed, seconds):
        self._random = random.Random(seed)
        self._seconds = seconds
        self._outcomes = []
        self._leaves = []
        self._version_results = []
        self._version = _FIRST_VERSION
        self._stop = threading.Event()
        self._undo_actions = []
        self._stopped = set()
        self.log = []
        proxies = []

        def start_proxy(address, server):
            proxies.append(Proxy(address, server))

        self._deployment = RelayDeployment(_HOSTS, self._document(), start_proxy)
        self._proxy = proxies[0]

    def run(self):
        """Inject the faults and check the guarantees.

        :return: a list of :class:`Finding`.
        """
        try:
            self._deployment.wait_ready()
            self._deployment.wait_served()
            threads = [threading.Thread(target=self._call, args=(n,)) for n in range(_CALLERS)]
            threads.append(threading.Thread(target=self._watch_versions))
            for thread in threads:
                thread.start()
            self._inject_faults()
            recovered = self._recover()
            self._stop.set()
            for thread in threads:
                thread.join(15)
            return [*recovered, *self._check()]
        finally:
            self._stop.set()
            self._proxy.close()
            self._deployment.close()

    def _document(self):
        routes = {
            "/look/": {"service": "counter", "kind": "idempotent"},
            "/order/": {"service": "orders", "kind": "non_idempotent", "priority": 0},
            f"/v{self._version}/": {"service": "counter", "kind": "idempotent"},
        }
        return make_document(self._version, routes)

    def _inject_faults(self):
        end = time.monotonic() + self._seconds
        faults = (
            self._kill_node,
            self._freeze_node,
            self._stop_node,
            self._crash_target,
            self._leave_target,
            self._disturb_store,
            self._cut_store,
            self._configure,
            self._configure,
        )
        while time.monotonic() < end:
            fault = self._random.choice(faults)
            self._record(fault.__name__)
            fault()
            self._undo_due()
            time.sleep(self._random.uniform(0.1, 1.0))

    def _record(self, what):
        self.log.append((round(time.time(), 2), what))

    def _undo_after(self, seconds, undo):
        self._undo_actions.append((time.monotonic() + seconds, undo))

    def _undo_due(self, everything=False):
        now = time.monotonic()
        due = [one for one in self._undo_actions if everything or one[0] <= now]
        self._undo_actions = [one for one in self._undo_actions if one not in due]
        for _, undo in due:
            undo()

    def _pick_host(self):
        free = [plan.name for plan in _HOSTS if plan.name not in self._stopped]
        # At least two hosts stay up: with fewer, the guarantees need not hold.
        return self._random.choice(free) if len(free) > 2 else None

    def _kill_node(self):
        name = self._pick_host()
        if name is not None:
            self._end_node(name, signal.SIGKILL)

    def _stop_node(self):
        name = self._pick_host()
        if name is not None:
            self._end_node(name, signal.SIGTERM)

    def _end_node(self, name, number):
        self._stopped.add(name)
        self._deployment.signal(f"node-{name}", number)

        def restart():
            self._deployment.wait_end(f"node-{name}")
            self._deployment.start_node(name)
            self._stopped.discard(name)

        self._undo_after(self._random.uniform(0.1, 2.0), restart)

    def _freeze_node(self):
        name = self._pick_host()
        if name is None:
            return
        self._stopped.add(name)
        self._deployment.signal(f"node-{name}", signal.SIGSTOP)

        def wake():
            self._deployment.signal(f"node-{name}", signal.SIGCONT)
            self._stopped.discard(name)

        self._undo_after(self._random.uniform(0.3, 3.0), wake)

    def _crash_target(self):
        name = self._pick_host()
        if name is None:
            return
        self._stopped.add(name)
        self._deployment.signal(f"target-{name}", signal.SIGKILL)
        self._deployment.wait_end(f"target-{name}")

        def restart():
            self._deployment.start_target(name)
            self._stopped.discard(name)

        self._undo_after(self._random.uniform(0.2, 2.0), restart)

    def _leave_target(self):
        name = self._pick_host()
        if name is None:
            return
        self._stopped.add(name)
        asked = time.time()
        self._deployment.signal(f"target-{name}", signal.SIGUSR1)

        def stay():
            self._leaves.append((name, self._acknowledged_at(name, asked), time.time()))
            self._deployment.signal(f"target-{name}", signal.SIGUSR2)
            self._stopped.discard(name)

        self._undo_after(self._random.uniform(1.0, 2.5), stay)

    def _acknowledged_at(self, name, asked):
        for line in self._deployment.log(f"target-{name}").splitlines():
            if line.startswith("acknowledged PUT leaving=True"):
                at = float(line.split()[-1])
                if at >= asked:
                    return at
        return None

    def _disturb_store(self):
        fault = self._random.choice(
            [
                {"down": True, "how": "busy"},
                {"down": True, "how": "many"},
                {"down": True, "how": "reset"},
                {"slow_ms": 250},
                {"lose": True},
                {"forget": True},
                {"deaf": True},
                {"down": [self._deployment.ip("a1"), self._deployment.ip("b2")]},
            ]
        )
        self._record(fault)
        self._deployment.set_faults(**fault)
        self._undo_after(self._random.uniform(0.5, 3.0), self._deployment.set_faults)

    def _cut_store(self):
        self._proxy.mode = self._random.choice(["delay", "silent", "one_way", "reset"])
        self._record(self._proxy.mode)
        self._undo_after(self._random.uniform(0.3, 2.0), self._heal)

    def _heal(self):
        self._proxy.mode = "pass"

    def _configure(self):
        self._version += 1
        self._deployment.configure(self._document())

    def _call(self, number):
        rng = random.Random(number)
        while not self._stop.is_set():
            kind = rng.choice(["look", "look", "order"])
            request_id = self._deployment.next_id()
            work = rng.choice([1, 5, 20, 100])
            path = f"/{kind}/{request_id}?work_ms={work}"
            headers = (("Request-Id", request_id), ("Deadline-Ms", "2000"))
            address = self._deployment.address("callers", rng.choice(_HOSTS).name)
            method = "POST" if kind == "order" else "GET"
            try:
                answer = call(address, method, "shop", path, headers)
                outcome = Outcome(request_id, kind, path, answer.status, answer.body)
            except (OSError, EOFError) as error:
                outcome = Outcome(request_id, kind, path, type(error).__name__, b"")
                time.sleep(0.02)
            self._outcomes.append(outcome)

    def _watch_versions(self):
        while not self._stop.is_set():
            for plan in _HOSTS:
                version = self._version
                pid = self._deployment.pid(f"node-{plan.name}")
                try:
                    answer = self._deployment.send(plan.name, "GET", f"/v{version}/x")
                except (OSError, EOFError):
                    continue
                if pid == self._deployment.pid(f"node-{plan.name}"):
                    self._version_results.append((plan.name, pid, version, answer.status))
            time.sleep(0.02)

    def _recover(self):
        self._undo_due(everything=True)
        self._deployment.set_faults()
        self._heal()
        try:
            for name in self._deployment.names:
                self._deployment.wait_until(
                    lambda name=name: self._is_healthy(name), _RECOVERY_SECONDS
                )
        except TimeoutError:
            healthy = [name for name in self._deployment.names if self._is_healthy(name)]
            return [Finding("all hosts serve again within 15 s", {"well": healthy})]
        return []

    def _is_healthy(self, name):
        try:
            looked = self._deployment.send(name, "GET", f"/v{self._version}/x").status
            ordered = self._deployment.send(name, "POST", "/order/x").status
        except (OSError, EOFError):
            return False
        return self._deployment.is_ready(name) and (looked, ordered) == (200, 200)

    def _check(self):
        return [
            *self._check_orders(),
            *self._check_answers(),
            *self._check_leaves(),
            *self._check_versions(),
        ]

    def _check_orders(self):
        runs = self._deployment.all_runs()
        for one in self._outcomes:
            if one.kind == "order" and runs[one.request_id] > 1:
                yield Finding("an order runs at most once", one)
            if one.status in (408, 421, 429, 503) and one.kind == "order" and runs[one.request_id]:
                yield Finding("an order that is reported as not run has not run", one)

    def _check_answers(self):
        for one in self._outcomes:
            if one.status == 200 and one.path.encode() not in one.body:
                yield Finding("each caller gets its own complete response", one)

    def _check_leaves(self):
        for name, acknowledged, until in self._leaves:
            if acknowledged is None:
                continue
            late = [
                at
                for at in self._deployment.run_times(name)
                if acknowledged + _UNSENT_MARGIN < at < until
            ]
            if late:
                yield Finding(
                    "a leaving target gets no new requests", (name, acknowledged, late[:3])
                )

    def _check_versions(self):
        newest = {}
        for name, pid, version, status in self._version_results:
            known = newest.get((name, pid), 0)
            if status == 200 and version < known:
                yield Finding("the version of a node never decreases", (name, pid, version, known))
            if status == 200:
                newest[name, pid] = max(known, version)


def main(seconds, seed):
    """Run successive seeds for a given time.

    :param seconds: how long to start new seeds, in seconds.
    :param seed: the first seed.
    :return: the number of seeds that violated a guarantee.
    """
    end = time.monotonic() + seconds
    violations = 0
    while time.monotonic() < end:
        run = FaultRun(seed, min(15.0, seconds))
        findings = run.run()
        violations += bool(findings)
        print(f"seed {seed}: {len(run._outcomes)} calls, {len(run.log)} faults, {findings or 'ok'}")
        sys.stdout.flush()
        seed += 1
    return violations


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
