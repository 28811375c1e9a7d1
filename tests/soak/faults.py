"""Injects random faults into real processes and checks the guarantees that callers see.

Five or more hosts run on loopback, each with a node and a target, and a store behind a proxy.
Callers send lookups and orders all the time over connections that they keep until the process is
gone. Meanwhile processes are killed, frozen, stopped and restarted, also several times in a row,
the store is unreachable or slow, hides changes or loses its history, targets advertise rate limits,
leave and crash, new configuration versions are published, and keys of organisations are replaced.
These faults overlap. Some callers send unknown, removed or no keys, and forged organisations.
"""

import random
import signal
import sys
import threading
import time

from soak.callers import SoakCallers
from soak.checks import Finding, Observations, find_violations
from soak.keys import CALM_APPLY_SECONDS, KeyHistory
from soak.proxy import Proxy
from standins.relays import RelayDeployment, RelayPlan, make_document

_SERVICES = ("counter", "counter", "counter", "orders", "orders")
_HOST_COUNT = 5
_DOMAINS = ("fd-a", "fd-b", "fd-c")
_CALLERS_PER_HOST = 2
_RECOVERY_SECONDS = 15
_FIRST_VERSION = 10
_RATE_LIMITS_PER_S = (1, 2, 3.8, 6, 20)
_SEED_SECONDS = 15.0
_KEY_INTERVAL_SECONDS = 2.0
_JUDGED_SECONDS = 1.5
# The interpreter has started by then. Before that, SIGHUP ends any process.
_INTERPRETER_START_SECONDS = 1.0


class FaultRun:
    """A run of one seed.

    :param seed: the seed of the faults.
    :param seconds: how long faults are injected, in seconds.
    :param hosts: how many hosts run.
    """

    def __init__(self, seed, seconds, hosts=_HOST_COUNT):
        self._random = random.Random(seed)
        self._seconds = seconds
        self._plans = make_plans(hosts)
        self._interruptions = {}
        # When the node of each host was last started, and whose node got SIGHUP too early.
        self._node_started_at = {}
        self._early_reloads = set()
        self._ended_nodes = []
        self._leaves = []
        self._version_results = []
        self._version = _FIRST_VERSION
        self._keys = KeyHistory()
        self._key_replaced_at = time.monotonic()
        self._store_outages = []
        self._stop = threading.Event()
        self._undo_actions = []
        # Hosts whose node is down or suspended, and hosts whose target is down or leaves.
        self._stopped = set()
        self._leaving = set()
        self._callers = None
        self.log = []
        proxies = []

        def start_proxy(address, server):
            proxies.append(Proxy(address, server))

        self._deployment = RelayDeployment(self._plans, self._document(), start_proxy)
        self._proxy = proxies[0]

    def run(self):
        """Inject the faults and check the guarantees.

        :return: a list of :class:`Finding`.
        """
        try:
            self._deployment.wait_ready()
            self._deployment.wait_served(f"/v{self._version}/warm")
            self._callers = SoakCallers(self._deployment, _CALLERS_PER_HOST, self._keys)
            watch = threading.Thread(target=self._watch_versions)
            watch.start()
            self._inject_faults()
            recovered = self._recover()
            self._replace_key_calmly()
            self._stop.set()
            self._callers.stop()
            watch.join(15)
            return [*recovered, *self._ended_nodes, *find_violations(self._observations())]
        finally:
            self._stop.set()
            if self._callers is not None:
                self._callers.stop()
            self._proxy.close()
            self._deployment.close()

    @property
    def calls(self):
        """How many requests the callers have sent."""
        return len(self._callers.outcomes)

    def _observations(self):
        return Observations(
            self._deployment,
            self._callers.outcomes,
            self._leaves,
            self._version_results,
            self._interruptions,
            self._keys,
            self._store_outages,
        )

    def _document(self):
        routes = {
            "/look/": {"service": "counter", "kind": "idempotent"},
            "/order/": {"service": "orders", "kind": "non_idempotent", "priority": 0},
            f"/v{self._version}/": {"service": "counter", "kind": "idempotent", "public": True},
        }
        return make_document(self._version, routes, self._keys.organisations)

    def _inject_faults(self):
        end = time.monotonic() + self._seconds
        faults = (
            self._kill_node,
            self._kill_node_repeatedly,
            self._freeze_node,
            self._stop_node,
            self._stop_and_kill_node,
            self._reload_nodes,
            self._crash_target,
            self._leave_target,
            self._leave_by_header,
            self._limit_target,
            self._limit_target,
            self._limit_target_beside_restarts,
            self._disturb_store,
            self._cut_store,
            self._configure,
            self._configure,
        )
        while time.monotonic() < end:
            fault = self._random.choice(faults)
            self._record(fault.__name__)
            fault()
            self._replace_key_if_due()
            self._undo_due()
            self._wait(self._random.uniform(0.1, 0.8))

    def _wait(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(0.05)
            self._undo_due()
            self._restart_ended_nodes()

    def _start_node(self, name):
        self._interrupt(name)
        self._node_started_at[name] = time.monotonic()
        self._early_reloads.discard(name)
        self._deployment.start_node(name)

    def _restart_ended_nodes(self):
        """Start the nodes again that have ended by themselves, as the platform does."""
        for name in self._deployment.names:
            process = f"node-{name}"
            if name in self._stopped or not self._deployment.has_ended(process):
                continue
            self._record(f"{process} ended with {self._deployment.exit_status(process)}")
            if name not in self._early_reloads:
                self._ended_nodes.append(Finding("no node ends by itself", self._describe(name)))
            self._start_node(name)

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
        free = [plan.name for plan in self._plans if plan.name not in self._stopped]
        # At least two hosts stay up: with fewer, the guarantees need not hold.
        return self._random.choice(free) if len(free) > 2 else None

    def _pick_target(self):
        """Pick a host whose target runs and doesn't leave; its node may be down."""
        free = [plan.name for plan in self._plans if plan.name not in self._leaving]
        return self._random.choice(free) if len(free) > 2 else None

    def _interrupt(self, name):
        self._interruptions.setdefault(name, []).append(time.time())

    def _kill_node(self):
        name = self._pick_host()
        if name is not None:
            self._end_node(name, signal.SIGKILL)

    def _kill_node_repeatedly(self):
        name = self._pick_host()
        if name is not None:
            self._end_node(name, signal.SIGKILL, repeats=self._random.randint(1, 2))

    def _stop_node(self):
        name = self._pick_host()
        if name is not None:
            self._end_node(name, signal.SIGTERM)

    def _stop_and_kill_node(self):
        name = self._pick_host()
        if name is None:
            return
        process = f"node-{name}"
        stopped_pid = self._deployment.pid(process)
        self._end_node(name, signal.SIGTERM)

        def kill():
            # It may have ended by itself, and another one may have been started.
            if self._deployment.pid(process) == stopped_pid:
                self._deployment.signal(process, signal.SIGKILL)

        self._undo_after(self._random.uniform(0.05, 1.5), kill)

    def _reload_nodes(self):
        for name in self._random.choices(self._deployment.names, k=3):
            if name not in self._stopped:
                age_s = time.monotonic() - self._node_started_at.get(name, 0.0)
                if age_s < _INTERPRETER_START_SECONDS:
                    self._early_reloads.add(name)
                self._deployment.signal(f"node-{name}", signal.SIGHUP)

    def _end_node(self, name, number, repeats=0):
        self._stopped.add(name)
        self._interrupt(name)
        self._deployment.signal(f"node-{name}", number)

        def restart():
            if not self._deployment.has_ended(f"node-{name}"):
                self._undo_after(0.1, restart)
                return
            self._start_node(name)
            if repeats:
                again = self._random.uniform(0.4, 1.2)
                self._undo_after(again, lambda: self._end_node(name, number, repeats - 1))
            else:
                self._stopped.discard(name)

        self._undo_after(self._random.uniform(0.1, 2.0), restart)

    def _freeze_node(self):
        name = self._pick_host()
        if name is None:
            return
        self._stopped.add(name)
        self._interrupt(name)
        self._deployment.signal(f"node-{name}", signal.SIGSTOP)

        def wake():
            self._interrupt(name)
            self._deployment.signal(f"node-{name}", signal.SIGCONT)
            self._stopped.discard(name)

        self._undo_after(self._random.uniform(0.3, 3.0), wake)

    def _crash_target(self):
        name = self._pick_target()
        if name is not None:
            self._leaving.add(name)
            self._end_target(name, signal.SIGKILL, self._random.uniform(0.2, 2.0))

    def _end_target(self, name, number, seconds):
        self._deployment.signal(f"target-{name}", number)
        self._deployment.wait_end(f"target-{name}")

        def restart():
            self._deployment.start_target(name)
            self._leaving.discard(name)

        self._undo_after(seconds, restart)

    def _leave_target(self):
        free = set(self._deployment.names) - self._stopped - self._leaving
        if len(free) <= 2:
            return
        name = self._random.choice(sorted(free))
        # The node isn't restarted meanwhile, so that its acknowledgement binds it.
        self._stopped.add(name)
        self._leaving.add(name)
        asked = time.time()
        self._deployment.signal(f"target-{name}", signal.SIGUSR1)

        def stay():
            self._leaves.append((name, self._acknowledged_at(name, asked), time.time()))
            self._deployment.signal(f"target-{name}", signal.SIGUSR2)
            self._stopped.discard(name)
            self._leaving.discard(name)

        self._undo_after(self._random.uniform(1.0, 2.5), stay)

    def _leave_by_header(self):
        name = self._pick_target()
        if name is None:
            return
        self._leaving.add(name)
        self._advertise(name, self._random.choice(["leaving=1", "leaving=1&health=1"]))
        if self._random.random() < 0.5:
            self._undo_after(
                self._random.uniform(0.0, 1.0),
                lambda: self._deployment.signal(f"target-{name}", signal.SIGUSR1),
            )
        self._undo_after(
            self._random.uniform(3.0, 5.0), lambda: self._end_target(name, signal.SIGTERM, 0.0)
        )

    def _limit_target(self):
        name = self._pick_target()
        if name is None:
            return
        self._advertise_limit(name)
        if self._random.random() < 0.5:
            self._undo_after(self._random.uniform(1.0, 3.0), lambda: self._advertise_limit(name))
        if self._random.random() < 0.5:
            self._undo_after(self._random.uniform(3.0, 8.0), lambda: self._advertise(name, ""))

    def _limit_target_beside_restarts(self):
        name = self._pick_host()
        if name is None or name in self._leaving:
            return
        self._advertise_limit(name)
        self._undo_after(
            self._random.uniform(1.0, 2.0),
            lambda: name in self._stopped or self._end_node(name, signal.SIGKILL, repeats=1),
        )

    def _advertise_limit(self, name):
        health = self._random.choice(["", "&health=1"])
        self._advertise(name, f"limit={self._random.choice(_RATE_LIMITS_PER_S)}{health}")

    def _advertise(self, name, query):
        if name in self._leaving and "leaving" not in query:
            return
        self._record(f"{name} advertises {query}")
        try:
            self._deployment.advertise(name, query)
        except OSError as error:
            self._record(f"{name} could not be asked: {error}")

    def _acknowledged_at(self, name, asked):
        for line in self._deployment.log_lines(f"target-{name}"):
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
                {"down": [self._deployment.ip(name) for name in self._deployment.names[:2]]},
            ]
        )
        self._record(fault)
        self._deployment.set_faults(**fault)
        started_at = time.time()

        def undo():
            self._deployment.set_faults()
            if fault.get("down") is True or "slow_ms" in fault:
                self._store_outages.append((started_at, time.time()))

        self._undo_after(self._random.uniform(0.5, 3.0), undo)

    def _cut_store(self):
        self._proxy.mode = self._random.choice(["delay", "silent", "one_way", "reset"])
        self._record(self._proxy.mode)
        started_at = time.time()

        def undo():
            self._heal()
            self._store_outages.append((started_at, time.time()))

        self._undo_after(self._random.uniform(0.3, 2.0), undo)

    def _heal(self):
        self._proxy.mode = "pass"

    def _configure(self):
        self._version += 1
        self._deployment.configure(self._document())

    def _replace_key_if_due(self):
        # Not one of the random faults: these would then differ for seeds that have failed before.
        if time.monotonic() - self._key_replaced_at >= _KEY_INTERVAL_SECONDS:
            self._key_replaced_at = time.monotonic()
            self._keys.replace(self._version, self._configure)

    def _replace_key_calmly(self):
        """Replace a key without faults, so that its removal can be judged in every run."""
        self._keys.replace(self._version, self._configure)
        self._wait(CALM_APPLY_SECONDS + _JUDGED_SECONDS)

    def _watch_versions(self):
        while not self._stop.is_set():
            for plan in self._plans:
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
        while self._undo_actions:
            self._undo_due(everything=True)
            self._wait(0.1)
        for name in self._deployment.names:
            self._advertise(name, "")
        self._deployment.set_faults()
        self._heal()
        try:
            for name in self._deployment.names:
                self._deployment.wait_until(
                    lambda name=name: self._is_healthy(name), _RECOVERY_SECONDS
                )
        except TimeoutError:
            failed = [name for name in self._deployment.names if not self._is_healthy(name)]
            details = {name: self._describe(name) for name in failed}
            return [Finding("all hosts serve again within 15 s", details)]
        return []

    def _describe(self, name):
        processes = f"node-{name}", f"target-{name}"
        return {
            process: (self._deployment.exit_status(process), self._deployment.log(process)[-1500:])
            for process in processes
        }

    def _is_healthy(self, name):
        try:
            looked = self._deployment.send(name, "GET", f"/v{self._version}/x").status
            headers = (("Key", self._keys.organisations["north"]["api_keys"][0]),)
            ordered = self._deployment.send(name, "POST", "/order/x", headers).status
        except (OSError, EOFError):
            return False
        return self._deployment.is_ready(name) and (looked, ordered) == (200, 200)


def make_plans(count):
    """Plan hosts of both services in three failure domains.

    :param count: how many.
    :return: a tuple of :class:`~standins.relays.RelayPlan`.
    """
    return tuple(
        RelayPlan(
            f"h{number}",
            _SERVICES[number % len(_SERVICES)],
            _DOMAINS[number % len(_DOMAINS)],
        )
        for number in range(count)
    )


def main(seconds, seed, hosts):
    """Run successive seeds for a given time.

    :param seconds: how long to start new seeds, in seconds.
    :param seed: the first seed.
    :param hosts: how many hosts run.
    :return: the number of seeds that violated a guarantee.
    """
    end = time.monotonic() + seconds
    violations = 0
    while time.monotonic() < end:
        run = FaultRun(seed, min(_SEED_SECONDS, seconds), hosts)
        findings = run.run()
        violations += bool(findings)
        print(f"seed {seed}: {run.calls} calls, {len(run.log)} faults, {findings or 'ok'}")
        if findings:
            print(run.log)
        sys.stdout.flush()
        seed += 1
    return violations


if __name__ == "__main__":
    _hosts = int(sys.argv[3]) if len(sys.argv) > 3 else _HOST_COUNT
    sys.exit(1 if main(float(sys.argv[1]), int(sys.argv[2]), _hosts) else 0)
