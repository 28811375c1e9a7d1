"""The nodes that read the desired state lose power just before it changes; see claim.txt."""

import os
import signal
import sys
import threading
import time
from pathlib import Path

from deployment import BOUNDS, Deployment, check_build

from standins.relays import RelayPlan, make_document

_RECORD = Path(__file__).with_name("record.txt")
_HOSTS = tuple(
    RelayPlan(f"side-{zone}-{number}", service, f"south-{zone}")
    for zone in "abc"
    for number, service in ((1, "counter"), (2, "orders"))
)
_OLD, _NEW = "counter", "orders"
_READING_S = 2.0
_CHANGE_AFTER_S = 0.1
_DARK_S = 3.5
_PAUSE_S = 0.02
_APPLY_S = BOUNDS["config_apply_s"]


def main():
    """Run the case; return the exit status."""
    check_build()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(_HOSTS, _document(7, _OLD))
    try:
        deployment.wait_ready()
        deployment.wait_served("/look/warm")
        # Longer than contact_s, so that all machines are in touch.
        time.sleep(BOUNDS["contact_s"] + 2.0)
        readers = deployment.find_readers(_READING_S)
        others = [name for name in deployment.names if name not in readers]
        if not others:
            print("every host reads the desired state")
            return 2
        lost_at = time.time()
        if has_trouble:
            _lose_power(deployment, readers)
        time.sleep(_CHANGE_AFTER_S)
        deployment.configure(_document(8, _NEW))
        acknowledged_at = time.time()
        looks = _look(deployment, others, lost_at + _DARK_S)
        if has_trouble:
            for name in readers:
                deployment.start_target(name)
                deployment.start_node(name)
            deployment.wait_ready(*readers)
        return _judge(looks, readers, lost_at, acknowledged_at)
    finally:
        deployment.close()


def _document(version, service):
    return make_document(version, {"/look/": {"service": service, "kind": "idempotent"}})


def _lose_power(deployment, names):
    # A machine that loses power takes its instance with it.
    for name in names:
        for process in (f"node-{name}", f"target-{name}"):
            deployment.signal(process, signal.SIGKILL)


def _look(deployment, names, until):
    """Send requests to each of the hosts until a moment.

    :return: for each, when it was sent, the host, the status and the host whose instance ran it.
    """
    looks = []

    def run(name):
        while (sent_at := time.time()) < until:
            try:
                response = deployment.send(name, "GET", "/look/x")
            except (OSError, EOFError) as error:
                looks.append((sent_at, name, type(error).__name__, None))
                continue
            ran_at = response.body.split()[0].decode() if response.status == 200 else None
            looks.append((sent_at, name, response.status, ran_at))
            time.sleep(_PAUSE_S)

    threads = [threading.Thread(target=run, args=(name,)) for name in names]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sorted(looks)


def _judge(looks, readers, lost_at, acknowledged_at):
    services = {plan.name: plan.service for plan in _HOSTS}
    lines = [
        f"the hosts that read the desired state: {', '.join(readers)}",
        f"they lose power at 0.000 s (not with TROUBLE=0); version 8, which moves /look/ from "
        f"{_OLD} to {_NEW}, is acknowledged at {acknowledged_at - lost_at:.3f} s",
    ]
    broken, served = 0, 0
    for sent_at, name, status, ran_at in looks:
        service = services.get(ran_at)
        is_late = sent_at > acknowledged_at + _APPLY_S
        is_broken = is_late and service == _OLD
        broken += is_broken
        served += status == 200
        lines.append(
            f"sent {sent_at - lost_at:6.3f} s to {name}: {status}, run by {service} at {ran_at}"
            f"{'  CONFIG' if is_broken else ''}"
        )
    new = [sent_at for sent_at, _, _, ran_at in looks if services.get(ran_at) == _NEW]
    first = f"{min(new) - acknowledged_at:.3f} s" if new else "never"
    lines.append(
        f"{len(looks)} requests, {served} with 200; first run by {_NEW} {first} after the "
        f"acknowledgement; {broken} CONFIG"
    )
    _RECORD.write_text("\n".join(lines) + "\n")
    print(lines[-1])
    if served < 20:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, TimeoutError) as error:
        print(f"the case could not run: {error}")
        sys.exit(2)
