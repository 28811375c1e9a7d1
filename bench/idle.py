"""Measures the processor time of a node on the users' platform: its start, and among many hosts.

``idle.py [--hosts 195] [--seconds 20] [--rate 0]`` starts one real node with its target; one
process simulates the statuses and probes of the other hosts. Prints the processor time from the
start until the node is ready, and the share of a core that it takes afterwards, idle or with a
caller's requests.
"""

import random
import sys
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from camphorshelf_node.loop import Loop  # noqa: E402
from camphorshelf_relay.peers import Peers  # noqa: E402
from camphorshelf_relay.settings import Endpoint  # noqa: E402
from standins.hosts import make_status  # noqa: E402
from standins.relays import RelayDeployment, RelayPlan, make_document  # noqa: E402

_DOMAINS = 5
_SETTLE_SECONDS = 6.0
_NODE = "fd-0-node"


class _Log:
    def notable(self, event, **fields):
        """Ignore the event."""


def main(hosts=195, seconds=20, rate=0, starts=10):
    """Run the measurement and print the figures.

    :param hosts: the number of hosts, including the node's own.
    :param seconds: how long the node is measured after its start, in seconds.
    :param rate: the requests per second of one caller.
    :param starts: the number of starts.
    :return: None.
    """
    plan = RelayPlan(_NODE, "counter", "d0")
    deployment = RelayDeployment([plan], make_document(1))
    try:
        threading.Thread(target=_play_peers, args=(deployment, hosts - 1), daemon=True).start()
        deployment.wait_ready()
        print(f"start: {_measure_starts(deployment, starts):.0f} ms of processor time")
        time.sleep(_SETTLE_SECONDS)
        deployment.wait_served()
        used = _measure_running(deployment, seconds, rate)
        print(f"{hosts} hosts, {rate} requests/s: {used:.2f} % of a core")
    finally:
        deployment.close()


def _measure_starts(deployment, count):
    """Return the median processor time of some starts, in milliseconds."""
    costs = []
    for _ in range(count):
        deployment._processes[f"node-{_NODE}"].kill()
        deployment.wait_end(f"node-{_NODE}")
        deployment.start_node(_NODE)
        deployment.wait_ready()
        costs.append(_used_seconds(deployment) * 1000)
    return sorted(costs)[count // 2]


def _measure_running(deployment, seconds, rate):
    """Return the share of a core that the node takes, in per cent."""
    caller = deployment.connect(_NODE) if rate else None
    started, before = time.monotonic(), _used_seconds(deployment)
    sent = 0
    while time.monotonic() - started < seconds:
        if caller is not None and sent < (time.monotonic() - started) * rate:
            deployment.send(_NODE, "GET", "/look/warm")
            sent += 1
        else:
            time.sleep(0.002)
    return 100 * (_used_seconds(deployment) - before) / (time.monotonic() - started)


def _used_seconds(deployment):
    path = Path(f"/proc/{deployment.pid(f'node-{_NODE}')}/schedstat")
    return int(path.read_text().split()[0]) / 1e9


def _play_peers(deployment, count):
    """Run the other hosts' peers on one loop, with real datagrams."""
    loop = Loop()
    port = int(deployment.address("datagrams", _NODE).rpartition(":")[2])
    links = int(deployment.address("links", _NODE).rpartition(":")[2])
    net = deployment.ip(None).rpartition(".")[0]
    addresses = [f"{net}.{number + 10}:{links}" for number in range(count)]
    for number, address in enumerate(addresses):
        peers = _make_peers(loop, number, address, port)
        peers.start()
        peers.add_addresses([*addresses, deployment.address("links", _NODE)])
    while True:
        loop._run_iteration(SimpleNamespace(time_left=-1))


def _make_peers(loop, number, address, port):
    ip, _, links = address.rpartition(":")
    status = make_status(
        f"h{number}",
        incarnation="",
        sequence=0,
        domain=f"d{number % _DOMAINS}",
        address=address,
        service=f"s{number % 3}",
        limit=3,
        revision=0,
        push_interval_s=0.0,
    )
    settings = SimpleNamespace(
        name=f"h{number}",
        domain=status.domain,
        is_first_start=True,
        link_mbps=None,
        addresses=SimpleNamespace(links=Endpoint(ip, int(links)), datagrams=Endpoint(ip, port)),
    )
    return Peers(loop, settings, lambda: status, _Log(), random.Random(number))


if __name__ == "__main__":
    fire.Fire(main)
