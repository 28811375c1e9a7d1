"""Runs load scenarios on real processes, each policy with its own entry nodes in one run.

All policies share the targets. A seed determines the arrivals, so that every policy gets the same
calls. Slices of the policies are interleaved in shuffled order for each seed.
"""

import asyncio
import json
import os
import random
import statistics
import sys
import time
from pathlib import Path
from typing import NamedTuple

import fire
import httptools

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins.caller import call  # noqa: E402
from standins.deployment import Deployment, NodePlan  # noqa: E402

POLICIES = ("ours", "random", "round_robin", "least_reported")
DOMAINS = ("fd-a", "fd-b", "fd-c")
TARGETS = 6
SLOTS = 4
MEAN_WORK_MS = 50.0
SLICE_SECONDS = 3.0
SETTLE_SECONDS = 0.4
DEADLINE_MS = 1_000
CAPACITY = TARGETS * SLOTS / (MEAN_WORK_MS / 1000)
BACKGROUND = "background"
_TICK_MS = 1000 / os.sysconf("SC_CLK_TCK")


class Arrival(NamedTuple):
    """One call: its time, entry node, work and caller."""

    at: float
    entry: int
    work_ms: float
    caller: str
    background: bool = False


class Outcome(NamedTuple):
    """The outcome of a call and its latency from the scheduled time."""

    status: int
    ran: str
    milliseconds: float
    work_ms: float


class Scenario(NamedTuple):
    """Functions that make the arrivals and the faults of one slice from a random source."""

    arrivals: object
    faults: object
    deadline_ms: int = DEADLINE_MS


def _poisson(rng, rate, start, end):
    at = start
    while True:
        at += rng.expovariate(rate)
        if at >= end:
            return
        yield at


def _lookup(rng):
    return rng.uniform(20, 80)


def _arrive(rng, rate, start=0.0, end=SLICE_SECONDS, work=_lookup, entry=None, caller=None):
    pick = entry or (lambda: rng.randrange(len(DOMAINS)))
    name = caller or (lambda: f"store-{rng.randrange(40)}")
    return [Arrival(at, pick(), work(rng), name()) for at in _poisson(rng, rate, start, end)]


def _steady(rng, load=0.6):
    return _arrive(rng, load * CAPACITY)


def _burst(rng):
    calls = _arrive(rng, 0.35 * CAPACITY)
    for start in (0.5, 1.3, 2.1):
        calls += _arrive(rng, 1.6 * CAPACITY, start, start + 0.15)
    return calls


def _skew(rng):
    def entry():
        return 0 if rng.random() < 0.8 else rng.randrange(1, len(DOMAINS))

    def caller():
        return "store-0" if rng.random() < 0.7 else f"store-{rng.randrange(40)}"

    return _arrive(rng, 0.6 * CAPACITY, entry=entry, caller=caller)


def _mixed(rng):
    def work(rng):
        return 600.0 if rng.random() < 0.05 else rng.uniform(10, 32)

    return _arrive(rng, 0.6 * CAPACITY, work=work)


def _stale(rng):
    """Few calls at the measured entry nodes, while bursts from other nodes shift the load."""
    calls = _arrive(rng, 0.12 * CAPACITY)
    background = _arrive(rng, 0.48 * CAPACITY, work=lambda rng: rng.uniform(40, 200))
    background = [one for one in background if rng.random() < 0.42]
    return calls + [one._replace(background=True) for one in background]


def _no_faults(rng):
    return []


def _slow_target(rng):
    return [(0.4, rng.randrange(TARGETS), "/_factor/8")]


def _fail_fast(rng):
    return [(0.4, rng.randrange(TARGETS), "/_fail/503")]


def _neighbour(rng):
    faults = []
    at = 0.2
    while at < SLICE_SECONDS - 0.4:
        target = rng.randrange(TARGETS)
        faults.append((at, target, "/_factor/4"))
        faults.append((at + 0.35, target, "/_factor/1"))
        at += 0.45
    return faults


SCENARIOS = {
    "steady": Scenario(_steady, _no_faults),
    "burst": Scenario(_burst, _no_faults),
    "skew": Scenario(_skew, _no_faults),
    "slow-target": Scenario(lambda rng: _steady(rng, 0.5), _slow_target),
    "mixed-length": Scenario(_mixed, _no_faults),
    "saturation": Scenario(lambda rng: _steady(rng, 1.4), _no_faults, 500),
    "fail-fast": Scenario(lambda rng: _steady(rng, 0.5), _fail_fast),
    "stale-load": Scenario(_stale, _no_faults),
    "neighbour": Scenario(lambda rng: _steady(rng, 0.5), _neighbour),
}


class _Connection(asyncio.Protocol):
    """A keep-alive connection that carries one call at a time."""

    def __init__(self):
        self._answer = None
        self._parser = None
        self._ran = ""
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    async def ask(self, data):
        self._answer = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._ran = ""
        self.transport.write(data)
        return await self._answer

    def data_received(self, data):
        if self._parser is not None:
            self._parser.feed_data(data)

    def connection_lost(self, _error):
        if self._answer is not None and not self._answer.done():
            self._answer.set_result((0, ""))

    def on_header(self, name, value):
        if name.lower() == b"camphorshelf-ran":
            self._ran = value.decode()

    def on_message_complete(self):
        if not self._answer.done():
            self._answer.set_result((self._parser.get_status_code(), self._ran))


class _Callers:
    """Open-loop callers of some entry nodes."""

    def __init__(self, entries):
        self._entries = entries
        self._idle = {entry: [] for entry in entries}

    async def play(self, arrivals, deadline_ms, sink):
        start = time.monotonic() + 0.05
        tasks = []
        for arrival in sorted(arrivals):
            wait = start + arrival.at - time.monotonic()
            if wait > 0.0005:
                await asyncio.sleep(wait)
            tasks.append(asyncio.ensure_future(self._call(arrival, start, deadline_ms, sink)))
        await asyncio.gather(*tasks)

    async def _call(self, arrival, start, deadline_ms, sink):
        entry = self._entries[arrival.entry]
        idle = self._idle[entry]
        connection = idle.pop() if idle else await self._connect(entry)
        head = f"GET /tags?work_ms={arrival.work_ms:.1f} HTTP/1.1\r\nHost: counter.example\r\n"
        head += f"Caller: {arrival.caller}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n"
        status, ran = await connection.ask(head.encode())
        if status and not connection.transport.is_closing():
            idle.append(connection)
        if not arrival.background:
            elapsed = (time.monotonic() - start - arrival.at) * 1000
            sink.append(Outcome(status, ran, elapsed, arrival.work_ms))

    async def _connect(self, entry):
        host, port = entry.split(":")
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(_Connection, host, int(port))
        return protocol


class _Bench:
    def __init__(self, policies, entry_settings):
        self._policies = policies
        plans = [
            NodePlan(f"t{i}", "counter", DOMAINS[i % len(DOMAINS)], slots=SLOTS)
            for i in range(TARGETS)
        ]
        for policy in (*policies, BACKGROUND):
            base = "random" if policy == BACKGROUND else policy.split("+")[0]
            entry = {"policy": base, **entry_settings.get(policy, {})}
            plans += [
                NodePlan(_entry_name(policy, domain), None, domain, settings={"entry": entry})
                for domain in (DOMAINS[:1] if policy == BACKGROUND else DOMAINS)
            ]
        self._deployment = Deployment(plans)
        try:
            self._warm_up(plans, policies)
        except BaseException:
            self._deployment.close()
            raise

    def _warm_up(self, plans, policies):
        for plan in plans:
            self._deployment.wait_served(plan.name, "counter")
        warm_up = Scenario(lambda rng: _arrive(rng, 0.5 * CAPACITY, end=1.0), _no_faults)
        for policy in policies:
            self.slice(warm_up, 0, policy)

    def close(self):
        self._deployment.close()

    def slice(self, scenario, seed, policy):
        outcomes = []
        before = self._costs(policy)
        used = time.process_time()
        asyncio.run(self._play(scenario, seed, policy, outcomes))
        used = time.process_time() - used
        self._reset()
        after = self._costs(policy)
        after["callers_cpu_ms"] = used * 1000
        time.sleep(SETTLE_SECONDS)
        return outcomes, {key: after[key] - before.get(key, 0) for key in after}

    async def _play(self, scenario, seed, policy, sink):
        rng = random.Random(seed)
        arrivals = scenario.arrivals(rng)
        faults = asyncio.ensure_future(self._inflict(scenario.faults(rng)))
        front = [one for one in arrivals if not one.background]
        behind = [one._replace(entry=0) for one in arrivals if one.background]
        callers = _Callers([self._address(policy, domain) for domain in DOMAINS])
        others = _Callers([self._address(BACKGROUND, DOMAINS[0])])
        await asyncio.gather(
            callers.play(front, scenario.deadline_ms, sink),
            others.play(behind, 5_000, []),
        )
        faults.cancel()

    async def _inflict(self, faults):
        start = time.monotonic() + 0.05
        for at, target, path in faults:
            await asyncio.sleep(max(0.0, start + at - time.monotonic()))
            address = self._deployment.nodes[f"t{target}"].target
            await asyncio.to_thread(call, address, "GET", "target", path)

    def _reset(self):
        for index in range(TARGETS):
            address = self._deployment.nodes[f"t{index}"].target
            call(address, "GET", "target", "/_factor/1")
            call(address, "GET", "target", "/_fail/none")

    def _cpu_ms(self, name):
        stat = Path(f"/proc/{self._deployment.pid(f'node-{name}')}/stat").read_text()
        user, system = stat.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) * _TICK_MS

    def _address(self, policy, domain):
        return self._deployment.nodes[_entry_name(policy, domain)].callers

    def _costs(self, policy):
        total = {}
        for domain in DOMAINS:
            admin = self._deployment.nodes[_entry_name(policy, domain)].admin
            answer = call(admin, "GET", "node", "/entry")
            counts = json.loads(answer.body) if answer.status == 200 else {}
            counts["entry_cpu_ms"] = self._cpu_ms(_entry_name(policy, domain))
            for key, value in counts.items():
                total[key] = total.get(key, 0) + value
        return total


def _entry_name(policy, domain):
    return f"{policy.replace('_', '-').replace('+', '-')}-{domain}"


def _quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def _summary(outcomes, costs, deadline_ms):
    good = [one.milliseconds for one in outcomes if one.status == 200]
    refused = [one.milliseconds for one in outcomes if one.status in (429, 503)]
    return {
        "calls": len(outcomes),
        "p50": _quantile(good, 0.50),
        "p99": _quantile(good, 0.99),
        "p999": _quantile(good, 0.999),
        "added_p99": _quantile(
            [o.milliseconds - o.work_ms for o in outcomes if o.status == 200], 0.99
        ),
        "goodput": sum(ms <= deadline_ms for ms in good) / max(1, len(outcomes)),
        "refused": len(refused),
        "refused_p99": _quantile(refused, 0.99),
        "failed": len(outcomes) - len(good) - len(refused),
        **costs,
    }


def _spread(values):
    known = [value for value in values if value == value]
    if not known:
        return "-"
    return f"{statistics.median(known):.0f} [{min(known):.0f}-{max(known):.0f}]"


def _table(name, rows, policies):
    lines = [
        f"### {name}",
        "",
        "| policy | p50 ms | p99 ms | p99.9 ms | added p99 ms | goodput % | refused | told p99 ms "
        "| failed | retries | hedges | spills | probe B/s | entry CPU ms/call |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for policy in policies:
        mine = [row for row in rows if row["scenario"] == name and row["policy"] == policy]
        cells = [_spread([row[key] for row in mine]) for key in ("p50", "p99", "p999", "added_p99")]
        cells.append(f"{statistics.median(row['goodput'] for row in mine) * 100:.1f}")
        for key in ("refused", "refused_p99", "failed", "retries", "hedges", "spills"):
            cells.append(f"{statistics.median(row.get(key, 0) for row in mine):.0f}")
        seconds = SLICE_SECONDS * len(DOMAINS)
        cells.append(f"{statistics.median(row['probe_bytes'] for row in mine) / seconds:.0f}")
        cells.append(f"{statistics.median(row['entry_cpu_ms'] / row['calls'] for row in mine):.2f}")
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _split(text):
    return list(text) if isinstance(text, (list, tuple)) else str(text).split(",")


def run(scenario="all", seeds=3, policies=POLICIES, out="", variants="{}"):
    """Run scenarios and print a table for each.

    :param scenario: names split by commas, or all.
    :param seeds: the number of seeds.
    :param policies: names split by commas; ``ours+x`` is ours with the variant x.
    :param out: the file for the raw rows as JSON.
    :param variants: entry settings by policy name, as JSON.
    :return: None.
    """
    names = list(SCENARIOS) if scenario == "all" else _split(scenario)
    policies = _split(policies)
    settings = json.loads(variants) if isinstance(variants, str) else variants
    bench = _Bench(policies, settings)
    rows = []
    try:
        for name in names:
            for seed in range(1, seeds + 1):
                order = list(policies)
                random.Random(f"{name}{seed}").shuffle(order)
                for policy in order:
                    outcomes, costs = bench.slice(SCENARIOS[name], seed, policy)
                    summary = _summary(outcomes, costs, SCENARIOS[name].deadline_ms)
                    rows.append({"scenario": name, "seed": seed, "policy": policy, **summary})
            print(_table(name, rows, policies), flush=True)
    finally:
        bench.close()
        if out:
            Path(out).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    fire.Fire(run)
