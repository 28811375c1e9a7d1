"""Starts a platform, nodes and targets as separate processes on loopback and ends them."""

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
    """A node to start and the target beside it (no service: none)."""

    name: str
    service: str | None = None
    failure_domain: str = "fd-a"
    slots: int = 10
    work_ms: float = 1
    settings: dict = {}


class RunningNode(NamedTuple):
    """Where a started node listens."""

    name: str
    callers: str
    peers: str
    admin: str
    target: str


class Deployment(Processes):
    """The processes of one small deployment."""

    def __init__(self, plans, log_level="WARNING", node_paths=()):
        super().__init__(node_paths)
        self._log_level = log_level
        self._plans = {plan.name: plan for plan in plans}
        self._nodes = {}
        self._host = _loopback()
        self._given = set()
        self.platform = self._find_address()
        try:
            self._start_all(plans)
        except BaseException:
            # Whoever started it has nothing to close yet; the processes would stay for ever.
            self.close()
            raise

    def _start_all(self, plans):
        self._start("platform", [sys.executable, "-m", "standins.platform", self.platform])
        self._wait(self.platform)
        for plan in plans:
            self._plan(plan)
        try:
            for plan in plans:
                self.start_node(plan.name)
                self.start_target(plan.name)
        except BaseException:
            # Nobody else has a hold of what was started so far; it would run on for ever.
            self.close()
            raise

    @property
    def nodes(self):
        """The started nodes by name."""
        return self._nodes

    def add(self, plan):
        """Start one more node and its target."""
        self._plan(plan)
        self.start_node(plan.name)
        self.start_target(plan.name)

    def replace(self, name, service):
        """Start a node and a target of another service at the addresses of a dead host."""
        self._plans[name] = self._plans[name]._replace(service=service)
        self.start_node(name)
        self.start_target(name)

    def change_settings(self, name, **sections):
        """Give a node other sections of settings from its next start on."""
        plan = self._plans[name]
        self._plans[name] = plan._replace(settings={**plan.settings, **sections})

    def start_node(self, name):
        """Start a node, or start it again at the same addresses."""
        plan, node = self._plans[name], self._nodes[name]
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self._settings(plan, node), indent=1))
        command = [sys.executable, "-m", "camphorshelf_node", "--settings", str(path)]
        self._start(f"node-{name}", [*command, "--log-level", self._log_level])
        self._wait(node.admin)
        self._wait(node.callers)

    def start_target(self, name):
        """Start the target beside a node."""
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
        self._wait(node.target)

    def wait_served(self, name, service):
        """Wait until a node serves calls to a service."""
        address = self._nodes[name].callers
        self.wait_until(lambda: call(address, "GET", service, "/ready").status == 200)

    def set_faults(self, **faults):
        """Set the platform's faults, replacing all earlier ones."""
        call(self.platform, "POST", "platform", "/_faults", body=json.dumps(faults).encode())

    def release(self):
        """Let the platform go on with every write and answer that it holds."""
        call(self.platform, "POST", "platform", "/_release")

    def counts(self):
        """The platform's counts of reads, writes and what it holds."""
        return json.loads(call(self.platform, "GET", "platform", "/_counts").body)

    def runs(self, name):
        """How often the target beside a node ran each key."""
        address = self._nodes[name].target
        return json.loads(call(address, "GET", "target", "/_runs").body)

    def all_runs(self):
        """How often each key ran at any target, those that are dead by now included."""
        journal = self.directory / "runs.log"
        return Counter(journal.read_text().split()) if journal.exists() else Counter()

    def _plan(self, plan):
        self._plans[plan.name] = plan
        addresses = [self._find_address() for _ in range(4)]
        self._nodes[plan.name] = RunningNode(plan.name, *addresses)

    def _find_address(self):
        # Ports are free until their process starts: with 160 of them drawn from a few thousand
        # two nodes would often be given the same one.
        while (address := _address(self._host)) in self._given:
            continue
        self._given.add(address)
        return address

    def _settings(self, plan, node):
        settings = {
            "name": plan.name,
            "failure_domain": plan.failure_domain,
            "listen": {"callers": node.callers, "peers": node.peers, "admin": node.admin},
            "platform": {"table": self.platform, "objects": self.platform},
        }
        return {**settings, **plan.settings}


def _loopback():
    """Pick an address of the loopback range that no other deployment has at this time.

    Several tests run at once, and a port that is free when it is picked may be another test's by
    the time the process listens on it: its callers are refused or reach the wrong node.
    """
    numbers = random.SystemRandom()
    return ".".join(["127", *(str(numbers.randrange(1, 255)) for _ in range(3))])


def _address(host):
    # Below the range from which the kernel takes the ports of outgoing connections.
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
