"""Steps about the entry node's decisions, with separate processes."""

import json

from behave import given, then, when

from standins.caller import call


def lookup(context, node, service, path="/tags/7?work_ms=5"):
    return call(context.deployment.nodes[node].callers, "GET", service, path)


def control_target(context, name, path):
    address = context.deployment.nodes[name].target
    assert call(address, "GET", "target", path).status == 200


def read_metric(context, node, name):
    answer = call(context.deployment.nodes[node].admin, "GET", "node", "/metrics")
    text = answer.body.decode()
    text = json.loads(text) if text.startswith('"') else text
    lines = [line for line in text.splitlines() if line.startswith(name)]
    assert lines, f"no metric {name}"
    return float(lines[0].rpartition(" ")[2])


@given("target {name} fails every call")
def fail_target(context, name):
    control_target(context, name, "/_fail/503")
    context.add_cleanup(control_target, context, name, "/_fail/none")


@given("node {node} has measured the usual time of lookups")
def measure_lookups(context, node):
    answers = [lookup(context, node, "counter") for _ in range(60)]
    assert {answer.status for answer in answers} == {200}


@when("{count:d} lookups are sent to node {node}")
def send_lookups(context, count, node):
    context.answers = [lookup(context, node, "counter") for _ in range(count)]


@when("target {name} hangs and {count:d} lookups are sent to node {node}")
def send_to_hanging(context, name, count, node):
    control_target(context, name, "/_factor/1000")
    context.add_cleanup(control_target, context, name, "/_factor/1")
    send_lookups(context, count, node)


@when("nodes {first}, {second} and {third} in turn send {count:d} lookups each for single")
def send_in_turn(context, first, second, third, count):
    nodes = (first, second, third)
    context.answers = [lookup(context, node, "single") for _ in range(count) for node in nodes]


@then("all of them are answered with 200")
def check_all(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200}, statuses


@then("node {node} has retried {least:d} to {most:d} of them")
def check_retries(context, node, least, most):
    assert least <= read_metric(context, node, "camphorshelf_entry_retries") <= most


@then("node {node} has hedged a lookup")
def check_hedged(context, node):
    assert read_metric(context, node, "camphorshelf_entry_hedges") >= 1


@then("no slot of node {node} is taken")
def check_slots(context, node):
    def is_idle():
        return read_metric(context, node, "camphorshelf_target_in_flight") == 0

    context.deployment.wait_until(is_idle)


@then("node {node} has at most {count:d} links after some time")
def check_links(context, node, count):
    def is_within_limit():
        return read_metric(context, node, "camphorshelf_peer_links") <= count

    context.deployment.wait_until(is_within_limit)
