"""One response whose body is a log of HTTP status lines stops the node beside the instance."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "parts2"))

import fleet as parts  # noqa: E402

MACHINES = {"side-a": "counter", "side-b": "counter", "side-c": "orders"}
TIMEOUT_S = 1.0
BODY_BYTES = 540_000
# Two entries of a tag's history, as text in one line. The second spells the status as HTTP does.
PLAIN = b"GET /tags/2041 status 200 in 12 ms; "
STATUS_LINES = b"GET /tags/2041 HTTP/1.1 200 12 ms; "
PERIOD_S = 0.1
WATCHED_S = 15
DOWNLOADS = 10


def make_body(entry):
    """Make the body of the large answers."""

    def make(path):
        if not path.startswith("/catalogue/"):
            return b"ok\n"
        return (entry * (BODY_BYTES // len(entry) + 1))[:BODY_BYTES]

    return make


async def play(fleet, trouble):
    """Ask for a large answer each second, beside small requests; watch the small ones."""
    routes = {
        "/look/": {"service": "counter", "timeout_s": TIMEOUT_S},
        "/catalogue/": {"service": "counter", "kind": "download", "timeout_s": 4.0, "goal_s": 2.0},
    }
    await fleet.start(parts.make_document(1, routes, ("counter", "orders")))
    for machine, service in MACHINES.items():
        body = make_body(STATUS_LINES if trouble else PLAIN)
        await parts.Instance(fleet, machine, service, make_body=body).start()
        fleet.start_node(machine)
    await fleet.wait_ready()
    await fleet.wait_served("/look/warm")
    await asyncio.sleep(parts.CONTACT_S + 1)
    results = {name: [] for name in MACHINES}
    ready = {name: [] for name in MACHINES}
    downloads = []

    async def watch(name):
        started = fleet.record.now()
        status = (await fleet.request(name, "GET", "/look/x", deadline_ms=2000))[0]
        results[name].append((fleet.record.now() - started, status))

    async def ask_ready(name):
        ready[name].append(await fleet.is_ready(name))

    tasks = []
    for tick in range(int(WATCHED_S / PERIOD_S)):
        tasks += [asyncio.create_task(watch(name)) for name in MACHINES]
        if tick % 10 == 0:
            tasks += [asyncio.create_task(ask_ready(name)) for name in MACHINES]
            if tick < 10 * DOWNLOADS:
                # A download each second, from one machine after the other.
                machine = fleet.names[tick // 10 % len(MACHINES)]
                path = f"/catalogue/{tick}"
                download = fleet.request(machine, "GET", path, deadline_ms=4000)
                downloads.append(asyncio.create_task(download))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)
    for download in downloads:
        status, _, body = await download
        fleet.record.write("download", status=status, bytes=len(body))
    # CONFIG: of the requests that are still unanswered at their route's time, more than half have
    # no answer half a second later. Every machine is in touch: nothing but requests happens.
    due = [one for many in results.values() for one in many if one[0] > TIMEOUT_S]
    late = [one for one in due if one[1] is None or one[0] > TIMEOUT_S + 0.5]
    for name, many in results.items():
        missed = sum(one[1] is None for one in many)
        answers = "".join("1" if one else "0" for one in ready[name])
        fleet.record.write(
            "machine", name=name, requests=len(many), unanswered=missed, ready_each_second=answers
        )
    fleet.record.write("judged", due_at_timeout=len(due), none_half_a_second_later=len(late))
    return len(due) >= 20 and len(late) > len(due) / 2


parts.run(Path(__file__).resolve().parent, MACHINES, play)
