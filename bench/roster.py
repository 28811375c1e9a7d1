"""Measures the cost of the roster for a node, with the core's state machines and no network."""

import gc
import statistics
import sys
import time
import tracemalloc
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins.mesh import Mesh  # noqa: E402

_SETTLE_SECONDS = 5
_QUIET_SECONDS = 20
_RESTARTED_EACH = 21


def measure(sizes=(50, 200, 700, 2100), seeds=(1, 2, 3), loss=0.01):
    """Print one line per size and seed: messages, bytes, processor time, memory, spread."""
    for count in sizes if isinstance(sizes, tuple) else (sizes,):
        for seed in seeds if isinstance(seeds, tuple) else (seeds,):
            _measure_one(count, seed, loss)


def _measure_one(count, seed, loss):
    memory = _member_bytes(count, seed)
    mesh = Mesh(count, seed, loss)
    mesh.join_all()
    mesh.run(_SETTLE_SECONDS)
    sent, sent_bytes = sum(mesh.sent.values()), sum(mesh.sent_bytes.values())
    started = time.process_time()
    mesh.run(_QUIET_SECONDS)
    used = time.process_time() - started
    messages = (sum(mesh.sent.values()) - sent) / count / _QUIET_SECONDS
    quiet_bytes = (sum(mesh.sent_bytes.values()) - sent_bytes) / count / _QUIET_SECONDS
    spread = _spread_times(mesh)
    restart_bytes, restart_seconds = _measure_restarts(mesh)
    print(
        f"members={count} seed={seed} messages_per_s={messages:.2f} bytes_per_s={quiet_bytes:.0f}"
        f" cpu_percent={100 * used / count / _QUIET_SECONDS:.3f}"
        f" replica_kb={memory / 1024:.0f}"
        f" spread_p50_s={statistics.median(spread):.2f} spread_max_s={max(spread):.2f}"
        f" restart_bytes_per_s={restart_bytes:.0f} restart_known_s={restart_seconds:.1f}",
        flush=True,
    )


def _member_bytes(count, seed):
    gc.collect()
    mesh = Mesh(count, seed)
    source = mesh.members["m0"]
    for member in mesh.members.values():
        source.load_snapshot(member.make_snapshot(0), 0.0)
    snapshot = source.make_snapshot(0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    mesh.members["m1"].load_snapshot(snapshot, 0.0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used


def _spread_times(mesh):
    published = mesh.now
    mesh.deliver("m1", mesh.members["m1"].publish("config", "head", 1, {"version": 1}, mesh.now))
    key = ("config", "head")
    mesh.run(60, until=lambda: all(key in heard for heard in mesh.heard.values()))
    return [heard[key] - published for heard in mesh.heard.values()]


def _measure_restarts(mesh):
    """Replace one in 21 members at once; return the bytes per second and the time to converge."""
    names = [f"m{index}" for index in range(1, len(mesh.members), _RESTARTED_EACH)]
    before, started = sum(mesh.sent_bytes.values()), mesh.now
    for name in names:
        mesh.start(name)
        mesh.join(name, "m0")
    new = [mesh.members[name].own for name in names]

    def all_know():
        return all(_holds(member, new) for member in mesh.members.values())

    seconds = mesh.run(300, until=all_know)
    sent = sum(mesh.sent_bytes.values()) - before
    return sent / len(mesh.members) / (mesh.now - started or 0.1), seconds


def _holds(member, records):
    return all(member.replica.member(one.node).incarnation == one.incarnation for one in records)


if __name__ == "__main__":
    fire.Fire(measure)
