"""Stops nodes, cuts hosts' power and changes the configuration, all of it overlapping.

Real processes run. Callers send short and long requests over connections that they keep until the
process is gone; some send a second request ahead, and some download over slow links. What they see
is checked against guarantees: a planned stop cuts off no request that it could have refused and no
response that its target has made, a change is in force in time at all hosts that were left alone,
and a request that is reported as not run has not run.
"""

import itertools
import random
import signal
import sys
import time
from typing import NamedTuple

from camphorshelf_core.storepollers import POLLER_COUNT
from soak.checks import Finding
from soak.downloads import expect_body
from standins.caller import render
from standins.callerthreads import CallerThreads
from standins.configfleet import rank_names
from standins.processes import read_lines
from standins.relays import RelayDeployment, RelayPlan, make_document

_HOST_COUNT = 8
_SERVICES = ("counter", "orders")
_DOMAINS = ("fd-a", "fd-b", "fd-c")
_CALLERS_PER_HOST = 3
_TIMEOUT_SECONDS = 3.0
_DEADLINE_MS = 4000
_WORK_MS = (5, 20, 200, 1000, 2600)
_SIZES = (90_000, 90_000, 540_000)
_LINKS_MBPS = (5.5, None, 50.0)
# A connection that ends this soon after a request was sent has not read it.
_LOSS_SLACK_SECONDS = 0.2
_GRACE_SECONDS = 6.0
_APPLY_SECONDS = 2.0
# A host counts as left alone when nothing was done to it for this long.
_CALM_SECONDS = 3.0
_LATE_STOP_SECONDS = 3.0
_FIRST_VERSION = 10
_MIN_HOSTS_UP = 2
_RECOVERY_SECONDS = 20.0
_PROMISES_NOT_RUN = (408, 421, 429, 503)
_SEED_SECONDS = 15.0


class Attempt(NamedTuple):
    """One request of a caller.

    :param request_id: its id.
    :param host: the host that it was sent to.
    :param kind: ``look``, ``order``, ``file`` or ``move``.
    :param sent_at: right before it was sent, in Unix seconds.
    :param ended_at: when its response or the end of the connection came.
    :param result: the status, or the name of the error.
    :param ran_at: the host whose target answered; None without such an answer.
    :param is_wrong: whether it is a success with another body than that of its target.
    :param ahead: the ids of the requests ahead of it on its connection that got no whole response.
    """

    request_id: str
    host: str
    kind: str
    sent_at: float
    ended_at: float
    result: object
    ran_at: str | None
    is_wrong: bool = False
    ahead: tuple = ()


class Request(NamedTuple):
    """A request that a caller sends.

    :param request_id: its id.
    :param kind: see :class:`Attempt`.
    :param query: what its target does.
    :param size: the size of the body of a download.
    """

    request_id: str
    kind: str
    query: str
    size: int

    @property
    def method(self):
        """The method of the request."""
        return "POST" if self.kind == "order" else "GET"

    def render(self):
        """Render the request as bytes."""
        headers = (("Request-Id", self.request_id), ("Deadline-Ms", str(_DEADLINE_MS)))
        return render(self.method, "shop", f"/{self.kind}/x?{self.query}", headers)


class Change(NamedTuple):
    """A change of the route ``/move/``.

    :param service: the service that it leads to.
    :param sent_at: when it was sent to the store, in Unix seconds.
    :param acknowledged_at: when the store had acknowledged it.
    """

    service: str
    sent_at: float
    acknowledged_at: float


class StopRun:
    """A run of one seed.

    :param seed: the seed.
    :param seconds: for how long hosts are disturbed, in seconds.
    :param hosts: how many hosts run.
    """

    def __init__(self, seed, seconds, hosts=_HOST_COUNT):
        self._random = random.Random(seed)
        self._seconds = seconds
        self._version = _FIRST_VERSION
        self._changes = []
        # When something was done to each host's node, and which of these were signals to stop.
        self._disturbed = {}
        self._stopped = {}
        self._lost_power = {}
        self._down = set()
        self._pending = []
        self.attempts = []
        self.log = []
        self._deployment = RelayDeployment(_make_plans(hosts), self._make_document("counter"))
        self._threads = None

    def run(self):
        """Disturb the hosts and check the guarantees.

        :return: a list of :class:`~soak.checks.Finding`.
        """
        relays = self._deployment
        try:
            relays.wait_ready()
            relays.wait_served("/move/warm")
            now = time.time()
            self._changes.append(Change("counter", now, now))
            callers = [(name, n) for name in relays.names for n in range(_CALLERS_PER_HOST)]
            self._threads = CallerThreads(self._call, callers)
            self._threads.start()
            time.sleep(_CALM_SECONDS)
            self._disturb()
            findings = self._recover()
            self._threads.stop()
            return [*findings, *self._check()]
        finally:
            if self._threads is not None:
                self._threads.stop()
            relays.close()

    def _make_document(self, service):
        times = {"timeout_s": _TIMEOUT_SECONDS, "goal_s": _TIMEOUT_SECONDS}
        routes = {
            "/look/": {"service": "counter", "kind": "idempotent", **times},
            "/order/": {"service": "orders", "kind": "non_idempotent", "priority": 0, **times},
            "/file/": {"service": "counter", "kind": "download", **times},
            "/move/": {"service": service, "kind": "idempotent", **times},
        }
        return make_document(self._version, routes)

    def _call(self, name, number):
        rng = random.Random(f"{name} {number}")
        caller = None
        while not self._threads.is_stopped:
            requests = [self._choose_request(rng, number)]
            if number == _CALLERS_PER_HOST - 1:
                requests.append(self._choose_request(rng, number))
            caller, result = self._exchange(name, caller, requests)
            time.sleep(0.02 if result == 200 else 0.1)

    def _choose_request(self, rng, number):
        kind = "move" if number == 0 else rng.choice(("look", "order", "order", "file"))
        query = f"work_ms={2 if kind == 'move' else rng.choice(_WORK_MS)}"
        size = rng.choice(_SIZES) if kind == "file" else 0
        if size:
            query += f"&size={size}"
        return Request(self._deployment.next_id(), kind, query, size)

    def _exchange(self, name, caller, requests):
        """Send requests and read the responses; return the open connection and the last result."""
        left, sent_at, result = list(requests), None, None
        try:
            if caller is None:
                caller = self._deployment.connect(name)
            # The node may read the last byte, and its time begin, before the send returns.
            sent_at = time.time()
            caller.send(b"".join(request.render() for request in requests))
            while left and caller is not None:
                response = caller.read(left[0].method)
                result = response.status
                self.attempts.append(_describe(left.pop(0), name, sent_at, response))
                if response.headers.get("connection") == "close":
                    caller = caller.close()
        except (OSError, EOFError) as error:
            result = type(error).__name__
            caller = caller and caller.close()
        if sent_at is not None:
            ended_at, end = time.time(), result if isinstance(result, str) else "closed"
            ids = [one.request_id for one in left]
            self.attempts += [
                Attempt(one.request_id, name, one.kind, sent_at, ended_at, end, None, False, ahead)
                for one, ahead in zip(
                    left, itertools.accumulate(ids, _append, initial=()), strict=False
                )
            ]
        return caller, result

    def _disturb(self):
        end = time.monotonic() + self._seconds
        actions = (
            self._lose_power,
            self._lose_power,
            self._stop_nodes,
            self._stop_nodes,
            self._reload,
            self._change,
        )
        while time.monotonic() < end:
            self._random.choice(actions)()
            self._wait(self._random.uniform(0.1, 2.0))

    def _wait(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(0.02)
            self._run_pending()

    def _run_pending(self):
        now = time.monotonic()
        due = [one for one in self._pending if one[0] <= now]
        self._pending = [one for one in self._pending if one not in due]
        for _, action in due:
            action()

    def _later(self, seconds, action):
        self._pending.append((time.monotonic() + seconds, action))

    def _list_up(self):
        return [name for name in self._deployment.names if name not in self._down]

    def _note(self, times, name):
        times.setdefault(name, []).append(time.time())

    def _lose_power(self):
        up = self._list_up()
        count = min(len(up) - _MIN_HOSTS_UP, self._random.randint(1, len(up)))
        if count <= 0:
            return
        names = self._random.sample(up, count)
        if self._random.random() < 0.5:
            names = rank_names(up)[: min(POLLER_COUNT, count)]
        self.log.append((round(time.time(), 2), "power", names))
        for name in names:
            self._down.add(name)
            self._note(self._disturbed, name)
            self._note(self._lost_power, name)
            self._deployment.signal(f"node-{name}", signal.SIGKILL)
            self._deployment.signal(f"target-{name}", signal.SIGKILL)
        if self._random.random() < 0.7:
            self._later(self._random.uniform(0.0, 0.6), self._change)
        for name in names:
            self._later(self._random.uniform(2.0, 4.5), lambda name=name: self._start(name, True))

    def _start(self, name, with_target):
        if not self._deployment.has_ended(f"node-{name}"):
            self._later(0.1, lambda: self._start(name, with_target))
            return
        if with_target:
            self._deployment.start_target(name)
        self._note(self._disturbed, name)
        self._deployment.start_node(name)
        self._down.discard(name)

    def _stop_nodes(self):
        """Send SIGTERM to nodes one after the other, and further signals while they stop."""
        up = self._list_up()
        count = min(len(up) - _MIN_HOSTS_UP, self._random.randint(1, 3))
        for index, name in enumerate(self._random.sample(up, max(0, count))):
            self._down.add(name)
            self._later(index * self._random.uniform(0.0, 1.0), lambda name=name: self._stop(name))

    def _stop(self, name):
        self.log.append((round(time.time(), 2), "stop", name))
        self._note(self._disturbed, name)
        self._note(self._stopped, name)
        self._deployment.signal(f"node-{name}", signal.SIGTERM)
        for number in self._random.choice(((), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM))):
            self._later(
                self._random.uniform(0.1, 3.0), lambda number=number: self._signal(name, number)
            )
        self._start(name, False)

    def _signal(self, name, number):
        # A signal for the process that stops is not one for its successor.
        if name in self._down and not self._deployment.has_ended(f"node-{name}"):
            self._deployment.signal(f"node-{name}", number)

    def _reload(self):
        up = self._list_up()
        for name in self._random.sample(up, min(len(up), 2)):
            is_calm = time.time() - max(self._disturbed.get(name, [0.0])) > _CALM_SECONDS
            if is_calm:
                self._deployment.signal(f"node-{name}", signal.SIGHUP)

    def _change(self):
        service = _SERVICES[self._version % 2]
        self._version += 1
        sent_at = time.time()
        self._deployment.configure(self._make_document(service))
        self._changes.append(Change(service, sent_at, time.time()))
        self.log.append((round(sent_at, 2), "change", self._version, service))

    def _recover(self):
        end = time.monotonic() + _RECOVERY_SECONDS
        while (self._pending or self._down) and time.monotonic() < end:
            self._wait(0.1)
        try:
            for name in self._deployment.names:
                self._deployment.wait_until(
                    lambda name=name: self._deployment.is_ready(name), _RECOVERY_SECONDS
                )
        except TimeoutError as error:
            return [Finding("all hosts are ready again", str(error)[:2000])]
        # The last change has to be in force everywhere.
        self._change()
        self._wait(_CALM_SECONDS + _APPLY_SECONDS)
        return []

    def _check(self):
        runs = self._deployment.all_runs()
        arrivals = self._read_journal("arrivals", 1)
        ends = self._read_journal("ends", 2)
        for one in self.attempts:
            if one.is_wrong:
                yield Finding("a success has the body that its target has sent", one)
            if self._is_lost(one, arrivals, float(ends.get(one.request_id, "inf"))):
                lines = self._find_log_lines(one)
                yield Finding(
                    "a planned stop cuts off no request that it could have refused", (one, lines)
                )
            if self._is_outdated(one):
                yield Finding("a change is in force in time", (one, self._changes))
            if one.kind == "order" and runs[one.request_id] > 1:
                yield Finding("an order runs at most once", one)
            is_promised = one.kind == "order" and one.result in _PROMISES_NOT_RUN
            if is_promised and runs[one.request_id]:
                yield Finding("an order that is reported as not run has not run", one)

    def _find_log_lines(self, attempt):
        ids = (attempt.request_id, *attempt.ahead)
        return [
            line
            for name in self._deployment.names
            for line in self._deployment.log_lines(f"node-{name}")
            if any(f'"{one}"' in line for one in ids)
        ]

    def _read_journal(self, name, field):
        lines = read_lines(self._deployment.directory / f"{name}.log")
        return {line.split()[0]: line.split()[field] for line in lines}

    def _is_lost(self, one, arrivals, run_ended_at):
        if isinstance(one.result, int):
            return False
        if one.request_id not in arrivals and one.ended_at - one.sent_at <= _LOSS_SLACK_SECONDS:
            return False
        if one.ended_at - one.sent_at >= _TIMEOUT_SECONDS:
            return False
        broken = [*self._lost_power.get(one.host, ())]
        # Nothing can follow a response that is cut because its target's host has lost power.
        for request_id in (one.request_id, *one.ahead):
            broken += self._lost_power.get(arrivals.get(request_id), ())
        if any(one.sent_at - _CALM_SECONDS <= at <= one.ended_at for at in broken):
            return False
        for stopped_at in self._stopped.get(one.host, ()):
            if not stopped_at <= one.ended_at <= stopped_at + _GRACE_SECONDS + 1:
                continue
            is_early = one.sent_at <= stopped_at + _LATE_STOP_SECONDS
            is_at_work = min(run_ended_at, one.ended_at) >= stopped_at + _GRACE_SECONDS * 5 / 6
            return not (is_early and is_at_work)
        # Nothing was done to the host: its connection must not end without a response.
        return True

    def _is_outdated(self, one):
        if one.kind != "move" or one.ran_at is None:
            return False
        disturbed = self._disturbed.get(one.host, ())
        if any(one.sent_at - _CALM_SECONDS <= at <= one.ended_at for at in disturbed):
            return False
        # The services that the changes in force at that time, or about to be, lead to.
        older = [change for change in self._changes if change.sent_at <= one.ended_at]
        allowed = {older[-1].service}
        for change, following in zip(older, older[1:], strict=False):
            if following.acknowledged_at + _APPLY_SECONDS >= one.sent_at:
                allowed.add(change.service)
        return self._deployment.service(one.ran_at) not in allowed


def _append(ids, request_id):
    return (*ids, request_id)


def _describe(request, name, sent_at, response):
    is_success = response.status == 200
    is_wrong = is_success and request.kind == "file" and response.body != expect_body(request.size)
    ran_at = None
    if is_success and request.kind != "file":
        ran_at = response.body.split()[0].decode()
    return Attempt(
        request.request_id,
        name,
        request.kind,
        sent_at,
        time.time(),
        response.status,
        ran_at,
        is_wrong,
    )


def _make_plans(count):
    return tuple(
        RelayPlan(
            f"h{number}",
            _SERVICES[number % 2],
            _DOMAINS[number % 3],
            link_mbps=_LINKS_MBPS[number // 2 % 3],
        )
        for number in range(count)
    )


def main(seeds, first_seed, hosts):
    """Run seeds one after the other.

    :param seeds: how many.
    :param first_seed: the first seed.
    :param hosts: how many hosts run.
    :return: the number of seeds that violated a guarantee.
    """
    violations = 0
    for seed in range(first_seed, first_seed + seeds):
        run = StopRun(seed, _SEED_SECONDS, hosts)
        findings = run.run()
        violations += bool(findings)
        print(f"seed {seed}: {len(run.attempts)} requests, {len(run.log)} events, ", end="")
        print(findings[:3] or "ok", flush=True)
        if findings:
            print(len(findings), run.log, flush=True)
    return violations


if __name__ == "__main__":
    _hosts = int(sys.argv[3]) if len(sys.argv) > 3 else _HOST_COUNT
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2]), _hosts) else 0)
