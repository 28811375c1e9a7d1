"""Steps that send requests of several organisations to real nodes."""

import random
import re
from collections import Counter

from behave import given, then, when

from bench.load import ScheduledCall, poisson, send_scheduled
from standins.caller import call
from standins.relays import RelayDeployment, RelayPlan, make_document

_NAMES = ["large", *(f"small-{number}" for number in range(8))]


@given("three nodes and targets with 9 organisations")
def start_nodes(context):
    document = make_document(1, {"/look/": {"service": "counter", "kind": "idempotent"}})
    for name in _NAMES:
        spec = {"api_keys": [f"key-{name}"]}
        document["resources"].append({"type": "tenants", "meta": {"name": name}, "spec": spec})
    plans = [RelayPlan(name, "counter", slots=4) for name in "abc"]
    deployment = RelayDeployment(plans, document)
    context.add_cleanup(deployment.close)
    deployment.wait_ready()
    for name in deployment.names:
        deployment.wait_until(lambda name=name: _is_served(deployment, name))
    context.relays = deployment


def _is_served(deployment, name):
    # With more time than the load's requests have, the node would take those as sent long ago.
    headers = (("Key", "key-large"),)
    return deployment.send(name, "GET", "/look/x", headers, wait_ms=1000).status == 200


@when("one sends {large:d} requests a second beside eight that send {small:d}, for {seconds:d} s")
def send_flood(context, large, small, seconds):
    rng = random.Random(4)
    addresses = [context.relays.address("callers", name) for name in context.relays.names]
    calls = []
    for name in _NAMES:
        for number, at in enumerate(poisson(large if name == "large" else small, seconds, rng)):
            headers = (
                ("Request-Id", f"{name}-{number}"),
                ("Deadline-Ms", "1000"),
                ("Key", f"key-{name}"),
            )
            path, address = "/look/x?work_ms=60", rng.choice(addresses)
            calls.append(ScheduledCall(at, address, "shop", path, name, headers=headers))
    context.outcomes = send_scheduled(calls)


@then(
    "at least {percent:d} in 100 of the requests of the eight are served, and more than of the one"
)
def check_served(context, percent):
    sent = Counter(one.tag == "large" for one in context.outcomes)
    served = Counter(one.tag == "large" for one in context.outcomes if one.status == 200)
    assert served[False] >= sent[False] * percent / 100, (served, sent)
    assert served[False] / sent[False] > served[True] / sent[True], (served, sent)


@then("the nodes' logs name the organisation of answered, refused and displaced requests")
def check_logs(context):
    relays = context.relays
    for event in ("answered", "refused"):
        named = Counter(
            line["organisation"] == line["request"].rpartition("-")[0]
            for name in relays.names
            for line in relays.events(name, event)
            if not line["request"].startswith("r")
        )
        assert named[True] > 10 and not named[False], (event, named)
    displaced = [
        line["organisation"]
        for name in relays.names
        for line in relays.events(name, "turned_away")
        if line["displaced"]
    ]
    assert set(displaced) == {"large"}, displaced


@then("the logs and the metrics of each node show demanded, entitled and served slots")
def check_shares(context):
    relays = context.relays
    for name in relays.names:
        line = relays.events(name, "shares")[-1]
        large = next(one for one in line["shares"] if one["organisation"] == "large")
        assert large["demanded"] > large["entitled"] > 0 and large["served"] > 0, line
        assert len(line["shares"]) <= 20
        address = f"{relays.ip(name)}:9464"
        text = call(address, "GET", "node", "/metrics").body.decode()
        for kind in ("demanded", "entitled", "served"):
            pattern = (
                rf'^camphorshelf_target_shares{{kind="{kind}",organisation="large"}} [\d.e-]+$'
            )
            assert re.search(pattern, text, re.MULTILINE), text
        assert re.search(r'^camphorshelf_target_displaced_total{cause="share"} [\d.]+$', text, re.M)
