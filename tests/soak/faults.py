"""Random faults on real processes, from outside, with the promises checked from outside.

Five hosts on loopback, each with its node and its target, and a store behind a proxy. Callers send
lookups and orders all the time while processes are killed, frozen, stopped and started again, the
store is cut, slow, deaf and forgetful, targets leave and crash, and versions follow each other.
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
    """What one caller got."""

    request_id: str
    kind: str
    path: str
    status: object
    body: bytes


class Finding(NamedTuple):
    """A broken promise."""

    promise: str
    detail: object


class FaultRun:
    """One seed's run."""

    def __init__(self, seed, seconds):
        self._random = random.Random(seed)
        self._seconds = seconds
        self._outcomes = []
        self._leaves = []
        self._seen = []
        self._version = _FIRST_VERSION
        self._stop = threading.Event()
        self._undo = []
        self._stopped = set()
        self.log = []
        proxies = []

        def between(address, server):
            proxies.append(Proxy(address, server))

        self._deployment = RelayDeployment(_HOSTS, self._document(), between)
        self._proxy = proxies[0]

    def run(self):
        """Play the faults and check the promises.

        :return: a list of :class:`Finding`.
        """
        try:
            self._deployment.wait_ready()
            self._deployment.wait_served()
            threads = [threading.Thread(target=self._call, args=(n,)) for n in range(_CALLERS)]
            threads.append(threading.Thread(target=self._watch_versions))
            for thread in threads:
                thread.start()
            self._play()
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

    def _play(self):
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
            self._note(fault.__name__)
            fault()
            self._undo_due()
            time.sleep(self._random.uniform(0.1, 1.0))

    def _note(self, what):
        self.log.append((round(time.time(), 2), what))

    def _later(self, seconds, undo):
        self._undo.append((time.monotonic() + seconds, undo))

    def _undo_due(self, everything=False):
        now = time.monotonic()
        due = [one for one in self._undo if everything or one[0] <= now]
        self._undo = [one for one in self._undo if one not in due]
        for _, undo in due:
            undo()

    def _pick(self):
        free = [plan.name for plan in _HOSTS if plan.name not in self._stopped]
        # At least two hosts stay whole, or nothing could be promised.
        return self._random.choice(free) if len(free) > 2 else None

    def _kill_node(self):
        name = self._pick()
        if name is not None:
            self._end_node(name, signal.SIGKILL)

    def _stop_node(self):
        name = self._pick()
        if name is not None:
            self._end_node(name, signal.SIGTERM)

    def _end_node(self, name, number):
        self._stopped.add(name)
        self._deployment.signal(f"node-{name}", number)

        def again():
            self._deployment.wait_end(f"node-{name}")
            self._deployment.start_node(name)
            self._stopped.discard(name)

        self._later(self._random.uniform(0.1, 2.0), again)

    def _freeze_node(self):
        name = self._pick()
        if name is None:
            return
        self._stopped.add(name)
        self._deployment.signal(f"node-{name}", signal.SIGSTOP)

        def wake():
            self._deployment.signal(f"node-{name}", signal.SIGCONT)
            self._stopped.discard(name)

        self._later(self._random.uniform(0.3, 3.0), wake)

    def _crash_target(self):
        name = self._pick()
        if name is None:
            return
        self._stopped.add(name)
        self._deployment.signal(f"target-{name}", signal.SIGKILL)
        self._deployment.wait_end(f"target-{name}")

        def again():
            self._deployment.start_target(name)
            self._stopped.discard(name)

        self._later(self._random.uniform(0.2, 2.0), again)

    def _leave_target(self):
        name = self._pick()
        if name is None:
            return
        self._stopped.add(name)
        asked = time.time()
        self._deployment.signal(f"target-{name}", signal.SIGUSR1)

        def stay():
            self._leaves.append((name, self._acknowledged_at(name, asked), time.time()))
            self._deployment.signal(f"target-{name}", signal.SIGUSR2)
            self._stopped.discard(name)

        self._later(self._random.uniform(1.0, 2.5), stay)

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
        self._note(fault)
        self._deployment.set_faults(**fault)
        self._later(self._random.uniform(0.5, 3.0), self._deployment.set_faults)

    def _cut_store(self):
        self._proxy.mode = self._random.choice(["delay", "silent", "one_way", "reset"])
        self._note(self._proxy.mode)
        self._later(self._random.uniform(0.3, 2.0), self._heal)

    def _heal(self):
        self._proxy.mode = "pass"

    def _configure(self):
        self._version += 1
        self._deployment.configure(self._document())

    def _call(self, number):
        chance = random.Random(number)
        while not self._stop.is_set():
            kind = chance.choice(["look", "look", "order"])
            request_id = self._deployment.next_id()
            work = chance.choice([1, 5, 20, 100])
            path = f"/{kind}/{request_id}?work_ms={work}"
            headers = (("Request-Id", request_id), ("Deadline-Ms", "2000"))
            address = self._deployment.address("callers", chance.choice(_HOSTS).name)
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
                    self._seen.append((plan.name, pid, version, answer.status))
            time.sleep(0.02)

    def _recover(self):
        self._undo_due(everything=True)
        self._deployment.set_faults()
        self._heal()
        try:
            for name in self._deployment.names:
                self._deployment.wait_until(
                    lambda name=name: self._is_well(name), _RECOVERY_SECONDS
                )
        except TimeoutError:
            well = [name for name in self._deployment.names if self._is_well(name)]
            return [Finding("all are served again within 15 s", {"well": well})]
        return []

    def _is_well(self, name):
        try:
            looked = self._deployment.send(name, "GET", f"/v{self._version}/x").status
            ordered = self._deployment.send(name, "POST", "/order/x").status
        except (OSError, EOFError):
            return False
        return self._deployment.is_ready(name) and (looked, ordered) == (200, 200)

    def _check(self):
        return [*self._check_orders(), *self._check_answers(), *self._check_leaves(), *self._back()]

    def _check_orders(self):
        runs = self._deployment.all_runs()
        for one in self._outcomes:
            if one.kind == "order" and runs[one.request_id] > 1:
                yield Finding("an order runs once at most", one)
            if one.status in (408, 421, 429, 503) and one.kind == "order" and runs[one.request_id]:
                yield Finding("not run is true", one)

    def _check_answers(self):
        for one in self._outcomes:
            if one.status == 200 and one.path.encode() not in one.body:
                yield Finding("each gets its own whole answer", one)

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
                yield Finding("a leaving target gets nothing new", (name, acknowledged, late[:3]))

    def _back(self):
        newest = {}
        for name, pid, version, status in self._seen:
            known = newest.get((name, pid), 0)
            if status == 200 and version < known:
                yield Finding("a version never goes back", (name, pid, version, known))
            if status == 200:
                newest[name, pid] = max(known, version)


def main(seconds, seed):
    """Run one seed after another for a time.

    :param seconds: for how long to start new seeds.
    :param seed: the first one.
    :return: how many seeds broke a promise.
    """
    end = time.monotonic() + seconds
    broken = 0
    while time.monotonic() < end:
        run = FaultRun(seed, min(15.0, seconds))
        findings = run.run()
        broken += bool(findings)
        print(f"seed {seed}: {len(run._outcomes)} calls, {len(run.log)} faults, {findings or 'ok'}")
        sys.stdout.flush()
        seed += 1
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2])) else 0)
