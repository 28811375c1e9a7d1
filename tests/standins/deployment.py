"""Runs a platform, nodes and targets as separate processes on loopback."""

import json
import random
import socket
import sys
from collections import Counter
from typing import NamedTuple

from standins.caller import call
from standins.processes import Processes

_PORTS = (10_000, 32_000)


class NodePlan(NamedTuple):
    """A node to start and the target on the same host; without a service there is no target."""

    name: str
    service: str | None = None
    failure_domain: str = "fd-a"
    slots: int = 10
    work_ms: float = 1
    settings: dict = {}


class RunningNode(NamedTuple):
    """The addresses of a started node and of its target, as ``IP:PORT``."""

    name: str
    callers: str
    peers: str
    admin: str
    target: str


class Deployment(Processes):
    """The processes of one small deployment.

    :param plans: a :class:`NodePlan` for each node.
    :param log_level: the log level of the nodes.
    :param node_paths: directories that precede the tests on the Python path of the processes.
    """

    def __init__(self, plans, log_level="WARNING", node_paths=()):
        super().__init__(node_paths)
        self._log_level = log_level
        self._plans = {plan.name: plan for plan in plans}
        self._nodes = {}
        self._ip = _choose_loopback_ip()
        self._used_addresses = set()
        self.platform = self._reserve_address()
        try:
            self._start_all(plans)
        except BaseException:
            # The caller has no object to close yet, so the processes would never be ended.
            self.close()
            raise

    def _start_all(self, plans):
        self._start("platform", [sys.executable, "-m", "standins.platform", self.platform])
        self._wait_listening(self.platform)
        for plan in plans:
            self._add_plan(plan)
        try:
            for plan in plans:
                self.start_node(plan.name)
                self.start_target(plan.name)
        except BaseException:
            # The caller has no object to close yet, so the processes would never be ended.
            self.close()
            raise

    @property
    def nodes(self):
        """The :class:`RunningNode` of each node by name."""
        return self._nodes

    def add(self, plan):
        """Start one more node and its target."""
        self._add_plan(plan)
        self.start_node(plan.name)
        self.start_target(plan.name)

    def replace(self, name, service):
        """Start a node and a target of another service at the addresses of a killed host."""
        self._plans[name] = self._plans[name]._replace(service=service)
        self.start_node(name)
        self.start_target(name)

    def change_settings(self, name, **sections):
        """Change sections of a node's settings; they apply from its next start."""
        plan = self._plans[name]
        self._plans[name] = plan._replace(settings={**plan.settings, **sections})

    def start_node(self, name):
        """Start a node, or restart it at the same addresses."""
        plan, node = self._plans[name], self._nodes[name]
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self._make_settings(plan, node), indent=1))
        command = [sys.executable, "-m", "camphorshelf_node", "--settings", str(path)]
        self._start(f"node-{name}", [*command, "--log-level", self._log_level])
        self._wait_listening(node.admin)
        self._wait_listening(node.callers)

    def start_target(self, name):
        """Start the target of a node, if it has one."""
        plan, node = self._plans[name], self._nodes[name]
        if plan.service is None:
            return
        options = {
            "name": name,
            "service": plan.service,
            "address": node.target,
            "slots": plan.slots,
            "work_ms": plan.work_ms,
            "announce": node.admin,
            "journal": str(self.directory / "runs.log"),
        }
        command = [sys.executable, "-m", "standins.target", json.dumps(options)]
        self._start(f"target-{name}", command)
        self._wait_listening(node.target)

    def wait_served(self, name, service):
        """Wait until a node answers calls to a service with status 200."""
        address = self._nodes[name].callers
        self.wait_until(lambda: call(address, "GET", service, "/ready").status == 200)

    def set_faults(self, **faults):
        """Set the platform's faults, replacing all earlier ones."""
        call(self.platform, "POST", "platform", "/_faults", body=json.dumps(faults).encode())

    def release(self):
        """Make the platform continue with every write and response that it holds back."""
        call(self.platform, "POST", "platform", "/_release")

    def counts(self):
        """Return the platform's counts of reads, rows, writes and held operations by name."""
        return json.loads(call(self.platform, "GET", "platform", "/_counts").body)

    def runs(self, name):
        """Return how often the running target of a node has run each key."""
        address = self._nodes[name].target
        return json.loads(call(address, "GET", "target", "/_runs").body)

    def all_runs(self):
        """Return how often each key has run at all targets, including those that have ended."""
        journal = self.directory / "runs.log"
        return Counter(journal.read_text().split()) if journal.exists() else Counter()

    def _add_plan(self, plan):
        self._plans[plan.name] = plan
        addresses = [self._reserve_address() for _ in range(4)]
        self._nodes[plan.name] = RunningNode(plan.name, *addresses)

    def _reserve_address(self):
        # A port stays free until its process starts. With 160 ports chosen at random from a few
        # thousand, two nodes would often get the same one.
        while (address := _choose_address(self._ip)) in self._used_addresses:
            continue
        self._used_addresses.add(address)
        return address

    def _make_settings(self, plan, node):
        settings = {
            "name": plan.name,
            "failure_domain": plan.failure_domain,
            "listen": {"callers": node.callers, "peers": node.peers, "admin": node.admin},
            "platform": {"table": self.platform, "objects": self.platform},
        }
        return {**settings, **plan.settings}


def _choose_loopback_ip():
    """Choose a random IP address of the loopback range, so that deployments don't share one.

    Several tests run at once. If they shared an IP address, a port that is free when it is chosen
    could belong to another test by the time the process listens on it; callers would then be
    refused or reach the wrong node.
    """
    rng = random.SystemRandom()
    return ".".join(["127", *(str(rng.randrange(1, 255)) for _ in range(3))])


def _choose_address(host):
    # The ports are below the range that the kernel uses for outgoing connections.
    while True:
        port = random.SystemRandom().randrange(*_PORTS)
        if _is_free(host, port, socket.SOCK_STREAM) and _is_free(host, port, socket.SOCK_DGRAM):
            return f"{host}:{port}"


def _is_free(host, port, kind):
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
