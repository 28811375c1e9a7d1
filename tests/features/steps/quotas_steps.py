"""Steps that send an organisation's requests to real nodes."""

import re
import signal
import threading
import time
from bisect import bisect_left
from collections import Counter

from behave import given, step, then

from camphorshelf_core.ownership import Ownership
from standins.caller import Caller, call, render
from standins.relays import RelayDeployment, RelayPlan, make_document

_NAMES = "abcdef"
_RATE = 40
_WINDOW_SECONDS = 5.0
_OVER, _SLACK = 0.1, 20
_PATH = "/look/x?work_ms=1"
# The membership needs this long to settle after the start.
_SETTLE_SECONDS = 3.0
_HELD_CALLERS = 10


def _make_document():
    document = make_document(
        7,
        {
            "/open/": {"service": "counter", "kind": "idempotent", "public": True},
            "/look/": {"service": "counter", "kind": "idempotent"},
            "/order/": {"service": "orders", "kind": "non_idempotent"},
        },
    )
    for name, rate in (("tannery", _RATE), ("mill", 0)):
        spec = {"api_keys": [f"key-{name}"], "priority": 1, "rate_per_s": rate, "burst": 0}
        document["resources"].append({"type": "tenants", "meta": {"name": name}, "spec": spec})
    return document


@given('six hosts with a quota of {rate:d} requests a second for "tannery"')
def start_hosts(context, rate):
    assert rate == _RATE
    plans = [RelayPlan(name, "counter", f"fd-{index % 3}") for index, name in enumerate(_NAMES)]
    context.relays = RelayDeployment(plans, _make_document())
    context.add_cleanup(context.relays.close)
    context.relays.wait_ready()
    context.relays.wait_served("/open/warm")
    time.sleep(_SETTLE_SECONDS)
    context.answers = []


@step('"{organisation}" sends {per_s:d} requests a second for {seconds:d} s to all nodes')
def send_all(context, organisation, per_s, seconds):
    _send(context, organisation, per_s, seconds)


@step(
    '"{organisation}" sends {per_s:d} requests a second for {seconds:d} s to all nodes,'
    " and its owner is killed after {kill_s:d} s"
)
def send_and_kill(context, organisation, per_s, seconds, kill_s):
    relays = context.relays
    addresses = {relays.address("links", name): name for name in _NAMES}
    ownership = Ownership(next(iter(addresses)), lambda now: list(addresses), 0.0)
    ownership.renew(0.0)
    context.killed_address = ownership.owner(organisation)
    owner = addresses[context.killed_address]

    def kill():
        relays.signal(f"node-{owner}", signal.SIGKILL)

    timer = threading.Timer(kill_s, kill)
    timer.start()
    _send(context, organisation, per_s, seconds, killed=owner, kill_s=kill_s)
    timer.join()


def _send(context, organisation, per_s, seconds, killed=None, kill_s=0):
    """Send requests at fixed times, a part of them by each of some threads."""
    relays = context.relays
    context.answers = []
    start = time.time() + 0.1
    times = [start + number / per_s for number in range(per_s * seconds)]

    def run(part):
        for number in range(part, len(times), _HELD_CALLERS):
            time.sleep(max(0.0, times[number] - time.time()))
            names = [one for one in _NAMES if one != killed or time.time() < start + kill_s - 0.2]
            name = names[number % len(names)]
            headers = (("Key", f"key-{organisation}"),)
            sent_at = time.time()
            try:
                response = relays.send(name, "GET", _PATH, headers)
            except OSError as error:
                context.answers.append((sent_at, None, error))
            else:
                context.answers.append((sent_at, response.status, dict(response.headers)))

    threads = [threading.Thread(target=run, args=(part,)) for part in range(_HELD_CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.sent_s = seconds
    context.counts = Counter(status for _, status, _ in context.answers)
    print(context.counts)


@then("each is answered 200, or 429 with Retry-After")
def check_answers(context):
    for _, status, headers in context.answers:
        assert status in (200, 429), (status, headers)
        if status == 429:
            fields = {str(name).lower(): value for name, value in headers.items()}
            assert float(fields["retry-after"]) > 0, headers


@then("between {low:g} and {high:g} of the quota is served")
def check_served(context, low, high):
    quota = _RATE * context.sent_s
    assert low * quota <= context.counts[200] <= high * quota, context.counts


@then("at least {share:g} of the quota is served in the last {seconds:d} s")
def check_last(context, share, seconds):
    end = max(at for at, _, _ in context.answers)
    served = sum(status == 200 and at > end - seconds for at, status, _ in context.answers)
    assert served >= share * _RATE * seconds, served


@then("no 5 s have more runs than the rule allows")
def check_windows(context):
    times = sorted(at for name in _NAMES for at in context.relays.run_times(name))
    most = max(
        number + 1 - bisect_left(times, end - _WINDOW_SECONDS) for number, end in enumerate(times)
    )
    print("most runs in a window:", most)
    assert most <= _RATE * _WINDOW_SECONDS * (1 + _OVER) + _SLACK, most


@step("at least {share:g} of the requests are answered 200")
def check_share(context, share):
    assert context.counts[200] >= share * len(context.answers), context.counts


@then('the log has a line "quota_refused" with a count at most once a second and node')
def check_lines(context):
    total = 0
    for name in _NAMES:
        lines = context.relays.events(name, "quota_refused")
        times = [line["time"] for line in lines]
        assert all(after - at > 0.9 for at, after in zip(times, times[1:], strict=False)), times
        total += sum(line["count"] for line in lines)
    assert 0 < total <= context.counts[429], (total, context.counts)


@then('the metrics count the admitted and the refused requests of "{organisation}"')
def check_metrics(context, organisation):
    admitted = _count(context, organisation, "admitted")
    refused = _count(context, organisation, "refused")
    assert admitted == context.counts[200], (admitted, context.counts)
    assert refused == context.counts[429], (refused, context.counts)


@then('the nodes have counted no request of "{organisation}" for a quota')
def check_not_counted(context, organisation):
    assert _count(context, organisation, "admitted") == 0


def _count(context, organisation, outcome):
    total = 0
    for name in _NAMES:
        text = _read_metrics(context.relays, name)
        for line in text.splitlines():
            is_wanted = f'organisation="{organisation}"' in line and f'outcome="{outcome}"' in line
            if re.match(r"camphorshelf_quota_requests", line) and is_wanted:
                total += int(float(line.rpartition(" ")[2]))
    return total


def _read_metrics(relays, name):
    return call(f"{relays.ip(name)}:9464", "GET", "node", "/metrics").body.decode()


@then('a node has logged "quota_owner" with another owner')
def check_owner_lines(context):
    owners = {
        line["owner"] for name in _NAMES for line in context.relays.events(name, "quota_owner")
    }
    assert owners - {context.killed_address}, owners


@step('callers of "{organisation}" close {count:d} connections right after their request')
def close_callers(context, organisation, count):
    relays = context.relays
    for number in range(count):
        caller = Caller(relays.address("callers", _NAMES[number % len(_NAMES)]))
        headers = (("Key", f"key-{organisation}"), ("Request-Id", relays.next_id()))
        caller.send(render("GET", "shop", _PATH, headers))
        caller.close()


@then("no node has logged a fault")
def check_no_faults(context):
    time.sleep(0.5)
    for name in _NAMES:
        assert not context.relays.events(name, "fault"), context.relays.events(name, "fault")


@step(
    '"{organisation}" sends {count:d} requests to a service without a target through one node,'
    " one by one"
)
def send_in_vain(context, organisation, count):
    headers = (("Key", f"key-{organisation}"),)
    context.counts = Counter()
    for _ in range(count):
        context.counts[context.relays.send("a", "POST", "/order/x", headers).status] += 1


@then("nearly all are answered 503 and few 429")
def check_in_vain(context):
    total = sum(context.counts.values())
    print(context.counts)
    assert context.counts[503] >= 0.9 * total, context.counts
